package process

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

// maxLeadershipAge is the maximum age of the last check that this replica leads for it to grant permits: a few heartbeats of the log.
const maxLeadershipAge = time.Second

// A permitClient asks the control VMs for permits, the one that granted the last first.
type permitClient struct {
	deps *deps

	mu   sync.Mutex
	next int // index of the control VM to ask
}

var _ deck.PermitSource = (*permitClient)(nil)

// TakePermit implements deck.PermitSource.TakePermit.
func (c *permitClient) TakePermit(ctx context.Context, r deck.PermitRequest) (deck.PermitAnswer, error) {
	vms := controlPeers(c.deps.peers)
	var errs error
	for range vms {
		c.mu.Lock()
		i := c.next % len(vms)
		c.mu.Unlock()
		a, err := peer.TakePermit(ctx, c.deps.client, vms[i].Address, r)
		if err == nil {
			return a, nil
		}
		errs = errors.CombineErrors(errs, err)
		c.mu.Lock()
		c.next = i + 1
		c.mu.Unlock()
	}
	return deck.PermitAnswer{}, errs
}

// entryVMs returns the number of VMs that serve callers.
func (d *deps) entryVMs() int {
	n := 0
	for _, v := range d.settings.VMs {
		if v.Has(settings.RoleEntry) {
			n++
		}
	}
	return n
}

// sharedPermits returns the permits that this VM grants while it leads the log.
func (d *deps) sharedPermits() *restraint.SharedPermits {
	return &restraint.SharedPermits{
		Monitor: d.control.node, Clock: d.clock, MaxLeadershipAge: maxLeadershipAge, VMs: d.entryVMs,
	}
}
