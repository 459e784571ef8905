// Package operator implements the operators' listener of a VM and its client: tickets, state, membership changes, the burn
// report, health checks and metrics.
package operator
