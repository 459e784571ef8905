package ingress

import (
	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// StreamKeyOf returns the key of the stream whose first event the attempt with the ID brought.
func StreamKeyOf(id deck.RequestID) deck.StreamKey {
	return deck.StreamKey(xxhash.Sum64String(string(id)))
}

// continueAt makes all further offers of the call go to servers of the origin.
func (c *callRun) continueAt(origin deck.StreamOrigin) {
	c.origin.Store(&origin)
	c.requirements.Continued = &origin
}
