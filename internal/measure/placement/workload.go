package placement

import (
	"math"
	"math/rand/v2"
	"slices"
)

// A workload draws requests of models whose demand bursts to ten times its quiet rate.
type workload struct {
	r       *rand.Rand
	d       deployment
	mean    []float64 // requests per second of each model over time
	quiet   []float64
	burst   []bool
	until   []float64 // end of each model's present phase
	total   []float64 // running sum of the present rates
	next    float64
	changed []float64 // when each model's last burst began
}

// Burst and load level of the workload.
const (
	burstFactor = 10.0
	popularity  = 0.8  // exponent of the models' popularity
	utilisation = 0.55 // mean share of the engines' rate
)

func newWorkload(d deployment, seed uint64) *workload {
	w := &workload{r: rand.New(rand.NewPCG(seed, 2)), d: d}
	share := d.bursts.Seconds() / (d.bursts + d.rest).Seconds()
	factor := 1 + share*(burstFactor-1)
	var sum float64
	for i := range d.models {
		w.mean = append(w.mean, math.Pow(float64(i+1), -popularity))
		sum += w.mean[i]
	}
	rate := utilisation * engineRate * float64(d.engines) / meanTokens
	for i := range w.mean {
		w.mean[i] *= rate / sum
		w.quiet = append(w.quiet, w.mean[i]/factor)
		w.burst = append(w.burst, false)
		w.until = append(w.until, w.r.ExpFloat64()*d.rest.Seconds())
		w.changed = append(w.changed, math.Inf(-1))
	}
	w.sum()
	return w
}

func (w *workload) sum() {
	w.total = w.total[:0]
	var sum float64
	for i, q := range w.quiet {
		if w.burst[i] {
			q *= burstFactor
		}
		sum += q
		w.total = append(w.total, sum)
	}
}

// advance changes the phases that end by the given time, in seconds.
func (w *workload) advance(now float64) {
	changed := false
	for i := range w.until {
		for w.until[i] <= now {
			w.burst[i] = !w.burst[i]
			phase := w.d.rest
			if w.burst[i] {
				phase = w.d.bursts
				w.changed[i] = w.until[i]
			}
			w.until[i] += w.r.ExpFloat64() * phase.Seconds()
			changed = true
		}
	}
	if changed {
		w.sum()
	}
}

// arrivals calls the function with the model, time and tokens of each request before the given time.
func (w *workload) arrivals(until float64, f func(model int, at, tokens float64)) {
	for w.next < until {
		rate := w.total[len(w.total)-1]
		m, _ := slices.BinarySearch(w.total, w.r.Float64()*rate)
		f(min(m, len(w.total)-1), w.next, meanTokens*w.r.ExpFloat64())
		w.next += w.r.ExpFloat64() / rate
	}
}
