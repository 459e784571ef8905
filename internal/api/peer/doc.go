// Package peer implements the listener for the other VMs and its clients.
package peer
