package order

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// A demand estimates the work asked of each model of a service; its zero value has seen none.
type demandEstimator struct {
	models        map[deck.ModelName]*modelDemand
	utilisation   float64 // calls at the engines in units of their places; it follows quickly up and slowly down
	utilisationAt time.Time
}

// sawFill takes the calls at all engines in units of their places.
func (d *demandEstimator) recordUtilisation(now time.Time, utilisation float64) {
	timeConstant := fallTimeConstant
	if utilisation > d.utilisation {
		timeConstant = riseTimeConstant
	}
	w := deck.Fade(now.Sub(d.utilisationAt), timeConstant)
	d.utilisation = w*d.utilisation + (1-w)*utilisation
	d.utilisationAt = now
}

// A modelDemand holds two estimates in tokens a second: one that follows quickly and one that forgets slowly.
type modelDemand struct {
	fast, slow float64
	updatedAt  time.Time
}

func (d *demandEstimator) recordDemand(now time.Time, m deck.ModelName, tokens float64) {
	if d.models == nil {
		d.models = make(map[deck.ModelName]*modelDemand)
	}
	e := d.models[m]
	if e == nil {
		e = &modelDemand{updatedAt: now}
		d.models[m] = e
	}
	e.decay(now)
	e.fast += tokens / riseTimeConstant.Seconds()
	e.slow += tokens / fallTimeConstant.Seconds()
}

// at returns both estimates.
func (d *demandEstimator) estimate(now time.Time) assign.DemandEstimate {
	o := assign.DemandEstimate{Current: make(assign.Demand, len(d.models)), Recent: make(assign.Demand, len(d.models)), Utilisation: d.utilisation}
	for m, e := range d.models {
		e.decay(now)
		o.Current[m] = e.fast
		o.Recent[m] = max(e.fast, e.slow)
	}
	return o
}

func (e *modelDemand) decay(now time.Time) {
	elapsed := now.Sub(e.updatedAt)
	e.updatedAt = now
	e.fast *= deck.Fade(elapsed, riseTimeConstant)
	e.slow *= deck.Fade(elapsed, fallTimeConstant)
}
