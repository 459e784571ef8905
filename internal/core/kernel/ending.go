package kernel

import (
	"context"
	"sync"
)

// An Ending tells work in progress that this VM is about to stop. The zero value has not ended.
type Ending struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// End runs the functions that Notify has registered, and from now on each further one at once.
func (e *Ending) End() {
	e.context()
	e.cancel()
}

// Notify registers a function that End runs in a goroutine of its own; stop unregisters it.
func (e *Ending) Notify(f func()) (stop func() bool) {
	return context.AfterFunc(e.context(), f)
}

func (e *Ending) context() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil {
		e.ctx, e.cancel = context.WithCancel(context.Background())
	}
	return e.ctx
}
