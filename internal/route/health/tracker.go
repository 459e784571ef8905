package health

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// A server counts as slow above slowRatio times the median of its peers, and as recovered below recoveredRatio times.
	slowRatio      = 2.0
	recoveredRatio = 1.5
	// minExcess is the least absolute difference from the median that counts. Below it, the ratio is noise.
	minExcess = 10 * time.Millisecond
	// EvaluateEvery is the least interval between comparisons.
	EvaluateEvery = 100 * time.Millisecond
)

// weightSteps are the weights of a server, from the normal one to the least, with which a slow server still gets a few requests
// that show whether it has recovered.
var weightSteps = [...]float64{1, 0.5, 0.25, 0.1, 0.02}

// A Policy sets how long a condition must hold before a server's weight changes.
type Policy struct {
	DownHold time.Duration // before the first reduction
	StepHold time.Duration // before each further reduction
	UpHold   time.Duration // before each increase
}

// DefaultPolicy returns a policy that first reduces a weight after 1 s, and then changes it by at most one step every 300 ms.
// A hold of 1 s or 3 s before an increase gives the same 99th percentile latency beside a slow server (118 ms), so UpHold only
// sets the pace of the steps.
func DefaultPolicy() Policy {
	return Policy{DownHold: time.Second, StepHold: 300 * time.Millisecond, UpHold: 300 * time.Millisecond}
}

// A Tracker compares the latency of backend servers with that of their peers and sets their weights.
type Tracker struct {
	policy    Policy
	byModel   map[deck.ModelName]map[deck.BackendName]*modelEstimates
	models    []deck.ModelName // keys of byModel in the order of creation, so that sums are reproducible
	servers   map[deck.BackendName]*server
	evaluated time.Time
}

// modelEstimates are the estimates of one server for one model.
type modelEstimates struct {
	gap, firstToken estimate
}

type server struct {
	step           int
	slowSince      time.Time // start of the present slow period; zero if it is not slow
	recoveredSince time.Time // start of the present recovered period; zero if it is not recovered
	gap            estimate  // over all models
	firstToken     estimate
	lastStart      time.Time // last start of an attempt
}

// NewTracker returns a Tracker without observations.
func NewTracker(p Policy) *Tracker {
	return &Tracker{
		policy:  p,
		byModel: make(map[deck.ModelName]map[deck.BackendName]*modelEstimates),
		servers: make(map[deck.BackendName]*server),
	}
}

// ObserveGap records the time between two tokens of a model's answer.
func (t *Tracker) ObserveGap(b deck.BackendName, m deck.ModelName, gap time.Duration, now time.Time) {
	t.modelEstimates(b, m).gap.observe(gap, gapTimeConstant, now)
	t.server(b).gap.observe(gap, gapTimeConstant, now)
}

// ObserveFirstToken records the time from an attempt's start to its first token.
func (t *Tracker) ObserveFirstToken(b deck.BackendName, m deck.ModelName, d time.Duration, now time.Time) {
	t.modelEstimates(b, m).firstToken.observe(d, firstTokenTimeConstant, now)
	t.server(b).firstToken.observe(d, firstTokenTimeConstant, now)
}

// ObserveStart records that an attempt was sent to the server.
func (t *Tracker) ObserveStart(b deck.BackendName, now time.Time) {
	t.server(b).lastStart = now
}

// Forget drops the estimates of a server, for instance after a restart. Its weight stays.
func (t *Tracker) Forget(b deck.BackendName) {
	for _, g := range t.byModel {
		delete(g, b)
	}
	if s := t.servers[b]; s != nil {
		s.gap, s.firstToken = estimate{}, estimate{}
		s.slowSince, s.recoveredSince = time.Time{}, time.Time{}
	}
}

// Weight returns the share of its normal load that the server should get, one of weightSteps.
func (t *Tracker) Weight(b deck.BackendName) float64 {
	s := t.servers[b]
	if s == nil {
		return weightSteps[0]
	}
	return weightSteps[s.step]
}

// ProbeDue reports whether the server has a reduced weight and no attempt was sent to it within the interval, so that the
// next request should go there as a probe, which shows whether it has recovered.
func (t *Tracker) ProbeDue(b deck.BackendName, interval time.Duration, now time.Time) bool {
	s := t.servers[b]
	return s != nil && s.step > 0 && now.Sub(s.lastStart) >= interval
}

// Gap returns the server's estimated time between tokens, zero if unknown.
func (t *Tracker) Gap(b deck.BackendName) time.Duration {
	if s := t.servers[b]; s != nil {
		return s.gap.duration()
	}
	return 0
}

// FirstToken returns the server's estimated time to the first token, zero if unknown.
func (t *Tracker) FirstToken(b deck.BackendName) time.Duration {
	if s := t.servers[b]; s != nil {
		return s.firstToken.duration()
	}
	return 0
}

// Evaluate compares the servers and adjusts their weights, at most once every EvaluateEvery.
func (t *Tracker) Evaluate(now time.Time) {
	if now.Sub(t.evaluated) < EvaluateEvery {
		return
	}
	t.evaluated = now
	ratios := t.ratios(now)
	for b, s := range t.servers {
		r, compared := ratios[b]
		t.updateWeight(s, r, compared, now)
	}
}

// updateWeight moves a server's weight by at most one step.
func (t *Tracker) updateWeight(s *server, ratio float64, compared bool, now time.Time) {
	slow := compared && ratio > slowRatio
	recovered := compared && ratio < recoveredRatio
	s.slowSince = since(s.slowSince, slow, now)
	s.recoveredSince = since(s.recoveredSince, recovered, now)
	hold := t.policy.DownHold
	if s.step > 0 {
		hold = t.policy.StepHold
	}
	switch {
	case slow && now.Sub(s.slowSince) >= hold && s.step < len(weightSteps)-1:
		s.step++
		s.slowSince = now
	case recovered && now.Sub(s.recoveredSince) >= t.policy.UpHold && s.step > 0:
		s.step--
		s.recoveredSince = now
	}
}

// since returns the start of the period in which the condition holds: t, now if it begins to hold, or zero if it does not hold.
func since(t time.Time, holds bool, now time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if t.IsZero() {
		return now
	}
	return t
}

// ratios returns, for each server, the larger of the ratios of its gaps and of its times to the first token to the median
// of its peers. Both sides are summed over the models that the server shares with peers.
func (t *Tracker) ratios(now time.Time) map[deck.BackendName]float64 {
	gaps := t.sums(now, func(p *modelEstimates) *estimate { return &p.gap })
	firstTokens := t.sums(now, func(p *modelEstimates) *estimate { return &p.firstToken })
	out := make(map[deck.BackendName]float64)
	for _, sums := range []map[deck.BackendName]*ratioSum{gaps, firstTokens} {
		for b, s := range sums {
			out[b] = max(out[b], s.ratio())
		}
	}
	return out
}

// A ratioSum is a server's estimates and its peers' medians, summed over models.
type ratioSum struct {
	own, peers float64
	models     int
}

func (s *ratioSum) ratio() float64 {
	if s.own-s.peers < float64(s.models)*minExcess.Seconds() {
		return min(1, s.own/s.peers)
	}
	return s.own / s.peers
}

func (t *Tracker) sums(now time.Time, get func(*modelEstimates) *estimate) map[deck.BackendName]*ratioSum {
	out := make(map[deck.BackendName]*ratioSum)
	for _, m := range t.models {
		g := t.byModel[m]
		values := make(map[deck.BackendName]float64, len(g))
		for b, p := range g {
			if e := get(p); e.fresh(now) {
				values[b] = e.value
			}
		}
		if len(values) < 2 {
			continue
		}
		addModel(out, values)
	}
	return out
}

func addModel(out map[deck.BackendName]*ratioSum, values map[deck.BackendName]float64) {
	all := make([]float64, 0, len(values))
	for _, v := range values {
		all = append(all, v)
	}
	slices.Sort(all)
	for b, v := range values {
		s := out[b]
		if s == nil {
			s = &ratioSum{}
			out[b] = s
		}
		s.own += v
		s.peers += medianWithout(all, v)
		s.models++
	}
}

// medianWithout returns the lower median of the sorted values, excluding one occurrence of v.
func medianWithout(sorted []float64, v float64) float64 {
	n := len(sorted) - 1
	m := (n - 1) / 2
	i, _ := slices.BinarySearch(sorted, v)
	if m >= i {
		m++
	}
	return sorted[m]
}

func (t *Tracker) modelEstimates(b deck.BackendName, m deck.ModelName) *modelEstimates {
	g := t.byModel[m]
	if g == nil {
		g = make(map[deck.BackendName]*modelEstimates)
		t.byModel[m] = g
		t.models = append(t.models, m)
	}
	p := g[b]
	if p == nil {
		p = &modelEstimates{}
		g[b] = p
	}
	return p
}

func (t *Tracker) server(b deck.BackendName) *server {
	s := t.servers[b]
	if s == nil {
		s = &server{}
		t.servers[b] = s
	}
	return s
}
