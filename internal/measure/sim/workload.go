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
	gapSLO        = 47 * time.Millisecond

	callers        = 50
	templates      = 8 // prompt templates of a model, shared by its callers
	templateBlocks = 4

	interactiveOutput = 60 // median tokens of an answer
	batchOutput       = 200
	outputSpread      = 0.5 // standard deviation of the logarithm
	maxAnswerFactor   = 4   // longest ordinary answer over the median

	stragglerShare  = 0.02
	stragglerFactor = 50

	maxSends      = 4 // times that a caller sends a request
	callerTimeout = 2 * time.Second
)

// A request is a caller's request over all times that it is sent.
type request struct {
	model    *model
	class    deck.Class
	caller   string
	dc       int
	prompt   int
	output   int
	prefixes []uint64
	sends    int
	again    func() // for batch work: what the caller does when the request is over

	waitsToResend bool

	arrived   time.Duration // at the first VM
	first     time.Duration // of the first token at the VM; zero if none
	last      time.Duration
	delivered int
	attempt   attempt
}

// firstToken returns the time to the first token as the caller sees it; ok is false if there was none.
func (r *request) firstToken(toClients time.Duration) (d time.Duration, ok bool) {
	return r.first - r.arrived + 2*toClients, r.delivered > 0
}

// attained reports whether the whole answer met the service-level objective: first token and mean time between tokens.
func (r *request) attained(toClients time.Duration) bool {
	d, ok := r.firstToken(toClients)
	if !ok || d > firstTokenSLO || r.delivered < r.output {
		return false
	}
	return r.delivered < 2 || (r.last-r.first)/time.Duration(r.delivered-1) <= gapSLO
}

// newRequest draws a request of a class.
func (f *fleet) newRequest(class deck.Class) *request {
	rnd := f.rnd
	if class == deck.Batch {
		rnd = f.otherRnd
	}
	m := f.drawModel(rnd)
	r := &request{model: m, class: class, dc: drawDC(rnd, m), arrived: f.s.now}
	r.caller = fmt.Sprintf("caller-%d", rnd.IntN(callers))
	template := rnd.IntN(templates)
	for i := range templateBlocks {
		r.prefixes = append(r.prefixes, prefix(m, template, i))
	}
	r.prompt = templateBlocks*blockTokens + 32 + rnd.IntN(192)
	r.output = drawOutput(rnd, interactiveOutput)
	if class == deck.Batch {
		r.prompt += 256 + rnd.IntN(512)
		r.output = drawOutput(rnd, batchOutput)
		if rnd.Float64() < stragglerShare {
			r.output *= stragglerFactor
		}
	}
	return r
}

// prefix returns the hash of a template's first blocks; it is unique over models.
func prefix(m *model, template, block int) uint64 {
	return uint64(m.index+1)<<16 | uint64(template)<<8 | uint64(block)
}

func drawOutput(rnd *rand.Rand, median float64) int {
	factor := math.Exp(outputSpread * rnd.NormFloat64())
	return max(4, int(median*min(maxAnswerFactor, factor)))
}

func (f *fleet) drawModel(rnd *rand.Rand) *model {
	x := rnd.Float64()
	for _, m := range f.models {
		x -= m.share
		if x < 0 {
			return m
		}
	}
	return f.models[0]
}

func drawDC(rnd *rand.Rand, m *model) int {
	x := rnd.Float64()
	for dc, share := range m.origin {
		x -= share
		if x < 0 {
			return dc
		}
	}
	return 0
}

// interactive sends requests at the rate (requests/s) that holds at each time, until end.
func (f *fleet) interactive(end time.Duration, peak float64, rate func(time.Duration) float64) {
	var next func()
	next = func() {
		if f.s.now >= end {
			return
		}
		if f.rnd.Float64()*peak < rate(f.s.now) {
			r := f.newRequest(deck.Interactive)
			f.requests = append(f.requests, r)
			f.send(r)
		}
		f.s.after(f.interval(peak), next)
	}
	f.s.after(f.interval(peak), next)
}

func (f *fleet) interval(rate float64) time.Duration {
	return time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second))
}

// batchLoop keeps the given number of batch requests outstanding, as overnight batches do.
func (f *fleet) batchLoop(outstanding int) {
	var next func()
	next = func() {
		r := f.newRequest(deck.Batch)
		r.again = next
		f.send(r)
	}
	for range outstanding {
		f.s.at(time.Duration(f.otherRnd.Int64N(int64(time.Second))), next)
	}
}

// send hands the request to a VM of the caller's data centre, as the platform's balancer does.
func (f *fleet) send(r *request) {
	r.sends++
	var local []*vm
	for _, v := range f.vms {
		if v.dc == r.dc {
			local = append(local, v)
		}
	}
	v := local[f.otherRnd.IntN(len(local))]
	v.arrive(r)
	if f.resend && r.class == deck.Interactive {
		sends := r.sends
		f.s.after(callerTimeout, func() {
			if r.delivered == 0 && r.sends == sends && !r.waitsToResend {
				v.abandon(r)
				f.sendAgain(r, 0)
			}
		})
	}
}

// sendAgain lets the caller send a request that was refused or timed out once more after the delay.
func (f *fleet) sendAgain(r *request, delay time.Duration) {
	switch {
	case r.class == deck.Batch:
		f.s.after(max(delay, time.Second), func() { f.send(r) })
	case f.resend && r.sends < maxSends:
		r.waitsToResend = true
		f.s.after(delay, func() {
			r.waitsToResend = false
			f.send(r)
		})
	}
}
