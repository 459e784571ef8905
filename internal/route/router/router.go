package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TickInterval is the interval of Core.Tick; a refusal or a preemption can be late by up to this time.
const TickInterval = 50 * time.Millisecond

// A Router admits requests and chooses backend servers for one entry VM.
type Router struct {
	*Core
}

var _ deck.Router = (*Router)(nil)

// New returns a Router; waiting requests don't expire until Start is called.
func New(cfg Config) *Router {
	return &Router{Core: NewCore(cfg)}
}

// Start runs the router's periodic work in the group until the context is done, and then closes the returned channel.
func (r *Router) Start(ctx context.Context, g *errgroup.Group) (done <-chan struct{}) {
	stopped := make(chan struct{})
	g.Go(func() error {
		defer close(stopped)
		t := time.NewTicker(TickInterval)
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
	return stopped
}

// Admit implements deck.Router.Admit.
func (r *Router) Admit(ctx context.Context, info deck.RequestInfo) (deck.Admission, *deck.Refusal) {
	notified := make(chan *deck.Refusal, 1)
	req := r.Submit(info, func(ref *deck.Refusal) { notified <- ref })
	select {
	case ref := <-notified:
		if ref != nil {
			return nil, ref
		}
		return &admission{core: r.Core, request: req}, nil
	case <-ctx.Done():
		r.Release(req)
		return nil, newRefusal(deck.RefusedOverload, "caller has gone", 0)
	}
}
