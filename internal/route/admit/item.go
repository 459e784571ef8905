package admit

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// Waiting times after which an item goes before those that have not aged, whatever their class and caller, so that nothing
	// starves.
	interactiveAgeing = 2 * time.Second
	batchAgeing       = 30 * time.Second
	// resumeAgeing applies to requests that were admitted before, since their callers see the gap in an answer.
	resumeAgeing = 5 * time.Second
	// Longest queueing times of requests without a deadline.
	interactiveMaxWait = 30 * time.Second
	batchMaxWait       = 10 * time.Minute
)

// An Item is a request that is queued for a backend server.
type Item struct {
	ID              uint64
	Class           deck.Class
	Caller          string
	Enqueued        time.Time
	Deadline        time.Time // for the first token; zero for none
	Admitted        bool      // a server was reserved for the request before; the item is never refused and never expires
	TokensGenerated int       // so far
}

// Aged reports whether the item has waited so long that it takes precedence over all items that have not aged.
func (it Item) Aged(now time.Time) bool {
	return now.Sub(it.Enqueued) > it.ageing()
}

// Aged reports whether a request of the class that was not admitted before has aged after the wait, see Item.Aged.
func Aged(c deck.Class, wait time.Duration) bool {
	return wait > Item{Class: c}.ageing()
}

// LatestStart returns the latest time at which the item may start, given the expected time to the first token.
func (it Item) LatestStart(firstToken time.Duration) time.Time {
	if it.Deadline.IsZero() {
		return it.Enqueued.Add(it.maxWait())
	}
	return it.Deadline.Add(-firstToken)
}

func (it Item) ageing() time.Duration {
	switch {
	case it.Admitted:
		return resumeAgeing
	case it.Class == deck.Batch:
		return batchAgeing
	default:
		return interactiveAgeing
	}
}

func (it Item) maxWait() time.Duration {
	if it.Class == deck.Batch {
		return batchMaxWait
	}
	return interactiveMaxWait
}

// sortTime returns the time by which items are sorted, earliest first: the deadline, or the time from which the item is aged.
func (it Item) sortTime() time.Time {
	if it.Admitted || it.Deadline.IsZero() {
		return it.Enqueued.Add(it.ageing())
	}
	return it.Deadline
}
