package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency = 100 * time.Microsecond
	maxLatency = 1 * time.Minute
	digits     = 2 // significant ones of a latency

	period         = 30 * time.Second       // of a histogram; a delay is learned from the current and the last one
	refreshPeriod  = 250 * time.Millisecond // between two computations of a delay
	minSamples     = 20                     // from which on a delay is known, if they are enough for its percentile
	maxDelays      = 128                    // histograms of so many keys are kept
	maxLimitShare  = 0.2
	leastTailShare = 0.001
)

// A delayTable learns from recent answers when those to the calls of a key are late. The zero value knows none.
type delayTable struct {
	byKey   map[Key]*delay
	scratch *hdrhistogram.Histogram
}

// A delay is what is known of the calls of a key.
type delay struct {
	current, last *hdrhistogram.Histogram
	began         time.Time // of current
	used          time.Time
	computed      time.Time
	value         time.Duration
	known         bool
	ended, won    decayingCount // second sends
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), digits)
}

func (t *delayTable) record(now time.Time, k Key, latency time.Duration) {
	v := min(max(latency, minLatency), maxLatency).Microseconds()
	for _, d := range t.of(now, k) {
		d.rotate(now)
		_ = d.current.RecordValue(v) // fails only beyond the bounds
	}
}

func (t *delayTable) recordEnd(now time.Time, k Key, won bool) {
	for _, d := range t.of(now, k) {
		d.ended.inc(now)
		if won {
			d.won.inc(now)
		}
	}
}

// delay returns the latency that the given share of the key's calls exceed; of a model with few calls, that of all calls of the route.
func (t *delayTable) delay(now time.Time, k Key, share float64) (time.Duration, bool) {
	d, ok := t.delayOf(now, k, share)
	if !ok && k.Model != "" {
		return t.delayOf(now, Key{Route: k.Route}, share)
	}
	return d, ok
}

// delayOf returns the latency that the given share of the key's calls exceed, or a smaller share if few second sends win.
func (t *delayTable) delayOf(now time.Time, k Key, share float64) (time.Duration, bool) {
	d := t.byKey[k]
	if d == nil || share <= 0 {
		return 0, false
	}
	if d.computed.IsZero() || now.Sub(d.computed) >= refreshPeriod {
		d.rotate(now)
		if t.scratch == nil {
			t.scratch = newHistogram()
		}
		t.scratch.Reset()
		t.scratch.Merge(d.current)
		t.scratch.Merge(d.last)
		share = min(share, maxLimitShare)
		d.computed, d.known = now, float64(t.scratch.TotalCount()) >= max(minSamples, 1/share)
		tail := max(leastTailShare, share*d.use(now))
		d.value = time.Duration(t.scratch.ValueAtQuantile(100*(1-tail))) * time.Microsecond
	}
	return d.value, d.known
}

// use returns the part of the limit that is worth using by what second sends have won lately.
func (d *delay) use(now time.Time) float64 {
	share := (d.won.value(now) + priorWins) / (d.ended.value(now) + priorWins)
	return max(leastUse, min(1, share/usefulWinShare))
}

// rotate drops the histogram that has aged.
func (d *delay) rotate(now time.Time) {
	age := now.Sub(d.began)
	if age < period {
		return
	}
	d.current, d.last = d.last, d.current
	d.current.Reset()
	if age >= 2*period {
		d.last.Reset()
	}
	d.began = now
}

// of returns what is known of the key's calls and of all calls of its route, as far as there is room for further keys.
func (t *delayTable) of(now time.Time, k Key) []*delay {
	out := make([]*delay, 0, 2)
	keys := []Key{{Route: k.Route}, k}
	if k.Model == "" {
		keys = keys[:1]
	}
	for _, k := range keys {
		d := t.byKey[k]
		if d == nil && (len(t.byKey) < maxDelays || t.dropUnused(now)) {
			d = t.add(now, k)
		}
		if d != nil {
			d.used = now
			out = append(out, d)
		}
	}
	return out
}

func (t *delayTable) add(now time.Time, k Key) *delay {
	if t.byKey == nil {
		t.byKey = make(map[Key]*delay)
	}
	d := &delay{current: newHistogram(), last: newHistogram(), began: now}
	d.ended.decay, d.won.decay = winDecay, winDecay
	t.byKey[k] = d
	return d
}

// dropUnused forgets the keys whose latencies have aged and reports whether there were any.
func (t *delayTable) dropUnused(now time.Time) bool {
	n := len(t.byKey)
	for k, d := range t.byKey {
		if now.Sub(d.used) >= 2*period {
			delete(t.byKey, k)
		}
	}
	return len(t.byKey) < n
}
