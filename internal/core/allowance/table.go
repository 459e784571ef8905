package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// answerTimeout covers a round trip between regions; a request for credit has callers who wait.
	answerTimeout = 250 * time.Millisecond

	// retryInterval is the time until the next request after one has failed, which doubles up to maxRetryInterval.
	retryInterval, maxRetryInterval = 50 * time.Millisecond, 150 * time.Millisecond

	// checkInterval is the time between two checks for what is to be given back.
	checkInterval = 100 * time.Millisecond

	// deniedTime is the time for which the answer of a leader that it has no credit says why a call gets none.
	deniedTime = 500 * time.Millisecond

	// unknownWait is the time after which a caller may try again whose call no leader has answered for.
	unknownWait = time.Second
)

// A Table keeps the credit that an entry VM holds. Its zero value holds none and logs nothing. Its exported fields must be set before use.
type Table struct {
	Log     logr.Logger
	Self    deck.VMName
	Process uint64            // differs for each start of the process
	Clock   deck.Clock        // advances while the VM is suspended
	Source  deck.CreditSource // grants credit

	mu        sync.Mutex
	purses    map[deck.CustomerName]*purse
	serial    uint64    // of the last request
	heard     uint64    // serial of the last request that was answered
	heardAt   time.Time // when its answer arrived
	failing   bool      // whether the last request has failed
	usesShare bool      // whether a call was served from a share since the last answer
	kick      chan struct{}
}

// A Decision says whether a call may run.
type Decision struct {
	Admitted bool
	Over     bool          // the customer is over its allowance; otherwise, if the call may not run, no leader could be asked
	Wait     time.Duration // time after which the call may be admitted
	Credit   Credit
}

// A Credit is what an admitted call has been counted as. The zero value counts nothing.
type Credit struct {
	customer deck.CustomerName
	amount   float64
	until    time.Time
	sent     bool // the call has been sent to a backend server
}

// Take decides whether a call of a customer may run, and counts it if so. It waits for credit for maxWait at most.
func (t *Table) Take(ctx context.Context, c deck.Customer, cost float64, maxWait time.Duration) Decision {
	if !c.Allowance.Limited() || cost <= 0 {
		return Decision{Admitted: true}
	}
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	end := t.Clock.Now().Add(maxWait)
	p := t.record(c.Name, cost)
	waits := false
	defer func() {
		if waits {
			t.addWaiting(p, -cost)
		}
	}()
	for {
		now := t.Clock.Now()
		d, asked := t.try(now, c.Name, cost, waits)
		var again <-chan time.Time
		switch {
		case d.Admitted, asked == nil && !d.Over:
			return d
		case d.Over && now.Add(d.Wait).After(end):
			return t.refuseWaiting(c.Name)
		case d.Over:
			again = time.After(d.Wait)
		}
		if !waits {
			waits = true
			t.addWaiting(p, cost)
		}
		select {
		case <-asked:
		case <-again:
		case <-ctx.Done():
			return Decision{Wait: unknownWait}
		case <-deadline.C:
			return t.refuseWaiting(c.Name)
		}
	}
}

// record counts a call that asks for credit.
func (t *Table) record(name deck.CustomerName, cost float64) *purse {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.purses[name]
	if p == nil {
		if t.purses == nil {
			t.purses = make(map[deck.CustomerName]*purse)
		}
		p = &purse{asked: make(chan struct{})}
		t.purses[name] = p
	}
	p.record(t.Clock.Now(), cost)
	return p
}

func (t *Table) addWaiting(p *purse, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.waiting += cost
}

// try decides about a call; one that doesn't wait yet leaves credit for those that do. If that needs a request, it returns a channel that is
// closed when there is an answer or none will come.
func (t *Table) try(now time.Time, name deck.CustomerName, cost float64, waits bool) (Decision, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.purses[name]
	if p == nil {
		return Decision{Wait: unknownWait}, nil // dropped, since the call has waited for very long
	}
	reserved := p.waiting
	if waits {
		reserved = 0
	}
	if until, ok := p.spend(now, cost, reserved); ok {
		if p.isLow(now) {
			p.askSoon = true
			t.wake()
		}
		t.recordAdmitted(now, name, p, cost)
		p.pending += cost
		return Decision{Admitted: true, Credit: Credit{customer: name, amount: cost, until: until}}, nil
	}
	if now.Before(p.askAfter) {
		return Decision{Over: true, Wait: max(p.creditAt.Sub(now), p.askAfter.Sub(now))}, nil
	}
	cutOff := t.failing && now.Sub(t.heardAt) > shareDelay
	if cutOff && p.spendShare(now, t.heardAt.Add(withMargin(shareDelay)), cost) {
		t.recordShareUse(name)
		p.usage.Used += cost
		return Decision{Admitted: true}, nil
	}
	t.wake()
	if cutOff {
		p.calls, p.least = cost, cost
		return Decision{Wait: unknownWait}, nil
	}
	if p.calls == 0 || cost < p.least {
		p.least = cost
	}
	p.calls += cost
	return Decision{}, p.asked
}

// refuseWaiting decides about a call that has waited for as long as it may.
func (t *Table) refuseWaiting(name deck.CustomerName) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, p := t.Clock.Now(), t.purses[name]
	if p == nil || t.failing || p.deniedAt.IsZero() || now.Sub(p.deniedAt) > deniedTime {
		return Decision{Wait: unknownWait}
	}
	d := Decision{Over: true, Wait: max(0, p.creditAt.Sub(now))}
	t.recordRefusal(name, p, d)
	return d
}

// Sent says that a call is sent to a backend server. Until then the leader replaces no credit that the call may give back.
func (t *Table) Sent(c *Credit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(c)
}

// settle is Sent for a caller that holds the lock.
func (t *Table) settle(c *Credit) {
	if p := t.purses[c.customer]; p != nil && !c.sent {
		p.pending = max(0, p.pending-c.amount)
	}
	c.sent = true
}

// Return gives back the credit of a call that has not run. Credit that has lapsed is lost.
func (t *Table) Return(c *Credit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(c)
	p := t.purses[c.customer]
	if p == nil || !t.Clock.Now().Before(c.until) {
		return
	}
	p.put(c.amount, c.until)
	p.usage.Used -= c.amount
}

// wake makes Run send a request. The caller holds the lock.
func (t *Table) wake() {
	select {
	case t.kicked() <- struct{}{}:
	default:
	}
}

// kicked returns the channel that wakes Run. The caller holds the lock.
func (t *Table) kicked() chan struct{} {
	if t.kick == nil {
		t.kick = make(chan struct{}, 1)
	}
	return t.kick
}
