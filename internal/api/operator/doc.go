// Package operator serves the operators' listener and holds its client.
package operator
