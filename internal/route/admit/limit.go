package admit

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// TargetGap is the time between tokens that users need at 95 in 100.
	TargetGap = 47 * time.Millisecond
	// Above highGap the limit falls, below lowGap it may rise; the margin leaves room for variation around the mean.
	highGap = TargetGap * 85 / 100
	lowGap  = TargetGap * 75 / 100
	// adjustInterval is several token intervals, so that a change shows before the next one.
	adjustInterval = 200 * time.Millisecond
	// InitialLimit is generous: a low one made requests queue before idle engines when a peer slowed down.
	InitialLimit   = 24
	minLimit       = 1
	maxLimit       = 512
	decreaseFactor = 0.93
	increaseShare  = 0.1
	// mixedHighGap bounds batch work on a server that also has interactive work: a burst must find short steps, because a
	// first token waits for the step that is running.
	mixedHighGap = TargetGap * 45 / 100
	initialBatch = 4
	// gapSmoothing is the weight of one token's sample.
	gapSmoothing = 0.02
)

// A Limit is the adaptive bound of own work in flight on one backend server; its zero value is ready for use.
type Limit struct {
	all      adaptiveBound
	batch    adaptiveBound
	gap      float64 // smoothed seconds between tokens
	adjusted time.Time
}

// A Work is own work in flight on one backend server.
type Work struct {
	All         int
	Batch       int
	Interactive bool // there is or was interactive work lately
}

// Max returns the bound for a class.
func (l *Limit) Max(c deck.Class) int {
	n := l.all.current(InitialLimit)
	if c == deck.Batch {
		n = min(n, l.batch.current(initialBatch))
	}
	return max(minLimit, int(n))
}

// Observe adjusts the bounds by the time between two tokens; it returns true if one rose.
func (l *Limit) Observe(gap time.Duration, w Work, now time.Time) bool {
	if l.gap == 0 {
		l.gap = gap.Seconds()
	}
	l.gap += gapSmoothing * (gap.Seconds() - l.gap)
	if now.Sub(l.adjusted) < adjustInterval {
		return false
	}
	l.adjusted = now
	rose := l.all.adjust(l.gap, highGap, lowGap, w.All, InitialLimit)
	high, low := highGap, lowGap
	if w.Interactive {
		high, low = mixedHighGap, mixedHighGap*9/10
	}
	return l.batch.adjust(l.gap, high, low, w.Batch, initialBatch) || rose
}

// An adaptiveBound is a number that falls while the gap is too high and rises while it is low and the bound is used.
type adaptiveBound float64

func (b *adaptiveBound) current(initial float64) float64 {
	if *b == 0 {
		return initial
	}
	return float64(*b)
}

// adjust returns true if the bound rose.
func (b *adaptiveBound) adjust(gap float64, high, low time.Duration, inFlight int, initial float64) bool {
	old := b.current(initial)
	n := old
	switch {
	case gap > high.Seconds():
		n = min(n, max(n*decreaseFactor, float64(inFlight)*decreaseFactor))
	case gap < low.Seconds() && float64(inFlight) >= 0.8*n:
		n += max(1, n*increaseShare)
	}
	*b = adaptiveBound(min(maxLimit, max(minLimit, n)))
	return float64(*b) > old
}
