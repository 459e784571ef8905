package sim

import (
	"container/heap"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A scheduler runs events in the order of virtual time. It is also the clock of the measured code.
type scheduler struct {
	now    time.Duration // since the start of the run
	events eventHeap
	count  uint64
}

var _ deck.Clock = (*scheduler)(nil)

// epoch is the time at which runs start. It must not be the zero time, which means "none" in many types.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now implements Clock.Now.
func (s *scheduler) Now() time.Time {
	return epoch.Add(s.now)
}

// at schedules f for the given virtual time, or for now if that has passed.
func (s *scheduler) at(t time.Duration, f func()) {
	s.count++
	heap.Push(&s.events, event{at: max(t, s.now), order: s.count, run: f})
}

// after schedules f for a time after the given delay.
func (s *scheduler) after(d time.Duration, f func()) {
	s.at(s.now+d, f)
}

// every schedules f for start and then after each interval.
func (s *scheduler) every(start, interval time.Duration, f func()) {
	s.at(start, func() {
		f()
		s.every(s.now+interval, interval, f)
	})
}

// runUntil runs all events before the given time.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at < end {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// An event is a function to run at a virtual time. Events of the same time run in the order of their creation.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
