package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
)

// A policyKind identifies a routing policy to measure.
type policyKind int

const (
	roundRobin policyKind = iota
	leastInFlight
	production
)

// newPolicy returns a policy of this kind for a VM.
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

// A scenario is a deployment with the seed of its workload.
type scenario struct {
	dep  deployment
	seed uint64
}

// buildFleet returns a new fleet of the scenario whose VMs run the given policy.
func (sc scenario) buildFleet(k policyKind) *fleet {
	f := newFleet(sc.dep, sc.seed)
	f.addVMs(k.newPolicy)
	return f
}

// capacity returns the rate (interactive requests/s) that all engines of the deployment can serve.
func (sc scenario) capacity() float64 {
	return engineCapacity() * float64(sc.dep.engines[0]+sc.dep.engines[1])
}

// firstTokenP99Ms returns the 99th percentile, in ms, of the time to the first token of the interactive requests that arrived in
// the window; a request without a token counts with the maximum latency.
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

// attainment returns the share of the interactive requests arriving in the window that met the service-level objective.
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

// goodput returns the rate (requests/s) of interactive requests arriving in the window that met the service-level objective.
func (f *fleet) goodput(from, to time.Duration) float64 {
	return f.attainment(from, to) * float64(len(f.arrivals(from, to))) / (to - from).Seconds()
}

// Parameters of the measured runs. Interactive requests arrive until the End time of a run; loads are shares of capacity.
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

// runHOL measures head-of-line blocking: it runs short interactive requests with or without long batch requests beside them.
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

// runSurge runs interactive requests whose rate rises tenfold to the given share of capacity (the figures' "crest").
func (sc scenario) runSurge(k policyKind, load float64, callersRetry bool) *fleet {
	f := sc.buildFleet(k)
	f.callersRetry = callersRetry
	peak := load * sc.capacity()
	f.startInteractive(surgeEnd, peak, surgeRate(peak, surgeStart, surgeRampTime))
	f.sched.runUntil(surgeEnd + drainTime)
	return f
}

// runSlowServers runs interactive requests while, if disturbed is set, one engine in six runs at a quarter of its speed for 20 s.
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

// setSlowdown sets the slowdown of one engine in six. They are spread over the data centres, since noisy neighbours occur
// independently of each other.
func (f *fleet) setSlowdown(factor float64) {
	for i, e := range f.engines {
		if i%slowOneIn == i/slowOneIn {
			e.slowdown = factor
		}
	}
}

// amplification returns the number of attempts sent to engines per interactive request.
func (f *fleet) amplification() float64 {
	n := 0
	for _, r := range f.requests {
		if r.class == deck.Interactive {
			n++
		}
	}
	return float64(f.attempts) / float64(max(1, n))
}

// crossRegionShare returns the share of the bytes between VMs and engines that crossed a region boundary.
func (f *fleet) crossRegionShare() float64 {
	return float64(f.crossRegionBytes) / float64(max(1, f.bytes))
}
