package burn

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An Objective is what a request of a class must meet to count as good.
type Objective struct {
	Class         deck.Class
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Target        float64 // share of good requests, above 0 and below 1
}

const (
	bucketLength = time.Minute
	bucketCount  = 3 * 24 * 60 // three days, the longest window
)

// A Recorder counts good and bad requests for each class by the minute.
type Recorder struct {
	clock      deck.Clock
	objectives []Objective

	mu    sync.Mutex
	rings map[deck.Class]*ring
}

var _ deck.ServedRecorder = (*Recorder)(nil)

// NewRecorder returns a recorder for the objectives; classes without an objective are not counted.
func NewRecorder(clock deck.Clock, objectives []Objective) *Recorder {
	r := &Recorder{clock: clock, objectives: objectives, rings: make(map[deck.Class]*ring)}
	for _, o := range objectives {
		r.rings[o.Class] = &ring{}
	}
	return r
}

// Record implements ServedRecorder.Record; a request that its caller abandoned counts neither way.
func (r *Recorder) Record(s deck.Served) {
	if s.Result == deck.ServedAbandoned {
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

func (r *Recorder) isGood(s deck.Served) bool {
	if s.Result != deck.ServedComplete {
		return false
	}
	for _, o := range r.objectives {
		if o.Class == s.Class {
			return s.FirstToken <= o.FirstToken && s.BetweenTokens <= o.BetweenTokens
		}
	}
	return true
}

// A bucket counts the requests of one minute.
type bucket struct {
	minute     int64
	total, bad int64
}

// A ring holds the buckets of the longest window.
type ring struct {
	buckets [bucketCount]bucket
}

// bucketAt returns the bucket of a minute, emptied if it held an older one.
func (g *ring) bucketAt(m int64) *bucket {
	b := &g.buckets[(m%bucketCount+bucketCount)%bucketCount] // m is negative before 1970
	if b.minute != m {
		*b = bucket{minute: m}
	}
	return b
}

// sum returns the counts of the n minutes up to and including m.
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
