package placement

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
)

// Timing of a simulation.
const (
	stepSeconds       = 0.1
	stepsPerPlacement = 10
	warmUpSeconds     = 600.0
	durationSeconds   = warmUpSeconds + 1500.0
	maxQueueSeconds   = 10.0 // a request that waits longer is dropped
	coldSeconds       = 20.0 // requests this soon after the start of a burst count as cold
)

// A policy decides on which engines models are placed.
type policy interface {
	// place starts loads and unloads on the engines. The simulation calls it once a second of virtual time.
	place(s *simulation, now time.Time)
}

// A simulation is a run of a deployment in virtual time.
type simulation struct {
	dep              deployment
	state            deck.State
	homes            plan.Homes
	engines          []*engine
	work             *workload
	estimates        map[deck.DataCentre]*plan.Estimates
	modelNames       []deck.ModelName
	modelRates       []float64 // mean requests per second of each model, for static placement
	attained         int
	total            int
	coldFirstTokenMs *hdrhistogram.Histogram
}

// A result holds the figures of one run.
type result struct {
	attainedPerAccelerator float64 // requests per second and accelerator whose first token was in time
	attainedShare          float64 // share of all requests whose first token was in time
	loadsPerHour           float64 // after the warm-up
	coldP99Ms              float64 // time to the first token of requests soon after the start of a burst
}

func newSimulation(d deployment, seed uint64) (*simulation, error) {
	w := newWorkload(d, seed)
	s := &simulation{
		dep:              d,
		state:            d.buildState(w.rand),
		work:             w,
		estimates:        make(map[deck.DataCentre]*plan.Estimates),
		modelRates:       w.meanRates,
		coldFirstTokenMs: hdrhistogram.New(1, 600_000, 3),
	}
	var err error
	if s.homes, err = plan.AssignHomes(s.state); err != nil {
		return nil, err
	}
	for _, b := range s.state.BackendServers() {
		s.engines = append(s.engines, &engine{backend: b, replicas: make(map[deck.ModelName]*replica)})
		s.estimates[b.DataCentre] = &plan.Estimates{}
	}
	for _, m := range s.state.Models() {
		s.modelNames = append(s.modelNames, m.Name)
	}
	return s, nil
}

// enginesIn returns the engines of a data centre.
func (s *simulation) enginesIn(dc deck.DataCentre) []*engine {
	var out []*engine
	for _, e := range s.engines {
		if e.backend.DataCentre == dc {
			out = append(out, e)
		}
	}
	return out
}

// operation returns an operation that loads or unloads the model's active version.
func (s *simulation) operation(kind deck.OperationKind, m deck.ModelName) deck.Operation {
	model, _ := s.state.Model(m)
	v, _ := model.ActiveVersion()
	return deck.Operation{
		Kind: kind, Model: m, Version: v.Name,
		WeightBytes: v.WeightBytes, ResidentBytes: v.ResidentBytes(), TransientBytes: v.TransientBytes,
	}
}

// placeHomes loads the models on the engines of their target without demand, the initial placement for all policies.
func (s *simulation) placeHomes(now time.Time) {
	for i := range s.dep.dataCentres {
		t := plan.ComputeTarget(plan.Input{State: s.state, DataCentre: dataCentreName(i), Homes: s.homes, Now: now})
		for _, e := range s.enginesIn(dataCentreName(i)) {
			for _, m := range t.Models(e.backend.Name) {
				e.apply(s.operation(deck.OpLoadModel, m), now.Add(-time.Hour))
			}
		}
	}
}

func (s *simulation) run(p policy) result {
	start := time.Unix(100_000, 0)
	s.placeHomes(start)
	loadsBefore := 0
	for n := 0; float64(n)*stepSeconds < durationSeconds; n++ {
		elapsed := float64(n) * stepSeconds
		now := start.Add(time.Duration(elapsed * float64(time.Second)))
		s.work.advance(elapsed)
		s.work.arrivals(elapsed+stepSeconds, func(m int, at, tokens float64) { s.route(m, at, tokens, now) })
		if n%stepsPerPlacement == 0 {
			p.place(s, now)
		}
		for _, e := range s.engines {
			e.step(elapsed, stepSeconds, s.recordStart)
		}
		if n == int(warmUpSeconds/stepSeconds) {
			s.attained, s.total = 0, 0
			s.coldFirstTokenMs.Reset()
			loadsBefore = s.totalLoads()
		}
	}
	measuredSeconds := durationSeconds - warmUpSeconds
	return result{
		attainedPerAccelerator: float64(s.attained) / measuredSeconds / float64(s.dep.engines*acceleratorsPerEngine),
		attainedShare:          float64(s.attained) / float64(max(1, s.total)),
		loadsPerHour:           float64(s.totalLoads()-loadsBefore) * 3600 / measuredSeconds,
		coldP99Ms:              float64(s.coldFirstTokenMs.ValueAtQuantile(99)),
	}
}

func (s *simulation) totalLoads() int {
	n := 0
	for _, e := range s.engines {
		n += e.loadCount
	}
	return n
}

// route queues a request on the least loaded engine where its model is ready, in the caller's data centre if there is one there.
func (s *simulation) route(m int, at, tokens float64, now time.Time) {
	dc := dataCentreName(s.work.rand.IntN(s.dep.dataCentres))
	best := s.leastLoadedEngine(s.modelNames[m], now, func(e *engine) bool { return e.backend.DataCentre == dc })
	if best == nil {
		best = s.leastLoadedEngine(s.modelNames[m], now, func(*engine) bool { return true })
	}
	if best == nil {
		s.total++
		return
	}
	s.estimates[best.backend.DataCentre].Add(s.modelNames[m], meanAnswerTokens, now)
	best.queue = append(best.queue, request{arrivedAt: at, tokens: tokens, cold: at-s.work.burstStarts[m] < coldSeconds})
}

func (s *simulation) leastLoadedEngine(m deck.ModelName, now time.Time, ok func(*engine) bool) *engine {
	var best *engine
	for _, e := range s.engines {
		if ok(e) && e.isReady(m, now) && (best == nil || e.inFlight() < best.inFlight()) {
			best = e
		}
	}
	return best
}

func (s *simulation) recordStart(r request, wait float64) {
	s.total++
	if wait <= firstTokenLimitSeconds {
		s.attained++
	}
	if r.cold {
		s.coldFirstTokenMs.RecordValue(int64(wait * 1000)) //nolint:errcheck // longer than the histogram's range is not expected
	}
}

// countLoading returns the number of models that are still loading on the engines.
func countLoading(engines []*engine, now time.Time) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.replicas {
			if now.Before(r.readyAt) {
				n++
			}
		}
	}
	return n
}

func sortedModels(e *engine) []deck.ModelName {
	out := make([]deck.ModelName, 0, len(e.replicas))
	for m := range e.replicas {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}
