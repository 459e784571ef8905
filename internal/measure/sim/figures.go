package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
)

// A kind is a policy under measurement.
type policyKind int

const (
	roundRobin policyKind = iota
	leastInFlight
	production
)

// build returns the constructor of a kind's policy.
func (k policyKind) newPolicy(v *vm) policy {
	switch k {
	case roundRobin:
		return newBaselinePolicy(v, false)
	case leastInFlight:
		return newBaselinePolicy(v, true)
	default:
		return newCorePolicy(v, router.Config{})
	}
}

// A cell is one deployment with one seed.
type scenario struct {
	dep  deployment
	seed uint64
}

// fleet returns the cell's fleet with the VMs of a kind.
func (sc scenario) buildFleet(k policyKind) *fleet {
	f := newFleet(sc.dep, sc.seed)
	f.addVMs(k.newPolicy)
	return f
}

// capacity returns the rate of interactive requests that all engines of the deployment can serve.
func (sc scenario) capacity() float64 {
	return engineCapacity() * float64(sc.dep.engines[0]+sc.dep.engines[1])
}

// p99 returns the 99th percentile of the time to the first token in ms over the requests that arrived in the window;
// one that got none counts with the longest time.
func (f *fleet) firstTokenP99Ms(from, to time.Duration) float64 {
	const maxLatency = time.Minute
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, r := range f.arrivals(from, to) {
		d, ok := r.timeToFirstToken(f.dep.clientLatency)
		if !ok {
			d = maxLatency
		}
		_ = h.RecordValue(min(d, maxLatency).Microseconds())
	}
	return float64(h.ValueAtQuantile(99)) / 1000
}

func (f *fleet) arrivals(from, to time.Duration) []*request {
	var out []*request
	for _, r := range f.requests {
		if r.arrived >= from && r.arrived < to {
			out = append(out, r)
		}
	}
	return out
}

// attainment returns the share of the requests that arrived in the window and met the objective.
func (f *fleet) attainment(from, to time.Duration) float64 {
	all := f.arrivals(from, to)
	n := 0
	for _, r := range all {
		if r.metObjective(f.dep.clientLatency) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(all)))
}

// goodput returns the requests/s of the window that met the objective.
func (f *fleet) goodput(from, to time.Duration) float64 {
	return f.attainment(from, to) * float64(len(f.arrivals(from, to))) / (to - from).Seconds()
}

const (
	holEnd            = 40 * time.Second
	holWarmUp         = 15 * time.Second
	holLoad           = 0.3 // of interactive requests
	holBatchPerEngine = 64  // outstanding batch requests for each engine
	surgeStart        = 8 * time.Second
	surgeRampTime     = 3 * time.Second
	surgeEnd          = 32 * time.Second
	surgeLoad         = 0.9
	overload          = 1.5
	slowStart         = 15 * time.Second
	slowDuration      = 20 * time.Second
	slowEnd           = 45 * time.Second
	slowLoad          = 0.5
	slowOneIn         = 6
	slowFactor        = 4
	slowReportLag     = 5 * time.Second
)

// hol returns the fleet after short interactive work ran with or without overnight batches.
func (sc scenario) runHOL(k policyKind, batch bool) *fleet {
	f := sc.buildFleet(k)
	rate := holLoad * sc.capacity()
	f.startInteractive(holEnd, rate, constantRate(rate))
	if batch {
		f.startBatch(holBatchPerEngine * len(f.engines))
	}
	f.sched.runUntil(holEnd + drainTime)
	return f
}

// crest returns the fleet after demand rose tenfold to the given share of capacity.
func (sc scenario) runSurge(k policyKind, load float64, callersRetry bool) *fleet {
	f := sc.buildFleet(k)
	f.callersRetry = callersRetry
	peak := load * sc.capacity()
	f.startInteractive(surgeEnd, peak, surgeRate(peak, surgeStart, surgeRampTime))
	f.sched.runUntil(surgeEnd + drainTime)
	return f
}

// slow returns the fleet after one server in six ran at a quarter of its speed for 20 s, or after the same time without.
func (sc scenario) runSlowServers(k policyKind, disturbed bool) *fleet {
	f := sc.buildFleet(k)
	f.reportLag = slowReportLag
	rate := slowLoad * sc.capacity()
	f.startInteractive(slowEnd, rate, constantRate(rate))
	if disturbed {
		f.sched.at(slowStart, func() { f.setSlowdown(slowFactor) })
		f.sched.at(slowStart+slowDuration, func() { f.setSlowdown(1) })
	}
	f.sched.runUntil(slowEnd + drainTime)
	return f
}

// setSpeed slows one server in six, in turn in each data centre, since noisy neighbours are independent of each other.
func (f *fleet) setSlowdown(factor float64) {
	for i, e := range f.engines {
		if i%slowOneIn == i/slowOneIn {
			e.slowdown = factor
		}
	}
}

// amplification returns the attempts at engines for each interactive request.
func (f *fleet) amplification() float64 {
	n := 0
	for _, r := range f.requests {
		if r.class == deck.Interactive {
			n++
		}
	}
	return float64(f.attempts) / float64(max(1, n))
}

// crossRegion returns the share of bytes between VMs and engines that crossed regions.
func (f *fleet) crossRegionShare() float64 {
	return float64(f.crossRegionBytes) / float64(max(1, f.bytes))
}
