// Package deployment starts the processes of a deployment on loopback, for the demo, the fault scenarios and the capacity
// measurements.
package deployment
