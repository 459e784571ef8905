package health

import (
	"math"
	"time"
)

const (
	// Time constants of the smoothing: a lasting change shows within about a second, a single sample has little effect.
	gapTimeConstant        = 250 * time.Millisecond
	firstTokenTimeConstant = 1500 * time.Millisecond
	// minSamples is the least number of samples of an estimate that is compared.
	minSamples = 3
	// estimateTTL is how long after its last sample an estimate is compared.
	estimateTTL = 3 * time.Second
)

// An estimate is an exponentially smoothed duration.
type estimate struct {
	value   float64 // seconds
	samples int
	at      time.Time
}

// observe adds a sample, weighted by the time since the previous one. The first few samples are averaged.
func (e *estimate) observe(d, timeConstant time.Duration, now time.Time) {
	alpha := 1 / float64(e.samples+1)
	if e.samples >= minSamples {
		alpha = 1 - math.Exp(-now.Sub(e.at).Seconds()/timeConstant.Seconds())
	}
	e.value += alpha * (d.Seconds() - e.value)
	e.samples++
	e.at = now
}

func (e *estimate) fresh(now time.Time) bool {
	return e != nil && e.samples >= minSamples && now.Sub(e.at) < estimateTTL
}

func (e *estimate) duration() time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration(e.value * float64(time.Second))
}
