package balance

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const budgetBuckets = 10 // per window

// A RetryBudget bounds the retries of each service to this entry VM's part of the budget that all entry VMs share. SetLimits
// must be called before use.
type RetryBudget struct {
	mu       sync.Mutex
	window   time.Duration
	ratio    float64
	slack    float64
	services map[deck.ServiceName]*budgetWindow
}

type budgetWindow struct {
	bucket  int64 // number of the newest bucket since the Unix epoch
	calls   [budgetBuckets]int
	retries [budgetBuckets]int
}

// SetLimits sets the window, the ratio of retries to calls in it, and the number of retries allowed beyond that ratio.
func (b *RetryBudget) SetLimits(window time.Duration, ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window, b.ratio, b.slack = window, ratio, slack
}

// RecordCall records the first attempt of a call.
func (b *RetryBudget) RecordCall(now time.Time, s deck.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, s)
	w.calls[w.bucket%budgetBuckets]++
}

// TakeRetry takes a retry from the budget. It returns false if the budget is spent.
func (b *RetryBudget) TakeRetry(now time.Time, s deck.ServiceName) bool {
	return b.TakeRetryAbove(now, s, 0)
}

// TakeRetryAbove takes a retry from the budget if the given share of the budget is left for other retries after it.
func (b *RetryBudget) TakeRetryAbove(now time.Time, s deck.ServiceName, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, s)
	calls, retries := 0, 0
	for i := range budgetBuckets {
		calls += w.calls[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > (1-reserve)*(b.ratio*float64(calls)+b.slack) {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// current returns the service's window after clearing the buckets that have expired. The caller holds the lock.
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
