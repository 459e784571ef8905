package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
)

// A kind is a policy under measurement.
type kind int

const (
	roundRobin kind = iota
	leastInFlight
	production
)

// build returns the constructor of a kind's policy.
func (k kind) build(v *vm) policy {
	switch k {
	case roundRobin:
		return newBaseline(v, false)
	case leastInFlight:
		return newBaseline(v, true)
	default:
		return newCorePolicy(v, router.Config{})
	}
}

// A cell is one deployment with one seed.
type cell struct {
	dep  deployment
	seed uint64
}

// fleet returns the cell's fleet with the VMs of a kind.
func (c cell) fleet(k kind) *fleet {
	f := newFleet(c.dep, c.seed)
	f.addVMs(k.build)
	return f
}

// capacity returns the rate of interactive requests that all engines of the deployment can serve.
func (c cell) capacity() float64 {
	return engineCapacity() * float64(c.dep.engines[0]+c.dep.engines[1])
}

// p99 returns the 99th percentile of the time to the first token in ms over the requests that arrived in the window;
// one that got none counts with the longest time.
func (f *fleet) p99(from, to time.Duration) float64 {
	const longest = time.Minute
	h := hdrhistogram.New(1, longest.Microseconds(), 3)
	for _, r := range f.arrivals(from, to) {
		d, ok := r.firstToken(f.dep.toClients)
		if !ok {
			d = longest
		}
		_ = h.RecordValue(min(d, longest).Microseconds())
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
		if r.attained(f.dep.toClients) {
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
	holEnd        = 40 * time.Second
	holWarm       = 15 * time.Second
	holLoad       = 0.3 // of capacity, interactive
	holPerEngine  = 64  // outstanding batch requests for each engine
	crestStart    = 8 * time.Second
	crestRamp     = 3 * time.Second
	crestEnd      = 32 * time.Second
	crestLoad     = 0.9
	overload      = 1.5
	slowStart     = 15 * time.Second
	slowFor       = 20 * time.Second
	slowEnd       = 45 * time.Second
	slowLoad      = 0.5
	slowOneIn     = 6
	slowFactor    = 4
	slowReportLag = 5 * time.Second
)

// hol returns the fleet after short interactive work ran with or without overnight batches.
func (c cell) hol(k kind, batch bool) *fleet {
	f := c.fleet(k)
	rate := holLoad * c.capacity()
	f.interactive(holEnd, rate, constant(rate))
	if batch {
		f.batchLoop(holPerEngine * len(f.engines))
	}
	f.s.runUntil(holEnd + drainTime)
	return f
}

// crest returns the fleet after demand rose tenfold to the given share of capacity.
func (c cell) crest(k kind, load float64, resend bool) *fleet {
	f := c.fleet(k)
	f.resend = resend
	peak := load * c.capacity()
	f.interactive(crestEnd, peak, crest(peak, crestStart, crestRamp))
	f.s.runUntil(crestEnd + drainTime)
	return f
}

// slow returns the fleet after one server in six ran at a quarter of its speed for 20 s, or after the same time without.
func (c cell) slow(k kind, disturbed bool) *fleet {
	f := c.fleet(k)
	f.lag = slowReportLag
	rate := slowLoad * c.capacity()
	f.interactive(slowEnd, rate, constant(rate))
	if disturbed {
		f.s.at(slowStart, func() { f.setSpeed(slowFactor) })
		f.s.at(slowStart+slowFor, func() { f.setSpeed(1) })
	}
	f.s.runUntil(slowEnd + drainTime)
	return f
}

// setSpeed slows one server in six, in turn in each data centre, since noisy neighbours are independent of each other.
func (f *fleet) setSpeed(factor float64) {
	for i, e := range f.engines {
		if i%slowOneIn == i/slowOneIn {
			e.slow = factor
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
func (f *fleet) crossRegion() float64 {
	return float64(f.billed) / float64(max(1, f.bytes))
}
