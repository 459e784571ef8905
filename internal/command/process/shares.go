package process

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
)

// poolTimeout bounds one request for a part of the pools.
const poolTimeout = time.Second

// shareRenewer renew the data centre's parts of the pools while this VM is the placement leader and loads wait. Without an answer they expire
// and the data centre uses what it owns.
type shareRenewer struct {
	deps         *deps
	lease        deck.LeaseSource
	loads        execute.Share
	adapters     execute.Share
	client       peer.PoolClient
	waitingLoads func() int // loads that the data centre's own part holds back
	lastGrantor  deck.Peer  // the replica that granted last
}

func (s *shareRenewer) run(ctx context.Context) error {
	t := time.NewTicker(peer.PoolInterval)
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

// renew asks the replica that granted last, and otherwise all in turn, since only the log's leader grants.
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

func (s *shareRenewer) requestFrom(ctx context.Context, p deck.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	sent := s.deps.clock.Now()
	limits := s.deps.settings.Platform
	loads, adapters, err := s.client.Lease(ctx, p.Address, s.deps.vm.DataCentre,
		execute.PoolSize(limits.ConcurrentLoads), execute.PoolSize(limits.AdapterLoads))
	if err != nil {
		return false
	}
	s.loads.RecordLease(loads, sent)
	s.adapters.RecordLease(adapters, sent)
	return true
}
