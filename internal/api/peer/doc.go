// Package peer implements the HTTP protocols between the system's own processes: the handlers of the peers' listener and
// their clients.
package peer
