// Package blamestore keeps what the leader knows about requests that crash backend servers in the replicated log, and on each control VM
// in a file that is read before the log has a leader.
package blamestore
