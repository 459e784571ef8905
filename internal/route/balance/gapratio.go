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

func (g *gapRatio) add(now time.Time, ratio float64) {
	w := g.decay(now)
	g.mean += (ratio - g.mean) * (1 - w*earlierGapsWeight)
	g.at = now
}

// earlierGapsWeight is the weight of the earlier gaps when another follows at once; it limits the influence of a single gap.
const earlierGapsWeight = 0.8

func (g *gapRatio) value(now time.Time) float64 {
	return g.mean * g.decay(now)
}

func (g *gapRatio) decay(now time.Time) float64 {
	if g.at.IsZero() {
		return 0
	}
	return deck.Decay(now.Sub(g.at), gapTimeConstant)
}
