package execute

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// platform is what the executor last learnt from the platform.
type platform struct {
	leaving  map[deck.BackendName]bool
	inFlight int
	limit    int
	storeAt  time.Time // of the last answer of the weight store; zero if it does not answer
}

// watch polls the platform's list and the weight store until the context ends.
func (e *Executor) watch(ctx context.Context, g *errgroup.Group) {
	poll := func(f func(context.Context)) {
		g.Go(func() error {
			t := time.NewTicker(platformPoll)
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
	if e.cfg.Store != nil {
		poll(e.pollStore)
	}
}

// pollVMs keeps the last list while the platform does not answer.
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
	e.platform.leaving = leaving
}

func (e *Executor) pollStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	inFlight, limit, err := e.cfg.Store.Available(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.platform.storeAt = time.Time{}
		return
	}
	e.platform.inFlight, e.platform.limit, e.platform.storeAt = inFlight, limit, e.cfg.Clock.Now()
}

// loads returns the model loads that may be in flight: the data centre's own and leased part, less what the store can't
// take now. Loads wait while the store does not answer.
func (e *Executor) loads(state deck.State, now time.Time) int {
	if e.cfg.Store == nil {
		return defaultLoads
	}
	p := e.platform
	if p.storeAt.IsZero() || now.Sub(p.storeAt) > 2*platformPoll+reportTimeout {
		return 0
	}
	mine := e.ctl.loadsInFlight()
	share := OwnShare(p.limit, engineCounts(state), e.cfg.DataCentre, now)
	if e.cfg.LeasedLoads != nil {
		share += e.cfg.LeasedLoads(now)
	}
	return min(share, mine+max(0, p.limit-p.inFlight))
}

// adapterLoads returns the adapter loads that may be in flight.
func (e *Executor) adapterLoads(state deck.State, now time.Time) int {
	if e.cfg.AdapterLimit == 0 {
		return defaultAdapters
	}
	share := OwnShare(e.cfg.AdapterLimit, engineCounts(state), e.cfg.DataCentre, now)
	if e.cfg.LeasedAdapters != nil {
		share += e.cfg.LeasedAdapters(now)
	}
	return share
}

func engineCounts(s deck.State) map[deck.DataCentre]int {
	out := make(map[deck.DataCentre]int)
	for _, b := range s.BackendServers() {
		if b.Kind == deck.EngineBackend {
			out[b.DataCentre]++
		}
	}
	return out
}
