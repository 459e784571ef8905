package process

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
)

// poolTimeout is the timeout of one request for leases from the pools.
const poolTimeout = time.Second

// A shareRenewer renews the data centre's leases from the pools while this VM is the placement leader and loads wait. If no
// request succeeds, the leases expire and the data centre uses only the part of the limits that it owns.
type shareRenewer struct {
	deps         *deps
	lease        deck.LeaseSource
	loads        execute.Share
	adapters     execute.Share
	client       peer.PoolClient
	waitingLoads func() int // number of loads that the data centre's share of the limit holds back
	lastGrantor  deck.Peer  // control VM that granted the last lease
}

func (s *shareRenewer) run(ctx context.Context) error {
	t := time.NewTicker(peer.PoolLeaseInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if _, held := s.lease.Held(); held && s.waitingLoads() > 0 {
			s.renew(ctx)
		}
	}
}

// renew requests leases from the control VM that granted the last one, and then from the others in turn. Only the leader of
// the log grants leases.
func (s *shareRenewer) renew(ctx context.Context) {
	if s.lastGrantor.Name != "" && s.requestFrom(ctx, s.lastGrantor) {
		return
	}
	for _, p := range controlPeers(s.deps.peers) {
		if p.Name != s.lastGrantor.Name && s.requestFrom(ctx, p) {
			s.lastGrantor = p
			return
		}
	}
}

// requestFrom requests leases of up to the full pools from a control VM, and reports whether the VM answered as the leader of
// the log.
func (s *shareRenewer) requestFrom(ctx context.Context, p deck.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	sent := s.deps.clock.Now()
	limits := s.deps.settings.Platform
	loads, adapters, err := s.client.Lease(ctx, p.Address, s.deps.vm.DataCentre,
		execute.PoolSize(limits.ConcurrentLoads), execute.PoolSize(limits.AdapterLoadsInFlight))
	if err != nil {
		return false
	}
	s.loads.RecordLease(loads, sent)
	s.adapters.RecordLease(adapters, sent)
	return true
}
