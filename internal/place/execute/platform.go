package execute

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A platformStatus holds the last answers of the platform's VM list and of the weight store.
type platformStatus struct {
	leaving         map[deck.BackendName]bool
	storeInFlight   int       // loads in flight at the weight store
	storeLimit      int       // loads that the weight store allows
	storeAnsweredAt time.Time // time of the weight store's last answer; zero after a failed request
}

// pollPlatform polls the platform's VM list and the weight store until the context ends.
func (e *Executor) pollPlatform(ctx context.Context, g *errgroup.Group) {
	poll := func(f func(context.Context)) {
		g.Go(func() error {
			t := time.NewTicker(platformPollInterval)
			defer t.Stop()
			for {
				f(ctx)
				select {
				case <-ctx.Done():
					return nil
				case <-t.C:
				}
			}
		})
	}
	if e.cfg.VMs != nil {
		poll(e.pollVMs)
	}
	if e.cfg.WeightStore != nil {
		poll(e.pollStore)
	}
}

// pollVMs updates the set of leaving servers. It keeps the last set while the platform does not answer.
func (e *Executor) pollVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	list, err := e.cfg.VMs.List(ctx)
	if err != nil {
		return
	}
	leaving := make(map[deck.BackendName]bool)
	for _, v := range list {
		if v.Leaving {
			leaving[deck.BackendName(v.VM)] = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.platformStatus.leaving = leaving
}

func (e *Executor) pollStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	storeInFlight, storeLimit, err := e.cfg.WeightStore.Status(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.platformStatus.storeAnsweredAt = time.Time{}
		return
	}
	e.platformStatus.storeInFlight, e.platformStatus.storeLimit, e.platformStatus.storeAnsweredAt = storeInFlight, storeLimit, e.cfg.Clock.Now()
}

// loadLimit returns the number of model loads that may be in flight: the data centre's owned and leased parts, bounded by
// what the weight store can accept. It is 0 while the weight store does not answer.
func (e *Executor) loadLimit(state deck.State, now time.Time) int {
	if e.cfg.WeightStore == nil {
		return defaultLoadLimit
	}
	p := e.platformStatus
	if p.storeAnsweredAt.IsZero() || now.Sub(p.storeAnsweredAt) > 2*platformPollInterval+reportTimeout {
		return 0
	}
	own := e.controller.loadsInFlight()
	share := OwnedShare(p.storeLimit, engineCounts(state), e.cfg.DataCentre, now)
	if e.cfg.LeasedLoads != nil {
		share += e.cfg.LeasedLoads(now)
	}
	return min(share, own+max(0, p.storeLimit-p.storeInFlight))
}

// adapterLoadLimit returns the number of adapter loads that may be in flight.
func (e *Executor) adapterLoadLimit(state deck.State, now time.Time) int {
	if e.cfg.AdapterLimit == 0 {
		return defaultAdapterLoadLimit
	}
	share := OwnedShare(e.cfg.AdapterLimit, engineCounts(state), e.cfg.DataCentre, now)
	if e.cfg.LeasedAdapters != nil {
		share += e.cfg.LeasedAdapters(now)
	}
	return share
}

// engineCounts returns the number of engines of each data centre.
func engineCounts(s deck.State) map[deck.DataCentre]int {
	out := make(map[deck.DataCentre]int)
	for _, b := range s.BackendServers() {
		if b.Kind == deck.EngineBackend {
			out[b.DataCentre]++
		}
	}
	return out
}
