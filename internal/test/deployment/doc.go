// Package deployment starts the processes of a deployment on loopback for tests and the demo.
package deployment
