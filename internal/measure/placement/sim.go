package placement

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// Times of a simulation in seconds.
const (
	stepTime  = 0.1
	planEvery = 10 // steps
	warmUp    = 600.0
	duration  = warmUp + 1500.0
	patience  = 10.0 // a request that waits longer is refused
	coldTime  = 20.0 // requests this soon after a burst began count as cold
)

// A policy decides where models are placed.
type policy interface {
	// place starts loads and unloads of one data centre's engines; it is called once a second.
	place(s *sim, now time.Time)
}

// A sim is a deployment in virtual time.
type sim struct {
	d         deployment
	state     deck.State
	homes     plan.Homes
	engines   []*engine
	work      *workload
	estimates map[deck.DataCentre]*plan.Estimates
	names     []deck.ModelName
	weights   []float64 // requests per second of each model over time, for static placement
	attained  int
	total     int
	cold      *hdrhistogram.Histogram // ms
}

// A result is what one run measured.
type result struct {
	attained float64 // requests per second and accelerator with a timely first token
	share    float64 // of all requests
	moves    float64 // loads per hour after the warm-up
	coldP99  float64 // ms to the first token after a burst began
}

func newSim(d deployment, seed uint64) (*sim, error) {
	w := newWorkload(d, seed)
	s := &sim{
		d:         d,
		state:     d.state(w.r),
		work:      w,
		estimates: make(map[deck.DataCentre]*plan.Estimates),
		weights:   w.mean,
		cold:      hdrhistogram.New(1, 600_000, 3),
	}
	var err error
	if s.homes, err = plan.AssignHomes(s.state); err != nil {
		return nil, err
	}
	for _, b := range s.state.BackendServers() {
		s.engines = append(s.engines, &engine{backend: b, models: make(map[deck.ModelName]*replica)})
		s.estimates[b.DataCentre] = &plan.Estimates{}
	}
	for _, m := range s.state.Models() {
		s.names = append(s.names, m.Name)
	}
	return s, nil
}

// in returns the engines of a data centre.
func (s *sim) in(dc deck.DataCentre) []*engine {
	var out []*engine
	for _, e := range s.engines {
		if e.backend.DataCentre == dc {
			out = append(out, e)
		}
	}
	return out
}

// operation returns a load or unload of the model.
func (s *sim) operation(kind deck.OperationKind, m deck.ModelName) deck.Operation {
	model, _ := s.state.Model(m)
	v, _ := model.ActiveVersion()
	return deck.Operation{
		Kind: kind, Model: m, Version: v.Name,
		WeightBytes: v.WeightBytes, ResidentBytes: v.ResidentBytes(), TransientBytes: v.TransientBytes,
	}
}

// settle gives every home model its places, as all policies find them at the start.
func (s *sim) settle(now time.Time) {
	for i := range s.d.centres {
		t := plan.ComputeTarget(plan.Input{State: s.state, DataCentre: centre(i), Homes: s.homes, Now: now})
		for _, e := range s.in(centre(i)) {
			for _, m := range t.Models(e.backend.Name) {
				e.operate(s.operation(deck.OpLoadModel, m), now.Add(-time.Hour))
			}
		}
	}
}

func (s *sim) run(p policy) result {
	start := time.Unix(100_000, 0)
	s.settle(start)
	moves := 0
	for n := 0; float64(n)*stepTime < duration; n++ {
		at := float64(n) * stepTime
		now := start.Add(time.Duration(at * float64(time.Second)))
		s.work.advance(at)
		s.work.arrivals(at+stepTime, func(m int, at, tokens float64) { s.route(m, at, tokens, now) })
		if n%planEvery == 0 {
			p.place(s, now)
		}
		for _, e := range s.engines {
			e.step(at, stepTime, s.start)
		}
		if n == int(warmUp/stepTime) {
			s.attained, s.total = 0, 0
			s.cold.Reset()
			moves = s.moves()
		}
	}
	measured := duration - warmUp
	return result{
		attained: float64(s.attained) / measured / float64(s.d.engines*accelerators),
		share:    float64(s.attained) / float64(max(1, s.total)),
		moves:    float64(s.moves()-moves) * 3600 / measured,
		coldP99:  float64(s.cold.ValueAtQuantile(99)),
	}
}

func (s *sim) moves() int {
	n := 0
	for _, e := range s.engines {
		n += e.moves
	}
	return n
}

// route sends a request to the least loaded replica in the caller's data centre, otherwise to one elsewhere.
func (s *sim) route(m int, at, tokens float64, now time.Time) {
	dc := centre(s.work.r.IntN(s.d.centres))
	best := s.least(s.names[m], now, func(e *engine) bool { return e.backend.DataCentre == dc })
	if best == nil {
		best = s.least(s.names[m], now, func(*engine) bool { return true })
	}
	if best == nil {
		s.total++
		return
	}
	s.estimates[best.backend.DataCentre].Add(s.names[m], meanTokens, now)
	best.queue = append(best.queue, request{at: at, tokens: tokens, cold: at-s.work.changed[m] < coldTime})
}

func (s *sim) least(m deck.ModelName, now time.Time, ok func(*engine) bool) *engine {
	var best *engine
	for _, e := range s.engines {
		if ok(e) && e.ready(m, now) && (best == nil || e.load() < best.load()) {
			best = e
		}
	}
	return best
}

func (s *sim) start(r request, wait float64) {
	s.total++
	if wait <= firstTokenTime {
		s.attained++
	}
	if r.cold {
		s.cold.RecordValue(int64(wait * 1000)) //nolint:errcheck // waits beyond the range are not expected
	}
}

// loading counts the loads of some engines that are not ready.
func loading(engines []*engine, now time.Time) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.models {
			if now.Before(r.ready) {
				n++
			}
		}
	}
	return n
}

func sortedModels(e *engine) []deck.ModelName {
	out := make([]deck.ModelName, 0, len(e.models))
	for m := range e.models {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}
