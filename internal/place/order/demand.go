package order

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// A demandEstimator estimates the demand for each model of a service and the utilisation of its engines. The zero value is
// ready to use.
type demandEstimator struct {
	models        map[deck.ModelName]*modelDemand
	utilisation   float64 // calls at the engines divided by their request slots; it rises quickly and falls slowly
	utilisationAt time.Time

	streams, lateStreams float64 // recent, decaying
	streamsAt            time.Time

	calls, callTokens float64 // recent, decaying
	callsAt           time.Time
}

// recordCalls records calls and the tokens that engines are expected to read and generate for them.
func (d *demandEstimator) recordCalls(now time.Time, calls, tokens int) {
	w := deck.Decay(now.Sub(d.callsAt), fallTimeConstant)
	d.calls = w*d.calls + float64(calls)
	d.callTokens = w*d.callTokens + float64(tokens)
	d.callsAt = now
}

// tokensPerCall returns the mean number of tokens of a recent call; 0 if there was none.
func (d *demandEstimator) tokensPerCall() float64 {
	if d.calls == 0 {
		return 0
	}
	return d.callTokens / d.calls
}

// priorStreams is how many streams in time are added to the recent ones, so that a few late ones don't count as crowding.
const priorStreams = 20.0

// recordStreams records ended streams and how many of them were late.
func (d *demandEstimator) recordStreams(now time.Time, streams, late int) {
	w := deck.Decay(now.Sub(d.streamsAt), fallTimeConstant)
	d.streams = w*d.streams + float64(streams)
	d.lateStreams = w*d.lateStreams + float64(late)
	d.streamsAt = now
}

// lateShare returns the recent share of streams that were late.
func (d *demandEstimator) lateShare(now time.Time) float64 {
	w := deck.Decay(now.Sub(d.streamsAt), fallTimeConstant)
	return w * d.lateStreams / (w*d.streams + priorStreams)
}

// recordUtilisation records the calls at all engines divided by their request slots.
func (d *demandEstimator) recordUtilisation(now time.Time, utilisation float64) {
	timeConstant := fallTimeConstant
	if utilisation > d.utilisation {
		timeConstant = riseTimeConstant
	}
	w := deck.Decay(now.Sub(d.utilisationAt), timeConstant)
	d.utilisation = w*d.utilisation + (1-w)*utilisation
	d.utilisationAt = now
}

// A modelDemand holds two estimates of a model's demand, in tokens a second, that decay with different time constants.
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

// estimate returns the demand estimates as of now.
func (d *demandEstimator) estimate(now time.Time) assign.DemandEstimate {
	o := assign.DemandEstimate{
		Current: make(assign.Demand, len(d.models)), Recent: make(assign.Demand, len(d.models)), Utilisation: d.utilisation,
		LateShare: d.lateShare(now),
	}
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
	e.fast *= deck.Decay(elapsed, riseTimeConstant)
	e.slow *= deck.Decay(elapsed, fallTimeConstant)
}
