package sim

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	capacityRunTime  = 60 * time.Second
	capacityWarmUp   = 10 * time.Second
	drainTime        = 12 * time.Second
	targetAttainment = 0.95 // share of requests that must meet the objective
)

// engineCapacity returns the highest constant rate (interactive requests/s) at which a single engine meets the objective for
// 95% of the requests.
var engineCapacity = sync.OnceValue(func() float64 {
	low, high := 1.0, 100.0
	for high-low > 0.25 {
		rate := (low + high) / 2
		if singleEngineAttainment(rate) >= targetAttainment {
			low = rate
		} else {
			high = rate
		}
	}
	return low
})

// singleEngineDeployment has one engine with one model, and no network latency.
var singleEngineDeployment = deployment{
	name:        "solo",
	dataCentres: deployments[0].dataCentres[:1],
	vms:         []int{1},
	engines:     []int{1, 0},
	models:      []int{1, 0},
}

func singleEngineAttainment(rate float64) float64 {
	f := newFleet(singleEngineDeployment, 1)
	f.addVMs(func(v *vm) policy { return newBaselinePolicy(v, false) })
	f.startInteractive(capacityRunTime, rate, constantRate(rate))
	f.sched.runUntil(capacityRunTime + drainTime)
	return f.attainment(capacityWarmUp, capacityRunTime)
}

// constantRate returns an arrival rate that does not change over time.
func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// surgeRate returns an arrival rate that is a tenth of the peak until start and then rises linearly to the peak within ramp.
func surgeRate(peak float64, start, ramp time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		x := min(1, max(0, float64(t-start)/float64(ramp)))
		return peak * (0.1 + 0.9*x)
	}
}

// newRand returns the random number generator of one stream of a run; the streams of a seed are independent of each other.
func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
