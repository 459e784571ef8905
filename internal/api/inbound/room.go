package inbound

import (
	"context"
	"sync"
)

// A Room holds what is read of answers for one request. It belongs to the request's context, so that what reads from backend servers
// finds it there. A nil Room takes nothing.
type Room struct {
	mu    sync.Mutex
	hold  *Hold
	ended bool
}

type roomKey struct{}

// WithRoom returns a context with an empty room in the budget, and a function that gives its bytes back, after which it gets no more.
func (b *Budget) WithRoom(ctx context.Context) (_ context.Context, end func()) {
	r := &Room{hold: b.Open(Answers, nil)}
	return context.WithValue(ctx, roomKey{}, r), r.end
}

// RoomOf returns the room of a context, or nil if it has none.
func RoomOf(ctx context.Context) *Room {
	r, _ := ctx.Value(roomKey{}).(*Room)
	return r
}

// Grow takes n more bytes and reports whether they may be used.
func (r *Room) Grow(n int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.hold.Grow(n)
}

// Shrink gives n bytes back.
func (r *Room) Shrink(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.hold.Shrink(n)
	}
}

func (r *Room) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.hold.Release()
}
