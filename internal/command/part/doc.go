// Package part provides building blocks for processes: HTTP listeners and goroutines as kernel services, and the removal of
// unused headers from messages between VMs.
package part
