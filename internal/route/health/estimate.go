package health

import (
	"math"
	"time"
)

const (
	// gapConstant and firstTokenConstant are time constants: a change shows within a second, single samples do not.
	gapConstant        = 250 * time.Millisecond
	firstTokenConstant = 1500 * time.Millisecond
	// minSamples is the number of samples below which an estimate is not compared.
	minSamples = 3
	// freshFor is how long an estimate is compared after its last sample.
	freshFor = 3 * time.Second
)

// An estimate is an exponentially smoothed duration.
type estimate struct {
	value   float64 // seconds
	samples int
	at      time.Time
}

// observe adds a sample, weighted by the time since the one before; the first few are averaged.
func (e *estimate) observe(d, constant time.Duration, now time.Time) {
	alpha := 1 / float64(e.samples+1)
	if e.samples >= minSamples {
		alpha = 1 - math.Exp(-now.Sub(e.at).Seconds()/constant.Seconds())
	}
	e.value += alpha * (d.Seconds() - e.value)
	e.samples++
	e.at = now
}

func (e *estimate) fresh(now time.Time) bool {
	return e != nil && e.samples >= minSamples && now.Sub(e.at) < freshFor
}

func (e *estimate) duration() time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration(e.value * float64(time.Second))
}
