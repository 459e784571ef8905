package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// TickEvery is the interval of Core.Tick; it bounds how late a refusal or a preemption can be.
	TickEvery = 50 * time.Millisecond
	// reportTimeout bounds one report to the poison store.
	reportTimeout = 5 * time.Second
)

// A Router admits requests and chooses backend servers for one entry VM.
type Router struct {
	*Core
	poison deck.PoisonStore
}

var _ deck.Router = (*Router)(nil)

// New returns a Router; requests wait without being expired until Start is called.
func New(cfg Config) *Router {
	return &Router{Core: NewCore(cfg), poison: cfg.Poison}
}

// Start runs the router's periodic work in the group until the context ends, and then closes the done channel.
func (r *Router) Start(ctx context.Context, g *errgroup.Group) (done <-chan struct{}) {
	ended := make(chan struct{})
	g.Go(func() error {
		defer close(ended)
		t := time.NewTicker(TickEvery)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				r.Tick()
			}
		}
	})
	g.Go(func() error {
		r.reportCrashes(ctx)
		return nil
	})
	return ended
}

// reportCrashes sends crashes to the poison store beside the ticks, because a report may wait for the log.
func (r *Router) reportCrashes(ctx context.Context) {
	t := time.NewTicker(TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, cr := range r.TakeCrashes() {
				r.reportCrash(ctx, cr)
			}
		}
	}
}

// reportCrash tries once: a request that goes on crashing servers is reported again at the next crash.
func (r *Router) reportCrash(ctx context.Context, cr Crash) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_ = r.poison.ReportCrash(ctx, cr.Digest, cr.Backend, cr.Alone)
}

// Admit implements deck.Router.Admit.
func (r *Router) Admit(ctx context.Context, info deck.RequestInfo) (deck.Admission, *deck.Refusal) {
	told := make(chan *deck.Refusal, 1)
	h := r.Submit(info, func(ref *deck.Refusal) { told <- ref })
	select {
	case ref := <-told:
		if ref != nil {
			return nil, ref
		}
		return &admission{core: r.Core, hold: h}, nil
	case <-ctx.Done():
		r.Release(h)
		return nil, refused(deck.RefusedOverload, "caller has gone", 0)
	}
}
