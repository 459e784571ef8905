// Package service emulates a plain service that counts how often each call ran.
package service
