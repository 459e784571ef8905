package order

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// A demand estimates the work asked of each model of a service; its zero value has seen none.
type demand struct {
	models map[deck.ModelName]*modelDemand
	fill   float64 // calls at the engines in units of their places; it follows quickly up and slowly down
	filled time.Time
}

// sawFill takes the calls at all engines in units of their places.
func (d *demand) sawFill(now time.Time, fill float64) {
	fade := fallingFade
	if fill > d.fill {
		fade = risingFade
	}
	w := deck.Fade(now.Sub(d.filled), fade)
	d.fill = w*d.fill + (1-w)*fill
	d.filled = now
}

// A modelDemand holds two estimates in tokens a second: one that follows quickly and one that forgets slowly.
type modelDemand struct {
	rising, falling float64
	seen            time.Time
}

func (d *demand) add(now time.Time, m deck.ModelName, tokens float64) {
	if d.models == nil {
		d.models = make(map[deck.ModelName]*modelDemand)
	}
	e := d.models[m]
	if e == nil {
		e = &modelDemand{seen: now}
		d.models[m] = e
	}
	e.fade(now)
	e.rising += tokens / risingFade.Seconds()
	e.falling += tokens / fallingFade.Seconds()
}

// at returns both estimates.
func (d *demand) at(now time.Time) assign.DemandEstimate {
	o := assign.DemandEstimate{Current: make(assign.Demand, len(d.models)), Recent: make(assign.Demand, len(d.models)), Utilisation: d.fill}
	for m, e := range d.models {
		e.fade(now)
		o.Current[m] = e.rising
		o.Recent[m] = max(e.rising, e.falling)
	}
	return o
}

func (e *modelDemand) fade(now time.Time) {
	passed := now.Sub(e.seen)
	e.seen = now
	e.rising *= deck.Fade(passed, risingFade)
	e.falling *= deck.Fade(passed, fallingFade)
}
