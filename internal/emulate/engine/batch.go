package engine

import (
	"context"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// request is one generation request in the engine.
type request struct {
	id        deck.RequestID
	priority  int
	tokens    int // number of tokens to generate
	ctx       context.Context
	cancel    context.CancelFunc
	scheduled chan struct{} // closed when the request moves from the queue into the batch
}

// batch is a continuous batch with a priority queue in front of it.
type batch struct {
	requests map[deck.RequestID]*request // running and waiting
	waiting  []*request                  // highest priority first, in order of arrival within a priority
}

// add puts the request into the batch, or into the queue if the batch already runs limit requests.
func (b *batch) add(r *request, limit int) {
	b.requests[r.id] = r
	if len(b.requests)-len(b.waiting) <= limit {
		close(r.scheduled)
		return
	}
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority < r.priority {
		i--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[i+1:], b.waiting[i:])
	b.waiting[i] = r
}

func (b *batch) queuedTokens() int {
	n := 0
	for _, r := range b.waiting {
		n += r.tokens
	}
	return n
}

// remove removes the request and fills free places in the batch from the queue.
func (b *batch) remove(r *request, limit int) {
	if b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	for i, w := range b.waiting {
		if w == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	for len(b.waiting) > 0 && len(b.requests)-len(b.waiting) < limit {
		close(b.waiting[0].scheduled)
		b.waiting = b.waiting[1:]
	}
}
