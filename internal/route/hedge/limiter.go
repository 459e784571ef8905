package hedge

import "time"

const limiterBuckets = 10 // per window

// A limiter keeps the second sends of this VM under a share of its calls. In each window that ends with a second send, there are at most
// share x calls of them; the sum over all VMs keeps to the same share of all calls.
type limiter struct {
	share  float64
	window time.Duration

	// Each bucket covers a part of the window. There is one more than the window has, which sends count in and calls don't: the window may
	// begin within the oldest.
	newest int64 // number of the newest bucket since the Unix epoch
	calls  [limiterBuckets + 1]int
	sends  [limiterBuckets + 1]int
}

func (l *limiter) recordCall(now time.Time) {
	l.calls[l.advance(now)]++
}

func (l *limiter) recordSend(now time.Time) {
	l.sends[l.advance(now)]++
}

// hasRoom reports whether one more send keeps to the share.
func (l *limiter) hasRoom(now time.Time) bool {
	oldest := (l.advance(now) + 1) % len(l.calls)
	calls, sends := 0, 0
	for i := range l.calls {
		sends += l.sends[i]
		if i != oldest {
			calls += l.calls[i]
		}
	}
	return float64(sends+1) <= l.share*float64(calls)
}

// advance clears the buckets that have expired and returns the index of the newest.
func (l *limiter) advance(now time.Time) int {
	const n = int64(len(l.calls))
	bucket := now.UnixNano() / max(1, int64(l.window)/limiterBuckets)
	for k := min(bucket-l.newest, n); k > 0; k-- {
		i := (bucket - k + 1) % n
		l.calls[i], l.sends[i] = 0, 0
	}
	l.newest = max(bucket, l.newest)
	return int(l.newest % n)
}
