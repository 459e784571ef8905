package allowance

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxNeeds is the largest number of customers in one request; the others follow in the next.
const maxNeeds = 128

// Run asks for credit when it is needed, one request at a time, until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	t.mu.Lock()
	kicked := t.kicked()
	t.mu.Unlock()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	retry := retryInterval
	for {
		var due <-chan time.Time
		if t.holdsAny() {
			due = check.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-kicked:
		case <-due:
		}
		if t.exchange(ctx) {
			retry = retryInterval
			continue
		}
		deck.Sleep(ctx, retry)
		retry = min(2*retry, maxRetryInterval)
	}
}

// holdsAny reports whether there is state of any customer.
func (t *Table) holdsAny() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.purses) > 0
}

// exchange sends a request if there is something to ask for, and handles its answer; it returns false if there was none.
func (t *Table) exchange(ctx context.Context) bool {
	sentAt := t.Clock.Now()
	r, asked := t.nextRequest(sentAt)
	if len(r.Needs) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	a, err := t.Source.TakeCredit(ctx, r)
	if err != nil || len(a.Grants) != len(r.Needs) {
		t.handleFailure(r, asked)
		return false
	}
	t.handleAnswer(t.Clock.Now(), sentAt, r, a, asked)
	return true
}

// nextRequest returns the next request, and the channels to close once it has been answered or has failed.
func (t *Table) nextRequest(now time.Time) (r deck.CreditRequest, asked []chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.needsMessage(now) {
		return deck.CreditRequest{}, nil
	}
	for name, p := range t.purses {
		if len(r.Needs) == maxNeeds {
			t.wake()
			break
		}
		need, ok := p.need(now, name)
		if !ok {
			continue
		}
		r.Needs = append(r.Needs, need)
		asked = append(asked, p.asked)
		p.asked, p.calls, p.least, p.askSoon = make(chan struct{}), 0, 0, false
	}
	if len(r.Needs) == 0 {
		return deck.CreditRequest{}, nil
	}
	t.serial++
	r.VM, r.Process, r.Serial, r.Heard = t.Self, t.Process, t.serial, t.heard
	return r, asked
}

// needsMessage reports whether there is something to ask for, and drops the state of customers that have long had no calls or are gone.
// The caller holds the lock.
func (t *Table) needsMessage(now time.Time) bool {
	needed := false
	for name, p := range t.purses {
		if p.needsMessage(now) {
			needed = true
		} else if now.Sub(p.calledAt) > forgetVM {
			delete(t.purses, name)
		}
	}
	return needed
}

func (t *Table) handleFailure(r deck.CreditRequest, asked []chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = true
	for i, need := range r.Needs {
		if p := t.purses[need.Customer]; p != nil {
			p.untold = true
		}
		close(asked[i])
	}
}

func (t *Table) handleAnswer(now, sentAt time.Time, r deck.CreditRequest, a deck.CreditAnswer, asked []chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard, t.heardAt, t.failing = r.Serial, now, false
	if t.usesShare {
		t.usesShare = false
		t.Log.Info("a leader grants credit again; the own share of allowances is not used any more")
	}
	for _, p := range t.purses {
		p.own = 0
	}
	for i, need := range r.Needs {
		if p := t.purses[need.Customer]; p != nil {
			p.apply(now, sentAt, a.Grants[i])
		}
		close(asked[i])
	}
}
