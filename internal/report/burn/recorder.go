package burn

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Objective holds the latencies that a request of a class must meet to count as good, and the target for the class.
type Objective struct {
	Class         deck.Class
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Target        float64 // share of good requests, above 0 and below 1
}

const (
	bucketLength = time.Minute
	bucketCount  = 3 * 24 * 60 // the longest window is three days
)

// Recorder counts good and bad requests of each class per minute.
type Recorder struct {
	clock      deck.Clock
	objectives []Objective

	mu    sync.Mutex
	rings map[deck.Class]*ring
}

var _ deck.RequestRecorder = (*Recorder)(nil)

// NewRecorder returns a recorder for the objectives; classes without an objective are not counted.
func NewRecorder(clock deck.Clock, objectives []Objective) *Recorder {
	r := &Recorder{clock: clock, objectives: objectives, rings: make(map[deck.Class]*ring)}
	for _, o := range objectives {
		r.rings[o.Class] = &ring{}
	}
	return r
}

// Record implements deck.RequestRecorder; a request that its caller abandoned counts as neither good nor bad.
func (r *Recorder) Record(s deck.RequestSummary) {
	if s.Result == deck.RequestAbandoned {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.rings[s.Class]
	if !ok {
		return
	}
	b := g.bucketAt(unixMinute(r.clock.Now()))
	b.total++
	if !r.isGood(s) {
		b.bad++
	}
}

func (r *Recorder) isGood(s deck.RequestSummary) bool {
	if s.Result != deck.RequestComplete {
		return false
	}
	for _, o := range r.objectives {
		if o.Class == s.Class {
			return s.TimeToFirstToken <= o.FirstToken && s.TokenGapP95 <= o.BetweenTokens
		}
	}
	return true
}

// bucket counts the requests of one minute.
type bucket struct {
	minute     int64
	total, bad int64
}

// ring holds the buckets of the longest window; a new minute overwrites the oldest bucket.
type ring struct {
	buckets [bucketCount]bucket
}

// bucketAt returns the bucket of minute m, reset if it held an older minute.
func (g *ring) bucketAt(m int64) *bucket {
	b := &g.buckets[(m%bucketCount+bucketCount)%bucketCount] // the remainder is negative for clocks before 1970
	if b.minute != m {
		*b = bucket{minute: m}
	}
	return b
}

// sum returns the counts of the n minutes that end with minute m.
func (g *ring) sum(m, n int64) (total, bad int64) {
	for _, b := range g.buckets {
		if b.minute > m-n && b.minute <= m {
			total += b.total
			bad += b.bad
		}
	}
	return total, bad
}

func unixMinute(t time.Time) int64 {
	return t.Unix() / int64(bucketLength/time.Second)
}
