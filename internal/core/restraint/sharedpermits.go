package restraint

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// ErrNotLeading is returned for a request for a permit to a VM that does not lead the replicated log.
var ErrNotLeading = errors.New("this VM does not lead the replicated log")

// SharedPermits grants permits while its VM leads the replicated log. Monitor, Clock and VMs are required.
type SharedPermits struct {
	Monitor          deck.ReplicaMonitor
	Clock            deck.Clock
	MaxLeadershipAge time.Duration // maximum age of the last check that this replica leads
	VMs              func() int    // number of entry VMs

	mu      sync.Mutex
	term    uint64 // of the permits
	permits Permits
}

var _ deck.PermitSource = (*SharedPermits)(nil)

// TakePermit implements deck.PermitSource.TakePermit.
func (p *SharedPermits) TakePermit(_ context.Context, r deck.PermitRequest) (deck.PermitAnswer, error) {
	now := p.Clock.Now()
	term, leads := p.Monitor.LeaderTerm(now, p.MaxLeadershipAge)
	if !leads {
		return deck.PermitAnswer{}, ErrNotLeading
	}
	vms := p.VMs()
	p.mu.Lock()
	defer p.mu.Unlock()
	if term != p.term {
		p.term, p.permits = term, Permits{}
	}
	return p.permits.Take(now, vms, r), nil
}
