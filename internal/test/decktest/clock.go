package decktest

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A ManualClock is a deck.Clock that only Advance moves; its zero value shows the zero time.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

var _ deck.Clock = (*ManualClock)(nil)

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// Now implements deck.Clock.Now.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}
