// Package peer holds the peers' listener and client with their JSON codecs.
package peer
