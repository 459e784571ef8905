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
	// adjustEvery is several token intervals, so that a change shows before the next one.
	adjustEvery = 200 * time.Millisecond
	// InitialLimit is generous: a low one made requests queue before idle engines when a peer slowed down.
	InitialLimit = 24
	minLimit     = 1
	maxLimit     = 512
	fall         = 0.93
	rise         = 0.1
	// batchShare of the limit is open to batch work; the rest is kept free for bursts of interactive work.
	batchShare = 0.6
	// gapSmoothing is the weight of one token's sample.
	gapSmoothing = 0.02
)

// A Limit is the adaptive bound of own work in flight on one backend server; its zero value is ready for use.
type Limit struct {
	limit    float64
	gap      float64 // smoothed seconds between tokens
	adjusted time.Time
}

// Max returns the bound for a class.
func (l *Limit) Max(c deck.Class) int {
	n := l.current()
	if c == deck.Batch {
		n *= batchShare
	}
	return max(minLimit, int(n))
}

// Observe adjusts the bound by the time between two tokens; it returns true if the bound rose.
func (l *Limit) Observe(gap time.Duration, inFlight int, now time.Time) bool {
	if l.gap == 0 {
		l.gap = gap.Seconds()
	}
	l.gap += gapSmoothing * (gap.Seconds() - l.gap)
	if now.Sub(l.adjusted) < adjustEvery {
		return false
	}
	before := l.Max(deck.Interactive)
	l.adjust(float64(inFlight))
	l.adjusted = now
	return l.Max(deck.Interactive) > before
}

func (l *Limit) adjust(inFlight float64) {
	n := l.current()
	switch {
	case l.gap > highGap.Seconds():
		n = min(n, max(n*fall, inFlight*fall))
	case l.gap < lowGap.Seconds() && inFlight >= 0.8*n:
		n += max(1, n*rise)
	}
	l.limit = min(maxLimit, max(minLimit, n))
}

func (l *Limit) current() float64 {
	if l.limit == 0 {
		return InitialLimit
	}
	return l.limit
}
