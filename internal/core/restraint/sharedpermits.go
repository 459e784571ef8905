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

// limitTime is how long a limit counts since a VM last heard it and needed a permit.
const limitTime = 10 * time.Second

// Limit returns the limit of an incarnation of a server in requests a second, as VMs that need permits have heard it; ok is false if there
// is none.
func (p *SharedPermits) Limit(name deck.BackendName, incarnation string) (limit float64, ok bool) {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.permits.servers[name]
	if s == nil || s.incarnation != incarnation || now.Sub(s.heardAt) > limitTime || !s.endedAt.IsZero() {
		return 0, false
	}
	return s.limit, true
}

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
