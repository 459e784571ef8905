package http1

import (
	"context"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

// A headRoom is the memory that the heads of responses to one request take, until its context ends.
type headRoom struct {
	ctx    context.Context // of the request
	memory *inbound.Budget

	mu     sync.Mutex
	hold   *inbound.Hold
	opened bool // the heads need room
	ended  bool
}

// grow takes n more bytes and reports whether they may be used.
func (r *headRoom) grow(n int) bool {
	if n <= 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	if !r.opened {
		r.opened, r.hold = true, r.memory.Open(inbound.Answers, nil)
		context.AfterFunc(r.ctx, r.release)
	}
	return r.hold.Grow(int64(n))
}

func (r *headRoom) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.hold.Release()
}
