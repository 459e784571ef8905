package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// gapTimeConstant is the time constant with which gaps decay. A noisy neighbour comes and goes in about this time.
const gapTimeConstant = 500 * time.Millisecond

// A gapRatio is the smoothed gap between stream events of an engine, relative to the gap target. The zero value has no
// samples.
type gapRatio struct {
	mean float64
	at   time.Time
}

func (p *gapRatio) add(now time.Time, share float64) {
	w := p.decay(now)
	p.mean += (share - p.mean) * (1 - w*gapSmoothing)
	p.at = now
}

// gapSmoothing limits the influence of a single gap.
const gapSmoothing = 0.8

func (p *gapRatio) value(now time.Time) float64 {
	return p.mean * p.decay(now)
}

func (p *gapRatio) decay(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return deck.Fade(now.Sub(p.at), gapTimeConstant)
}
