package caller

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// A drain counts the requests in progress.
type drain struct {
	limit int

	mu      sync.Mutex
	running int
	closed  bool
	empty   chan struct{} // closed when nothing runs after the close
}

// enter counts a request or says why it is refused.
func (d *drain) enter() *problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return refused(http.StatusServiceUnavailable, "draining", "this VM is shutting down", retryElsewhere)
	}
	if d.running >= d.limit {
		return refused(http.StatusServiceUnavailable, "overloaded", "too many requests in progress", retrySoon)
	}
	d.running++
	return nil
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	d.settle()
}

// close stops new requests and returns a channel that is closed when none runs.
func (d *drain) close() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		d.empty = make(chan struct{})
		d.settle()
	}
	return d.empty
}

func (d *drain) settle() {
	if d.closed && d.running == 0 {
		close(d.empty)
	}
}

// Drain refuses new requests and waits until the running ones and their cancels and crash reports are done, or until
// ctx ends.
func (h *Handler) Drain(ctx context.Context) error {
	h.once.Do(h.init)
	select {
	case <-h.drain.close():
		h.runner.Wait()
		return nil
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "requests are still running")
	}
}
