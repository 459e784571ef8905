package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// MaxQueued is the most items of one class in a model's queue. With a wait of a second it covers several hundred requests/s
// for one model.
const MaxQueued = 256

// A Queue holds the waiting requests of one model. The zero value is empty.
type Queue struct {
	items   []Item
	running map[string]int // running requests by caller
	// startIntervals are separate for each class, since batch work starts rarely and its intervals say nothing about interactive
	// work.
	startIntervals [2]startInterval
}

// Push adds an item. It returns false if the class's queue is full; items that were admitted before are always accepted.
func (q *Queue) Push(it Item) bool {
	if !it.Admitted && q.Waiting(it.Class) >= MaxQueued {
		return false
	}
	q.items = append(q.items, it)
	return true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return len(q.items)
}

// Waiting returns the number of waiting items of a class.
func (q *Queue) Waiting(c deck.Class) int {
	n := 0
	for _, it := range q.items {
		if it.Class == c {
			n++
		}
	}
	return n
}

// Next returns the item that should start next among those for which skip returns false; a nil skip excludes none.
func (q *Queue) Next(now time.Time, skip func(Item) bool) (Item, bool) {
	best := -1
	for i, it := range q.items {
		if skip != nil && skip(it) {
			continue
		}
		if best < 0 || q.less(it, q.items[best], now) {
			best = i
		}
	}
	if best < 0 {
		return Item{}, false
	}
	return q.items[best], true
}

// Compare orders items of different models: aged items first, then by class, then by deadline.
func Compare(a, b Item, now time.Time) int {
	if aa, ba := a.Aged(now), b.Aged(now); aa != ba {
		if aa {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Class, b.Class), a.sortTime().Compare(b.sortTime()))
}

// less orders the queue's items: aged items first, then by class, then by the caller's running requests, then by deadline.
func (q *Queue) less(a, b Item, now time.Time) bool {
	if aa, ba := a.Aged(now), b.Aged(now); aa != ba {
		return aa
	} else if aa {
		return a.Enqueued.Before(b.Enqueued)
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if ra, rb := q.running[a.Caller], q.running[b.Caller]; ra != rb {
		return ra < rb
	}
	if !a.sortTime().Equal(b.sortTime()) {
		return a.sortTime().Before(b.sortTime())
	}
	return a.ID < b.ID
}

// Start removes an item that starts now and counts it as a running request of its caller.
func (q *Queue) Start(id uint64, now time.Time) {
	i := q.index(id)
	if i < 0 {
		return
	}
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.adjustRunning(it.Caller, 1)
	q.startIntervals[it.Class].observe(now, now.Sub(it.Enqueued))
}

// AddRunning counts a running request of the caller. It is for requests that leave the queue other than by Start.
func (q *Queue) AddRunning(caller string) {
	q.adjustRunning(caller, 1)
}

// RemoveRunning removes one of the caller's running requests from the count, because it ended or goes back to the queue.
func (q *Queue) RemoveRunning(caller string) {
	q.adjustRunning(caller, -1)
}

// Remove drops a waiting item. It returns false if the item is not in the queue.
func (q *Queue) Remove(id uint64) bool {
	i := q.index(id)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Expire removes and returns the items that can no longer meet their deadline, given the expected time to the first token.
func (q *Queue) Expire(now time.Time, firstToken time.Duration) []Item {
	var out []Item
	q.items = slices.DeleteFunc(q.items, func(it Item) bool {
		late := !it.Admitted && now.After(it.LatestStart(firstToken))
		if late {
			out = append(out, it)
		}
		return late
	})
	return out
}

// Newest returns the item of a class that was queued last and was not admitted before.
func (q *Queue) Newest(c deck.Class) (Item, bool) {
	for _, it := range slices.Backward(q.items) {
		if it.Class == c && !it.Admitted {
			return it, true
		}
	}
	return Item{}, false
}

// ExpectedWait returns the expected wait of a new item of a class, from the recent intervals between starts.
func (q *Queue) ExpectedWait(c deck.Class) time.Duration {
	wait := time.Duration(q.Waiting(c)) * q.startIntervals[c].mean
	if c == deck.Batch {
		wait += q.ExpectedWait(deck.Interactive)
	}
	return wait
}

// StartInterval returns the moving average of the time between starts of a class.
func (q *Queue) StartInterval(c deck.Class) time.Duration {
	return q.startIntervals[c].mean
}

// A startInterval is the moving average of the time between starts while requests wait.
type startInterval struct {
	mean time.Duration
	last time.Time
}

// observe updates the mean. A start without a wait counts as an interval of 0, so that the expected wait falls after a queue
// has emptied.
func (s *startInterval) observe(now time.Time, waited time.Duration) {
	const smoothing = 0.1
	sample := time.Duration(0)
	if waited > 0 && !s.last.IsZero() {
		sample = min(now.Sub(s.last), waited)
	}
	s.mean += time.Duration(smoothing * float64(sample-s.mean))
	s.last = now
}

func (q *Queue) adjustRunning(caller string, d int) {
	if q.running == nil {
		q.running = make(map[string]int)
	}
	q.running[caller] += d
	if q.running[caller] <= 0 {
		delete(q.running, caller)
	}
}

func (q *Queue) index(id uint64) int {
	return slices.IndexFunc(q.items, func(it Item) bool { return it.ID == id })
}
