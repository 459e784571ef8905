package ingress

import (
	"context"
	"sync"
)

// An ending tells calls in flight that this VM is about to stop. The zero value has not ended.
type ending struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// end runs the functions that notify has registered, and from now on each further one at once.
func (e *ending) end() {
	e.context()
	e.cancel()
}

// notify registers a function that end runs in a goroutine of its own; stop unregisters it.
func (e *ending) notify(f func()) (stop func() bool) {
	return context.AfterFunc(e.context(), f)
}

func (e *ending) context() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil {
		e.ctx, e.cancel = context.WithCancel(context.Background())
	}
	return e.ctx
}
