package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// gapTimeConstant is the time constant with which pauses lose their weight; a noisy neighbour comes and goes in about this
// time.
const gapTimeConstant = 500 * time.Millisecond

// A gapRatio is how long an engine's streams pause between events of late, in units of the longest allowed pause; its
// zero value has seen none.
type gapRatio struct {
	mean float64
	at   time.Time
}

func (p *gapRatio) add(now time.Time, share float64) {
	w := p.decay(now)
	p.mean += (share - p.mean) * (1 - w*gapSmoothing)
	p.at = now
}

// gapSmoothing keeps single pauses from deciding alone.
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
