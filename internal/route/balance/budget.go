package balance

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const budgetBuckets = 10 // parts of the window that are counted together

// A RetryBudget bounds how often calls are sent again, for one entry VM's part of the budget that all VMs share. Limits
// must be called before use.
type RetryBudget struct {
	mu       sync.Mutex
	window   time.Duration
	ratio    float64
	slack    float64
	services map[deck.ServiceName]*budgetWindow
}

type budgetWindow struct {
	bucket  int64 // number of the newest bucket
	calls   [budgetBuckets]int
	retries [budgetBuckets]int
}

// Limits sets the window, the share of calls that may be sent again in it, and how many more may be.
func (b *RetryBudget) Limits(window time.Duration, ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window, b.ratio, b.slack = window, ratio, slack
}

// Call counts the first sending of a call.
func (b *RetryBudget) Call(now time.Time, s deck.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, s)
	w.calls[w.bucket%budgetBuckets]++
}

// Again takes one further sending of a call from the budget; false means that nothing is left.
func (b *RetryBudget) Again(now time.Time, s deck.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, s)
	calls, retries := 0, 0
	for i := range budgetBuckets {
		calls += w.calls[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(calls)+b.slack {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// current returns the service's window with the buckets that have ended since emptied; the caller holds the lock.
func (b *RetryBudget) current(now time.Time, s deck.ServiceName) *budgetWindow {
	if b.services == nil {
		b.services = make(map[deck.ServiceName]*budgetWindow)
	}
	bucket := now.UnixNano() / max(1, int64(b.window)/budgetBuckets)
	w := b.services[s]
	if w == nil {
		w = &budgetWindow{bucket: bucket}
		b.services[s] = w
	}
	for n := min(bucket-w.bucket, budgetBuckets); n > 0; n-- {
		i := (bucket - n + 1) % budgetBuckets
		w.calls[i], w.retries[i] = 0, 0
	}
	w.bucket = max(bucket, w.bucket)
	return w
}
