// Package health weights backend servers by their latency relative to their peers, knows which servers are leaving, and
// counts the crashes at which requests were in flight.
package health
