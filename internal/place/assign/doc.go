// Package assign decides which engine of a service should load or unload which model, from the demand for each model and
// what the engines hold; it does no I/O and reads no clock.
package assign
