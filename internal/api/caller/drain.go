package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// answerMargin is how long before the process ends the requests in flight are ended, so that their callers get an answer.
const answerMargin = 200 * time.Millisecond

// errStopping is the cause of the end of a request's context shortly before the process ends.
var errStopping = errors.New("this VM stops")

// inFlightRequests counts and limits the requests in flight. Once it is draining, it refuses new ones.
type inFlightRequests struct {
	limit int

	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when the count reaches 0 while draining
}

// acquire counts a request as in flight; if it returns a problem, the request is refused and not counted. At the limit, makeRoom ends a
// request that has not arrived as a whole, if there is one.
func (r *inFlightRequests) acquire(makeRoom func() bool) *problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return drainingProblem()
	}
	if r.count >= r.limit && !makeRoom() {
		return notRunProblem(http.StatusServiceUnavailable, "overloaded", "too many requests in progress", defaultRetryAfter)
	}
	r.count++
	return nil
}

// isDraining reports whether new requests are refused.
func (r *inFlightRequests) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

func (r *inFlightRequests) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	r.signalIfIdle()
}

// startDraining refuses new requests from now on and returns a channel that is closed when none is in flight.
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

// drainingProblem returns the response to a request that did not run because this VM is shutting down.
func drainingProblem() *problem {
	return notRunProblem(http.StatusServiceUnavailable, "draining", "this VM is shutting down", drainingRetryAfter)
}

// Drain refuses new requests and waits until those in flight, their cancellations at engines and their crash reports are
// finished; shortly before DrainTimeout it ends them. It returns an error if ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	h.once.Do(h.init)
	if h.DrainTimeout > 0 {
		end := time.AfterFunc(max(0, h.DrainTimeout-answerMargin), h.ending.End)
		defer end.Stop()
	}
	select {
	case <-h.inFlight.startDraining():
		h.runner.Wait()
		return h.checks.Wait()
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "drain the callers' listener: requests are still in flight")
	}
}
