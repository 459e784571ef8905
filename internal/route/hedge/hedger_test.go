package hedge_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/hedge"
)

const (
	share  = 0.05
	window = 10 * time.Second
)

var key = hedge.Key{Route: "r", Model: "m"}

// A load plays calls at a fixed rate in virtual time, each of which is sent to one server, and to a second one if it is late.
type load struct {
	hedger  hedge.Hedger
	random  *rand.Rand
	now     time.Time
	latency func(r *rand.Rand, server int) time.Duration // of a send to one of servers

	sentAt, calledAt []time.Time
	latencies        []time.Duration // of the calls
}

const servers = 10

func newLoad(limit float64, latency func(r *rand.Rand, server int) time.Duration) *load {
	l := &load{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), latency: latency}
	l.hedger.SetLimit(limit, window)
	return l
}

// play plays n calls, one each 10 ms.
func (l *load) play(n int) {
	for range n {
		l.now = l.now.Add(10 * time.Millisecond)
		l.latencies = append(l.latencies, l.call())
	}
}

func (l *load) call() time.Duration {
	l.hedger.RecordCall(l.now, "svc")
	l.calledAt = append(l.calledAt, l.now)
	server := l.random.IntN(servers)
	first := l.latency(l.random, server)
	delay, ok := l.hedger.Delay(l.now, key)
	second := time.Hour
	if ok && first > delay && l.hedger.Allows(l.now, "svc") && l.hedger.TakeSend(l.now, func() bool { return true }) {
		l.sentAt = append(l.sentAt, l.now)
		second = delay + l.latency(l.random, (server+1+l.random.IntN(servers-1))%servers)
		l.hedger.RecordEnd(l.now, key, second < first, true, 100)
	}
	l.hedger.RecordLatency(l.now, key, min(first, second))
	return min(first, second)
}

// tail returns the mean of the slowest hundredth of the calls since the given one.
func (l *load) tail(from int) time.Duration {
	sorted := slices.Sorted(slices.Values(l.latencies[from:]))
	slowest := sorted[len(sorted)-len(sorted)/100:]
	sum := time.Duration(0)
	for _, d := range slowest {
		sum += d
	}
	return sum / time.Duration(len(slowest))
}

// checkLimit checks the share in each window that ends with a second send.
func (l *load) checkLimit(t *testing.T) {
	t.Helper()
	for _, end := range l.sentAt {
		in := func(times []time.Time) (n int) {
			for _, at := range times {
				if at.After(end.Add(-window)) && !at.After(end) {
					n++
				}
			}
			return n
		}
		if sends, calls := in(l.sentAt), in(l.calledAt); float64(sends) > share*float64(calls) {
			t.Fatalf("%d second sends for %d calls in the window to %v", sends, calls, end)
		}
	}
}

func usual(r *rand.Rand, _ int) time.Duration {
	return time.Duration(20+20*r.Float64()) * time.Millisecond
}

// TestOneSlowServer guards against callers who wait for a slow server while others are idle. Load pattern: one server of ten takes
// thirty times as long as the others for a part of its calls.
func TestOneSlowServer(t *testing.T) {
	is := is.New(t)
	slow := func(r *rand.Rand, server int) time.Duration {
		if server == 0 && r.Float64() < 0.3 {
			return 900 * time.Millisecond
		}
		return usual(r, server)
	}
	without, with := newLoad(0, slow), newLoad(share, slow)
	without.play(3000)
	with.play(3000)
	is.Equal(len(without.sentAt), 0)
	is.True(with.tail(1000) < without.tail(1000)/5)
	is.True(with.hedger.Counts().Won > with.hedger.Counts().Sent/2)
	with.checkLimit(t)
}

// TestAllSlow guards against a burst of second sends when every server becomes slow, which would make them slower. Load pattern: all
// servers take ten times as long from one moment on.
func TestAllSlow(t *testing.T) {
	is := is.New(t)
	factor := time.Duration(1)
	l := newLoad(share, func(r *rand.Rand, server int) time.Duration { return factor * usual(r, server) })
	l.play(3000)
	factor = 10
	l.play(9000)
	l.checkLimit(t)
	is.True(float64(l.hedger.Counts().Sent) <= share*12000)
	d, ok := l.hedger.Delay(l.now, key)
	is.True(ok)
	is.True(d > 300*time.Millisecond) // the delay has followed
}

// TestTailByNature guards against work for second sends that win nothing. Load pattern: one call in twenty takes thirty times as long as
// the others on any server.
func TestTailByNature(t *testing.T) {
	is := is.New(t)
	l := newLoad(share, nil)
	long := false
	l.latency = func(r *rand.Rand, server int) time.Duration {
		if long {
			return 900 * time.Millisecond
		}
		return usual(r, server)
	}
	for n := range 12000 {
		long = n%20 == 0
		l.play(1)
	}
	l.checkLimit(t)
	sent := l.hedger.Counts().Sent
	is.True(float64(sent) < share*12000/3) // a third of what the limit allows
}

// TestStuckServer guards against a server that answers nothing and is never found, since each call to it is answered by another.
func TestStuckServer(t *testing.T) {
	is := is.New(t)
	var h hedge.Hedger
	now := time.Unix(1000, 0)
	never := func(time.Time) bool { return false }
	always := func(time.Time) bool { return true }
	is.Equal(h.Silence(now, "s", now.Add(-100*time.Millisecond), never), 100*time.Millisecond)
	now = now.Add(time.Second)
	is.Equal(h.Silence(now, "s", now.Add(-100*time.Millisecond), never), 1100*time.Millisecond)
	is.Equal(h.Silence(now, "s", now.Add(-100*time.Millisecond), always), time.Duration(0))
	is.Equal(h.Silence(now, "s", now.Add(-100*time.Millisecond), never), 100*time.Millisecond)
}

// TestOverload guards against second sends that take room from calls which have none. Load pattern: demand exceeds what the servers take, so
// that they refuse one call in ten.
func TestOverload(t *testing.T) {
	is := is.New(t)
	var h hedge.Hedger
	h.SetLimit(share, window)
	now := time.Unix(1000, 0)
	for n := range 1000 {
		now = now.Add(10 * time.Millisecond)
		h.RecordCall(now, "svc")
		if n%10 == 0 {
			h.RecordTurnedAway(now, "svc")
		}
	}
	is.True(!h.Allows(now, "svc"))
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		h.RecordCall(now, "svc")
	}
	is.True(h.Allows(now, "svc"))
	is.Equal(h.Counts().Limited, int64(0)) // overload is no matter of the limit
}

// TestLimitHoldsWhateverTheLoad guards against more second sends than the share in any window that ends with one. Load pattern: the rate of
// calls rises and falls by steps, with pauses, and every call is late.
func TestLimitHoldsWhateverTheLoad(t *testing.T) {
	is := is.New(t)
	l := newLoad(share, usual)
	for range 300 {
		pause := time.Duration(l.random.ExpFloat64() * float64(50*time.Millisecond))
		if l.random.IntN(20) == 0 {
			pause = time.Duration(l.random.IntN(12)) * time.Second
		}
		for range l.random.IntN(80) {
			l.now = l.now.Add(pause / 20)
			l.hedger.RecordCall(l.now, "svc")
			l.calledAt = append(l.calledAt, l.now)
			if l.hedger.Allows(l.now, "svc") && l.hedger.TakeSend(l.now, func() bool { return true }) {
				l.sentAt = append(l.sentAt, l.now)
			}
		}
	}
	is.True(len(l.sentAt) > 100)
	l.checkLimit(t)
}

// TestRetryBudgetGoesFirst guards against second sends that leave no retries for calls whose server has failed.
func TestRetryBudgetGoesFirst(t *testing.T) {
	is := is.New(t)
	var h hedge.Hedger
	h.SetLimit(share, window)
	now := time.Unix(1000, 0)
	for range 100 {
		h.RecordCall(now, "svc")
	}
	is.True(!h.TakeSend(now, func() bool { return false }))
	is.Equal(h.Counts(), hedge.Counts{Limited: 1})
	is.True(h.TakeSend(now, func() bool { return true }))
}

// TestModelWithFewCalls guards against calls that are never late because their model has too few calls to tell.
func TestModelWithFewCalls(t *testing.T) {
	is := is.New(t)
	var h hedge.Hedger
	h.SetLimit(share, window)
	now := time.Unix(1000, 0)
	for n := range 60 {
		h.RecordLatency(now, hedge.Key{Route: "r", Model: deck.ModelName(rune('a' + n%6))}, time.Duration(n)*time.Millisecond)
	}
	d, ok := h.Delay(now, hedge.Key{Route: "r", Model: "a"})
	is.True(ok)
	is.True(d > 50*time.Millisecond)
	_, ok = h.Delay(now, hedge.Key{Route: "other", Model: "a"})
	is.True(!ok)
}

// TestOff guards against second sends where the settings allow none.
func TestOff(t *testing.T) {
	is := is.New(t)
	var none *hedge.Hedger
	is.True(!none.Enabled())
	none.RecordCall(time.Unix(1000, 0), "svc")
	none.RecordTurnedAway(time.Unix(1000, 0), "svc")
	is.Equal(none.Counts(), hedge.Counts{})
	is.True(!new(hedge.Hedger).Enabled())
}

// TestEligible guards against a second run of a call that must not run twice, or on more servers than its route allows.
func TestEligible(t *testing.T) {
	ok := hedge.Call{Repeatable: true, MaxAttempts: 2}
	for _, tt := range []struct {
		name   string
		change func(*hedge.Call)
		want   bool
	}{
		{"repeatable", func(*hedge.Call) {}, true},
		{"not repeatable", func(c *hedge.Call) { c.Repeatable = false }, false},
		{"one attempt", func(c *hedge.Call) { c.MaxAttempts = 1 }, false},
		{"has run once", func(c *hedge.Call) { c.PossibleRuns = 1 }, false},
		{"has run once of three", func(c *hedge.Call) { c.PossibleRuns, c.MaxAttempts = 1, 3 }, true},
		{"answer has begun", func(c *hedge.Call) { c.Begun = true }, false},
		{"suspect", func(c *hedge.Call) { c.Suspect = true }, false},
		{"VM stops", func(c *hedge.Call) { c.Stopping = true }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := ok
			tt.change(&c)
			is.New(t).Equal(c.Eligible(), tt.want)
		})
	}
}
