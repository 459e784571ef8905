package hub

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// confirmInterval is the time between two barriers. Each joins the leader's next heartbeat, so that a confirmation is at most this
	// older than the heartbeat.
	confirmInterval = 100 * time.Millisecond

	confirmTimeout     = 2 * time.Second
	maxPendingBarriers = 16

	// maxConfirmationAge is the age of the last confirmation from which on a request is answered as soon as there is a newer one.
	maxConfirmationAge = 1500 * time.Millisecond
)

// A Confirmer confirms to entry VMs that the leader's routing document is the newest. Read barriers show that the leader has applied
// every document that was acknowledged before them, whoever led then.
type Confirmer struct {
	Log       deck.HeartbeatBarrier
	Clock     deck.Clock
	Publisher *Publisher
	Version   func() uint64 // of the newest document that was applied
}

// Run confirms the document while this replica leads, until ctx ends.
func (c Confirmer) Run(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxPendingBarriers)
	deck.Every(ctx, confirmInterval, func(ctx context.Context) {
		if _, leading := c.Publisher.leads(); !leading {
			return
		}
		at := c.Clock.Now()
		g.TryGo(func() error {
			c.confirm(ctx, at)
			return nil
		})
	})
	return g.Wait()
}

func (c Confirmer) confirm(ctx context.Context, at time.Time) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if c.Log.HeartbeatBarrier(ctx) == nil {
		c.Publisher.confirm(confirmation{c.Version(), at})
	}
}

// A confirmation says that the document with the version, or a newer one, contains every change that was acknowledged before a time of
// this VM's clock.
type confirmation struct {
	version uint64
	at      time.Time
}

// confirm records a confirmation.
func (p *Publisher) confirm(c confirmation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.at.After(p.confirmed.at) {
		p.confirmed = c
		notify(&p.newConfirmation)
	}
}

// awaitConfirmation returns the channel that is closed at the next confirmation if the last one was old when a request arrived; nil
// otherwise. The caller holds p.mu.
func (p *Publisher) awaitConfirmation(arrived time.Time) <-chan struct{} {
	if arrived.Sub(p.confirmed.at) > maxConfirmationAge {
		return p.newConfirmation
	}
	return nil
}

// confirmationFor returns the last confirmation for the answer to a request that arrived at the given time. The caller holds p.mu.
func (p *Publisher) confirmationFor(arrived time.Time) deck.ConfigConfirmation {
	newest := p.newest().Version
	if p.confirmed.at.IsZero() || newest < p.confirmed.version {
		return deck.ConfigConfirmation{} // the newest document could not be decoded here
	}
	return deck.ConfigConfirmation{Version: newest, After: p.confirmed.at.Sub(arrived)}
}
