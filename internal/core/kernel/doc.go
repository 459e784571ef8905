// Package kernel runs the services of a process: they find each other by name, start in order and drain in reverse.
package kernel
