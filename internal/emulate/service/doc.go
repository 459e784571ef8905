// Package service emulates a plain backend service that counts the executions of each call.
package service
