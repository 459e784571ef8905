package process

import (
	"context"
	"sync/atomic"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
)

// A readiness answers the readiness probes of the platform's load balancer. It is registered last, so that it is the first
// to be drained and the balancer stops sending new calls.
type readiness struct {
	store    *feed.Store
	draining atomic.Bool
}

var _ kernel.Drainer = (*readiness)(nil)

// Drain implements kernel.Drainer.Drain.
func (r *readiness) Drain(context.Context) error {
	r.draining.Store(true)
	return nil
}

// Ready returns the response to a readiness probe.
func (r *readiness) Ready() operator.Readiness {
	ready, note := r.store.Readiness()
	out := operator.Readiness{Ready: ready && !r.draining.Load()}
	if note != "" {
		out.Notes = append(out.Notes, note)
	}
	if r.draining.Load() {
		out.Notes = append(out.Notes, "draining")
	}
	return out
}
