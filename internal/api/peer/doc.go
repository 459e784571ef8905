// Package peer holds the peers' listener and the clients that reach it.
package peer
