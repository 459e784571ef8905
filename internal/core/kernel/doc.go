// Package kernel runs the services of a process: it starts them in the order of registration, drains them in the reverse order,
// and lets them find each other by name.
package kernel
