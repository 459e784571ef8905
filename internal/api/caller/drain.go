package caller

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// An inFlightRequests counts the requests in progress.
type inFlightRequests struct {
	limit int

	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when nothing runs after the close
}

// acquire counts a request or says why it is refused.
func (r *inFlightRequests) acquire() *problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return notRunProblem(http.StatusServiceUnavailable, "draining", "this VM is shutting down", drainingRetryAfter)
	}
	if r.count >= r.limit {
		return notRunProblem(http.StatusServiceUnavailable, "overloaded", "too many requests in progress", defaultRetryAfter)
	}
	r.count++
	return nil
}

func (r *inFlightRequests) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	r.signalIfIdle()
}

// startDraining stops new requests and returns a channel that is closed when none runs.
func (r *inFlightRequests) startDraining() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		r.draining = true
		r.idle = make(chan struct{})
		r.signalIfIdle()
	}
	return r.idle
}

func (r *inFlightRequests) signalIfIdle() {
	if r.draining && r.count == 0 {
		close(r.idle)
	}
}

// Drain refuses new requests and waits until the running ones and their cancels and crash reports are done, or until
// ctx ends.
func (h *Handler) Drain(ctx context.Context) error {
	h.once.Do(h.init)
	select {
	case <-h.inFlight.startDraining():
		h.runner.Wait()
		return nil
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "requests are still running")
	}
}
