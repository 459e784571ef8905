package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// pauseMemory is the time constant with which pauses lose their weight; a noisy neighbour comes and goes in about this
// time.
const pauseMemory = 500 * time.Millisecond

// A pauseRate is how long an engine's streams pause between events of late, in units of the longest allowed pause; its
// zero value has seen none.
type pauseRate struct {
	mean float64
	at   time.Time
}

func (p *pauseRate) add(now time.Time, share float64) {
	w := p.weight(now)
	p.mean += (share - p.mean) * (1 - w*pauseInertia)
	p.at = now
}

// pauseInertia keeps single pauses from deciding alone.
const pauseInertia = 0.8

func (p *pauseRate) share(now time.Time) float64 {
	return p.mean * p.weight(now)
}

func (p *pauseRate) weight(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return deck.Fade(now.Sub(p.at), pauseMemory)
}
