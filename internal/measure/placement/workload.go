package placement

import (
	"math"
	"math/rand/v2"
	"slices"
)

// A workload generates random requests for models whose demand rises to ten times its quiet rate in bursts.
type workload struct {
	rand            *rand.Rand
	dep             deployment
	meanRates       []float64 // mean requests per second of each model, bursts included
	quietRates      []float64
	bursting        []bool
	phaseEnds       []float64 // end of each model's current phase, in seconds
	cumulativeRates []float64 // running sum of the models' current rates
	nextArrival     float64
	burstStarts     []float64 // start of each model's last burst, in seconds
}

// Parameters of the workload.
const (
	burstFactor        = 10.0
	popularityExponent = 0.8  // of the power law by which demand falls with a model's rank
	utilisation        = 0.55 // mean share of the engines' token rate
)

func newWorkload(d deployment, seed uint64) *workload {
	w := &workload{rand: rand.New(rand.NewPCG(seed, 2)), dep: d}
	share := d.meanBurst.Seconds() / (d.meanBurst + d.meanPause).Seconds()
	factor := 1 + share*(burstFactor-1)
	var sum float64
	for i := range d.models {
		w.meanRates = append(w.meanRates, math.Pow(float64(i+1), -popularityExponent))
		sum += w.meanRates[i]
	}
	rate := utilisation * engineTokensPerSecond * float64(d.engines) / meanAnswerTokens
	for i := range w.meanRates {
		w.meanRates[i] *= rate / sum
		w.quietRates = append(w.quietRates, w.meanRates[i]/factor)
		w.bursting = append(w.bursting, false)
		w.phaseEnds = append(w.phaseEnds, w.rand.ExpFloat64()*d.meanPause.Seconds())
		w.burstStarts = append(w.burstStarts, math.Inf(-1))
	}
	w.updateCumulativeRates()
	return w
}

func (w *workload) updateCumulativeRates() {
	w.cumulativeRates = w.cumulativeRates[:0]
	var sum float64
	for i, q := range w.quietRates {
		if w.bursting[i] {
			q *= burstFactor
		}
		sum += q
		w.cumulativeRates = append(w.cumulativeRates, sum)
	}
}

// advance switches the models whose phase has ended by now, in seconds, between burst and quiet.
func (w *workload) advance(now float64) {
	changed := false
	for i := range w.phaseEnds {
		for w.phaseEnds[i] <= now {
			w.bursting[i] = !w.bursting[i]
			phase := w.dep.meanPause
			if w.bursting[i] {
				phase = w.dep.meanBurst
				w.burstStarts[i] = w.phaseEnds[i]
			}
			w.phaseEnds[i] += w.rand.ExpFloat64() * phase.Seconds()
			changed = true
		}
	}
	if changed {
		w.updateCumulativeRates()
	}
}

// arrivals calls f with the model, arrival time and answer tokens of each request that arrives before until, in seconds.
func (w *workload) arrivals(until float64, f func(model int, at, tokens float64)) {
	for w.nextArrival < until {
		rate := w.cumulativeRates[len(w.cumulativeRates)-1]
		m, _ := slices.BinarySearch(w.cumulativeRates, w.rand.Float64()*rate)
		f(min(m, len(w.cumulativeRates)-1), w.nextArrival, meanAnswerTokens*w.rand.ExpFloat64())
		w.nextArrival += w.rand.ExpFloat64() / rate
	}
}
