package health

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// slowRatio to the peers' median marks a server as slow, below okRatio it counts as recovered.
	slowRatio = 2.0
	okRatio   = 1.5
	// minExcess is the least absolute difference to the median that counts; below it a ratio is noise.
	minExcess = 10 * time.Millisecond
	// EvaluateEvery is the interval between comparisons.
	EvaluateEvery = 100 * time.Millisecond
)

// steps are the weights of a server, from full to the probe share.
var steps = [...]float64{1, 0.5, 0.25, 0.1, 0.02}

// A Policy sets how long a condition must hold before a server's weight changes.
type Policy struct {
	DownHold time.Duration // before the first reduction
	StepHold time.Duration // before each further reduction
	UpHold   time.Duration // before each increase
}

// DefaultPolicy holds a condition for 1 s before the first reduction. A hold of 1 s or 3 s before an increase measured no
// better than none (slow-server-p99 118 ms each), so UpHold is only the pace of the steps.
func DefaultPolicy() Policy {
	return Policy{DownHold: time.Second, StepHold: 300 * time.Millisecond, UpHold: 300 * time.Millisecond}
}

// A Tracker compares backend servers with their peers and sets their weights.
type Tracker struct {
	policy  Policy
	groups  map[deck.ModelName]map[deck.BackendName]*pair
	models  []deck.ModelName // keys of groups in order of creation, for reproducible sums
	servers map[deck.BackendName]*server
	last    time.Time
}

// A pair holds the estimates of one server for one model.
type pair struct {
	gap, first estimate
}

type server struct {
	step    int
	slow    time.Time // since when the slow condition holds; zero if it does not
	ok      time.Time // since when the recovered condition holds; zero if it does not
	gap     estimate  // over all models
	first   estimate
	started time.Time // last start of an attempt
}

// NewTracker returns a Tracker without observations.
func NewTracker(p Policy) *Tracker {
	return &Tracker{
		policy:  p,
		groups:  make(map[deck.ModelName]map[deck.BackendName]*pair),
		servers: make(map[deck.BackendName]*server),
	}
}

// ObserveGap records the time between two tokens of a model's answer.
func (t *Tracker) ObserveGap(b deck.BackendName, m deck.ModelName, gap time.Duration, now time.Time) {
	t.pair(b, m).gap.observe(gap, gapConstant, now)
	t.server(b).gap.observe(gap, gapConstant, now)
}

// ObserveFirstToken records the time from an attempt's start to its first token.
func (t *Tracker) ObserveFirstToken(b deck.BackendName, m deck.ModelName, d time.Duration, now time.Time) {
	t.pair(b, m).first.observe(d, firstTokenConstant, now)
	t.server(b).first.observe(d, firstTokenConstant, now)
}

// ObserveStart records that an attempt was sent to the server.
func (t *Tracker) ObserveStart(b deck.BackendName, now time.Time) {
	t.server(b).started = now
}

// Forget drops what is known of a server, for instance after a restart; its weight stays.
func (t *Tracker) Forget(b deck.BackendName) {
	for _, g := range t.groups {
		delete(g, b)
	}
	if s := t.servers[b]; s != nil {
		s.gap, s.first = estimate{}, estimate{}
		s.slow, s.ok = time.Time{}, time.Time{}
	}
}

// Weight returns the server's share of its normal work, from the probe share to 1.
func (t *Tracker) Weight(b deck.BackendName) float64 {
	s := t.servers[b]
	if s == nil {
		return steps[0]
	}
	return steps[s.step]
}

// ProbeDue reports whether a server of reduced weight has not been tried for the interval.
func (t *Tracker) ProbeDue(b deck.BackendName, interval time.Duration, now time.Time) bool {
	s := t.servers[b]
	return s != nil && s.step > 0 && now.Sub(s.started) >= interval
}

// Gap returns the estimated time between tokens, zero if unknown.
func (t *Tracker) Gap(b deck.BackendName) time.Duration {
	if s := t.servers[b]; s != nil {
		return s.gap.duration()
	}
	return 0
}

// FirstToken returns the estimated time to a first token, zero if unknown.
func (t *Tracker) FirstToken(b deck.BackendName) time.Duration {
	if s := t.servers[b]; s != nil {
		return s.first.duration()
	}
	return 0
}

// Evaluate compares the servers at most every EvaluateEvery and adjusts their weights.
func (t *Tracker) Evaluate(now time.Time) {
	if now.Sub(t.last) < EvaluateEvery {
		return
	}
	t.last = now
	ratios := t.ratios(now)
	for b, s := range t.servers {
		r, compared := ratios[b]
		t.judge(s, r, compared, now)
	}
}

// judge moves a server's weight by at most one step.
func (t *Tracker) judge(s *server, ratio float64, compared bool, now time.Time) {
	slow := compared && ratio > slowRatio
	ok := compared && ratio < okRatio
	s.slow = since(s.slow, slow, now)
	s.ok = since(s.ok, ok, now)
	hold := t.policy.DownHold
	if s.step > 0 {
		hold = t.policy.StepHold
	}
	switch {
	case slow && now.Sub(s.slow) >= hold && s.step < len(steps)-1:
		s.step++
		s.slow = now
	case ok && now.Sub(s.ok) >= t.policy.UpHold && s.step > 0:
		s.step--
		s.ok = now
	}
}

func since(t time.Time, holds bool, now time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if t.IsZero() {
		return now
	}
	return t
}

// ratios returns each server's larger ratio of its times to the median of its peers, summed over the shared models.
func (t *Tracker) ratios(now time.Time) map[deck.BackendName]float64 {
	gaps := t.sums(now, func(p *pair) *estimate { return &p.gap })
	firsts := t.sums(now, func(p *pair) *estimate { return &p.first })
	out := make(map[deck.BackendName]float64)
	for _, sums := range []map[deck.BackendName]*sum{gaps, firsts} {
		for b, s := range sums {
			out[b] = max(out[b], s.ratio())
		}
	}
	return out
}

// A sum adds a server's estimates and its peers' medians over models.
type sum struct {
	own, peers float64
	models     int
}

func (s *sum) ratio() float64 {
	if s.own-s.peers < float64(s.models)*minExcess.Seconds() {
		return min(1, s.own/s.peers)
	}
	return s.own / s.peers
}

func (t *Tracker) sums(now time.Time, kind func(*pair) *estimate) map[deck.BackendName]*sum {
	out := make(map[deck.BackendName]*sum)
	for _, m := range t.models {
		g := t.groups[m]
		values := make(map[deck.BackendName]float64, len(g))
		for b, p := range g {
			if e := kind(p); e.fresh(now) {
				values[b] = e.value
			}
		}
		if len(values) < 2 {
			continue
		}
		addGroup(out, values)
	}
	return out
}

func addGroup(out map[deck.BackendName]*sum, values map[deck.BackendName]float64) {
	all := make([]float64, 0, len(values))
	for _, v := range values {
		all = append(all, v)
	}
	slices.Sort(all)
	for b, v := range values {
		s := out[b]
		if s == nil {
			s = &sum{}
			out[b] = s
		}
		s.own += v
		s.peers += medianWithout(all, v)
		s.models++
	}
}

// medianWithout returns the lower median of the sorted values without one occurrence of v.
func medianWithout(sorted []float64, v float64) float64 {
	n := len(sorted) - 1
	m := (n - 1) / 2
	i, _ := slices.BinarySearch(sorted, v)
	if m >= i {
		m++
	}
	return sorted[m]
}

func (t *Tracker) pair(b deck.BackendName, m deck.ModelName) *pair {
	g := t.groups[m]
	if g == nil {
		g = make(map[deck.BackendName]*pair)
		t.groups[m] = g
		t.models = append(t.models, m)
	}
	p := g[b]
	if p == nil {
		p = &pair{}
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
