// Package router joins choice, admission and health into the decisions of one entry VM.
package router
