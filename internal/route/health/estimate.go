package health

import (
	"math"
	"time"
)

const (
	// gapTimeConstant and firstTokenTimeConstant are time constants: a change shows within a second, single samples do not.
	gapTimeConstant        = 250 * time.Millisecond
	firstTokenTimeConstant = 1500 * time.Millisecond
	// minSamples is the number of samples below which an estimate is not compared.
	minSamples = 3
	// estimateTTL is how long an estimate is compared after its last sample.
	estimateTTL = 3 * time.Second
)

// An estimate is an exponentially smoothed duration.
type estimate struct {
	value   float64 // seconds
	samples int
	at      time.Time
}

// observe adds a sample, weighted by the time since the one before; the first few are averaged.
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
