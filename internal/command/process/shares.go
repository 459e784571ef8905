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

// shares renew the data centre's parts of the pools while this VM is the placement leader. Without an answer they expire
// and the data centre uses what it owns.
type shares struct {
	parts    *parts
	lease    deck.LeaseSource
	loads    execute.Share
	adapters execute.Share
	client   peer.PoolClient
}

func (s *shares) run(ctx context.Context) error {
	t := time.NewTicker(peer.PoolInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if _, held := s.lease.Held(); held {
			s.renew(ctx)
		}
	}
}

// renew asks the control replicas in turn, since only the log's leader grants.
func (s *shares) renew(ctx context.Context) {
	for _, p := range controlPeers(s.parts.peers) {
		if s.ask(ctx, p) {
			return
		}
	}
}

func (s *shares) ask(ctx context.Context, p deck.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	sent := s.parts.clock.Now()
	limits := s.parts.settings.Platform
	loads, adapters, err := s.client.Lease(ctx, p.Address, s.parts.vm.DataCentre,
		execute.PoolSize(limits.ConcurrentLoads), execute.PoolSize(limits.AdapterLoads))
	if err != nil {
		return false
	}
	s.loads.Lease(loads, sent)
	s.adapters.Lease(adapters, sent)
	return true
}
