package admit

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// TargetGap is the longest time between tokens that users accept, at the 95th percentile.
	TargetGap = 47 * time.Millisecond
	// The limit falls while the mean gap is above highGap and may rise while it is below lowGap. Both are below TargetGap to
	// leave room for the variation around the mean.
	highGap = TargetGap * 85 / 100
	lowGap  = TargetGap * 75 / 100
	// adjustInterval covers several tokens, so that a change takes effect before the next one.
	adjustInterval = 200 * time.Millisecond
	// InitialLimit is high enough for idle engines to take over the requests of a slow peer at once; with a low one, requests
	// would be queued although engines are idle.
	InitialLimit   = 24
	minLimit       = 1
	maxLimit       = 512
	decreaseFactor = 0.93
	increaseShare  = 0.1
	// mixedHighGap replaces highGap for batch work on a server that also has interactive work. Engine steps must be short when
	// a burst arrives, because a first token waits for the step that is running.
	mixedHighGap = TargetGap * 45 / 100
	initialBatch = 4
	// gapSmoothing is the weight of one sample in the moving average.
	gapSmoothing = 0.02
)

// A Limit is the adaptive concurrency limit of this VM for one backend server. The zero value is ready for use.
type Limit struct {
	all      adaptiveBound
	batch    adaptiveBound
	gap      float64 // smoothed seconds between tokens
	adjusted time.Time
}

// InFlight is the number of this VM's requests in flight on one backend server.
type InFlight struct {
	All               int
	Batch             int
	RecentInteractive bool // there is interactive work, or was recently
}

// Max returns the limit for a class, at least 1.
func (l *Limit) Max(c deck.Class) int {
	n := l.all.current(InitialLimit)
	if c == deck.Batch {
		n = min(n, l.batch.current(initialBatch))
	}
	return max(minLimit, int(n))
}

// Observe adjusts the limits by the time between two tokens. It returns true if one of them rose.
func (l *Limit) Observe(gap time.Duration, inFlight InFlight, now time.Time) bool {
	if l.gap == 0 {
		l.gap = gap.Seconds()
	}
	l.gap += gapSmoothing * (gap.Seconds() - l.gap)
	if now.Sub(l.adjusted) < adjustInterval {
		return false
	}
	l.adjusted = now
	rose := l.all.adjust(l.gap, highGap, lowGap, inFlight.All, InitialLimit)
	high, low := highGap, lowGap
	if inFlight.RecentInteractive {
		high, low = mixedHighGap, mixedHighGap*9/10
	}
	return l.batch.adjust(l.gap, high, low, inFlight.Batch, initialBatch) || rose
}

// An adaptiveBound is a concurrency limit that rises while the gap is low and at least 0.8 of the limit is in use. While the
// gap is too high, it falls to decreaseFactor times the limit or times the requests in flight, whichever is more; if that is
// above the limit, it stays. Zero stands for the initial value.
type adaptiveBound float64

func (b *adaptiveBound) current(initial float64) float64 {
	if *b == 0 {
		return initial
	}
	return float64(*b)
}

// adjust moves the bound by one step and returns true if it rose.
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
