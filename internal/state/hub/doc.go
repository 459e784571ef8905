// Package hub distributes the routing configuration and the list of backend servers from the leader of the replicated log
// to the entry VMs; package feed distributes the deployment state. Entry VMs use long polls, whose answers carry only what has
// changed. With the polls they report their calls in flight and failures of servers, from which the leader decides which
// servers to eject.
package hub
