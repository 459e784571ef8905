// Package hub hands the routing configuration and the list of backend servers from the leader of the replicated log to the
// entry VMs, by long polls that carry only what has changed.
package hub
