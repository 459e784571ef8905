package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	failureTimeConstant = 3 * time.Second // of the exponential decay of older answers
	priorSuccesses      = 3.0             // answers without failure that every server is credited with
)

// A failureRate is the exponentially decayed share of answers that failed. The zero value has no answers.
type failureRate struct {
	failed, answered float64
	at               time.Time
}

func (f *failureRate) add(now time.Time, failed bool) {
	w := f.decay(now)
	f.failed *= w
	f.answered *= w
	f.at = now
	f.answered++
	if failed {
		f.failed++
	}
}

func (f *failureRate) value(now time.Time) float64 {
	w := f.decay(now)
	return f.failed * w / (f.answered*w + priorSuccesses)
}

func (f *failureRate) decay(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return deck.Decay(now.Sub(f.at), failureTimeConstant)
}
