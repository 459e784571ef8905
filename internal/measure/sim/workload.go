package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	firstTokenSLO = time.Second
	tokenGapSLO   = 47 * time.Millisecond

	callerCount       = 50
	templatesPerModel = 8 // prompt templates, shared by the model's callers
	templateBlocks    = 4

	medianInteractiveTokens = 60 // of an answer
	medianBatchTokens       = 200
	outputSigma             = 0.5 // standard deviation of the logarithm of the answer's length
	maxOutputFactor         = 4   // longest answer other than a straggler's, relative to the median

	stragglerShare  = 0.02
	stragglerFactor = 50

	maxSends      = 4 // of one request by its caller
	callerTimeout = 2 * time.Second
)

// A request is a caller's request, including all times that it is resent.
type request struct {
	model      *model
	class      deck.Class
	caller     string
	dc         int
	prompt     int
	output     int
	prefixes   []uint64
	sends      int
	onComplete func() // of a batch request: called when the answer is complete

	retryPending bool

	arrived      time.Duration // when the request first reached a VM
	firstTokenAt time.Duration // when the first token reached the VM; zero if none did
	lastTokenAt  time.Duration
	delivered    int
	attempt      attempt
}

// timeToFirstToken returns the time to the first token as the caller observes it; ok is false if there was no token.
func (r *request) timeToFirstToken(clientLatency time.Duration) (d time.Duration, ok bool) {
	return r.firstTokenAt - r.arrived + 2*clientLatency, r.delivered > 0
}

// metObjective reports whether the answer is complete and met the service-level objective for the time to the first token and
// the mean time between tokens.
func (r *request) metObjective(clientLatency time.Duration) bool {
	d, ok := r.timeToFirstToken(clientLatency)
	if !ok || d > firstTokenSLO || r.delivered < r.output {
		return false
	}
	return r.delivered < 2 || (r.lastTokenAt-r.firstTokenAt)/time.Duration(r.delivered-1) <= tokenGapSLO
}

// newRequest returns a random request of the class.
func (f *fleet) newRequest(class deck.Class) *request {
	rnd := f.interactiveRand
	if class == deck.Batch {
		rnd = f.otherRand
	}
	m := f.drawModel(rnd)
	r := &request{model: m, class: class, dc: drawDC(rnd, m), arrived: f.sched.now}
	r.caller = fmt.Sprintf("caller-%d", rnd.IntN(callerCount))
	template := rnd.IntN(templatesPerModel)
	for i := range templateBlocks {
		r.prefixes = append(r.prefixes, prefixHash(m, template, i))
	}
	r.prompt = templateBlocks*blockTokens + 32 + rnd.IntN(192)
	r.output = drawOutput(rnd, medianInteractiveTokens)
	if class == deck.Batch {
		r.prompt += 256 + rnd.IntN(512)
		r.output = drawOutput(rnd, medianBatchTokens)
		if rnd.Float64() < stragglerShare {
			r.output *= stragglerFactor
		}
	}
	return r
}

// prefixHash returns a hash that stands for a template's blocks up to the given one, distinct for each model and template.
func prefixHash(m *model, template, block int) uint64 {
	return uint64(m.index+1)<<16 | uint64(template)<<8 | uint64(block)
}

func drawOutput(rnd *rand.Rand, median float64) int {
	factor := math.Exp(outputSigma * rnd.NormFloat64())
	return max(4, int(median*min(maxOutputFactor, factor)))
}

func (f *fleet) drawModel(rnd *rand.Rand) *model {
	x := rnd.Float64()
	for _, m := range f.models {
		x -= m.demandShare
		if x < 0 {
			return m
		}
	}
	return f.models[0]
}

func drawDC(rnd *rand.Rand, m *model) int {
	x := rnd.Float64()
	for dc, share := range m.callerShares {
		x -= share
		if x < 0 {
			return dc
		}
	}
	return 0
}

// startInteractive starts a Poisson process of interactive requests that lasts until end; rate returns the arrival rate
// (requests/s) at a time, at most peak.
func (f *fleet) startInteractive(end time.Duration, peak float64, rate func(time.Duration) float64) {
	var next func()
	next = func() {
		if f.sched.now >= end {
			return
		}
		if f.interactiveRand.Float64()*peak < rate(f.sched.now) {
			r := f.newRequest(deck.Interactive)
			f.requests = append(f.requests, r)
			f.send(r)
		}
		f.sched.after(f.arrivalInterval(peak), next)
	}
	f.sched.after(f.arrivalInterval(peak), next)
}

func (f *fleet) arrivalInterval(rate float64) time.Duration {
	return time.Duration(f.interactiveRand.ExpFloat64() / rate * float64(time.Second))
}

// startBatch keeps the given number of batch requests outstanding, as overnight batch jobs do.
func (f *fleet) startBatch(outstanding int) {
	var next func()
	next = func() {
		r := f.newRequest(deck.Batch)
		r.onComplete = next
		f.send(r)
	}
	for range outstanding {
		f.sched.at(time.Duration(f.otherRand.Int64N(int64(time.Second))), next)
	}
}

// send sends the request to a random VM of the caller's data centre, as the platform's load balancer does. If callers retry, it
// abandons an interactive request without a token after the caller's timeout and resends it.
func (f *fleet) send(r *request) {
	r.sends++
	var local []*vm
	for _, v := range f.vms {
		if v.dc == r.dc {
			local = append(local, v)
		}
	}
	v := local[f.otherRand.IntN(len(local))]
	v.handleRequest(r)
	if f.callersRetry && r.class == deck.Interactive {
		sends := r.sends
		f.sched.after(callerTimeout, func() {
			if r.delivered == 0 && r.sends == sends && !r.retryPending {
				v.abandon(r)
				f.retry(r, 0)
			}
		})
	}
}

// retry resends a request that was refused or timed out after the delay. Batch requests are always resent, interactive ones
// only if callers retry, until they were sent maxSends times.
func (f *fleet) retry(r *request, delay time.Duration) {
	switch {
	case r.class == deck.Batch:
		f.sched.after(max(delay, time.Second), func() { f.send(r) })
	case f.callersRetry && r.sends < maxSends:
		r.retryPending = true
		f.sched.after(delay, func() {
			r.retryPending = false
			f.send(r)
		})
	}
}
