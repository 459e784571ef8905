package sim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A deployment describes the size and the network latency of one of the two deployments of section 1.6 of the design.
type deployment struct {
	name               string
	dataCentres        []deck.DataCentre
	vms                []int // entry VMs of each data centre
	engines            []int // engines of each group of models, spread evenly over the data centres
	models             []int // models of each group
	intraRegionLatency time.Duration
	clientLatency      time.Duration
}

// sampleInterval is the interval of the load samples from which lagged reports are taken.
const sampleInterval = 250 * time.Millisecond

// interRegionLatency is the one-way latency between regions, which the design gives as "a few dozen ms".
const interRegionLatency = 25 * time.Millisecond

var deployments = []deployment{
	{
		name:               "kranzberger",
		dataCentres:        []deck.DataCentre{"graz-a", "wien-b", "innsbruck-a"},
		vms:                []int{3, 3, 2},
		engines:            []int{18, 3},
		models:             []int{32, 3},
		intraRegionLatency: time.Millisecond,
		clientLatency:      time.Millisecond,
	},
	{
		name:               "syningarhandbok",
		dataCentres:        []deck.DataCentre{"reykjavik-a", "frankfurt-a", "stockholm-a"},
		vms:                []int{3, 3, 2},
		engines:            []int{12, 3},
		models:             []int{17, 3},
		intraRegionLatency: 500 * time.Microsecond,
		clientLatency:      3 * time.Millisecond,
	},
}

// The demand for models follows a power law of their rank. Most callers of a model are in its two home data centres.
const (
	demandExponent  = 0.8
	homeCallerShare = 0.45 // of the model's callers in each home data centre
)

// A model describes where a model is loaded and its share of the demand.
type model struct {
	name           deck.ModelName
	index          int
	demandShare    float64
	callerShares   []float64 // of each data centre
	replicaEngines []*engine
}

// A fleet holds the engines, models and VMs of one run and what the run measured.
type fleet struct {
	dep             deployment
	sched           *scheduler
	interactiveRand *rand.Rand // for interactive requests alone, so that all policies get the same ones
	otherRand       *rand.Rand
	engines         []*engine
	models          []*model
	vms             []*vm
	state           deck.State
	reportLag       time.Duration // of load reports

	engineByName     map[deck.BackendName]*engine
	replicas         map[deck.ModelName][]deck.ModelReplica
	requests         []*request // all interactive requests
	attempts         int        // sent to engines for interactive requests
	bytes            int        // between VMs and engines
	crossRegionBytes int        // bytes that crossed a region boundary
	batchTokens      int        // answer tokens of batch requests
	callersRetry     bool       // callers resend requests that were refused or timed out
	refusals         int
	preemptions      int
}

var (
	_ deck.StateSource = (*fleet)(nil)
	_ deck.Residency   = (*fleet)(nil)
	_ deck.PoisonStore = emptyPoisonStore{}
)

// newFleet builds a deployment in which the models are placed statically, with replicas in proportion to demand.
func newFleet(dep deployment, seed uint64) *fleet {
	f := &fleet{dep: dep, sched: &scheduler{}, reportLag: time.Second}
	f.interactiveRand = newRand(seed, 0)
	f.otherRand = newRand(seed, 1)
	for group := range dep.engines {
		f.addGroup(group)
	}
	f.buildState()
	for _, e := range f.engines {
		f.sched.every(0, sampleInterval, e.sampleLoad)
	}
	return f
}

// addGroup adds a group's engines and models; the group's share of the demand equals its share of the engines.
func (f *fleet) addGroup(group int) {
	var engines []*engine
	for i := range f.dep.engines[group] {
		name := deck.BackendName(fmt.Sprintf("g%d-e%02d", group, i))
		engines = append(engines, &engine{name: name, dc: i % len(f.dep.dataCentres), sched: f.sched, fleet: f, slowdown: 1})
	}
	f.engines = append(f.engines, engines...)
	total := 0.0
	for i := range f.dep.models[group] {
		total += math.Pow(float64(i+1), -demandExponent)
	}
	groupShare := float64(f.dep.engines[group]) / float64(f.dep.engines[0]+f.dep.engines[1])
	placedShare := make(map[*engine]float64)
	for i := range f.dep.models[group] {
		share := math.Pow(float64(i+1), -demandExponent) / total
		m := &model{name: deck.ModelName(fmt.Sprintf("g%d-m%02d", group, i)), index: len(f.models), demandShare: share * groupShare}
		f.placeModel(m, share, i, engines, placedShare)
		f.models = append(f.models, m)
	}
}

// placeModel places the model in its home data centres, two of three, on at least two engines in each if there are that many.
func (f *fleet) placeModel(m *model, share float64, index int, engines []*engine, placedShare map[*engine]float64) {
	n := len(f.dep.dataCentres)
	remoteDC := index % n
	m.callerShares = make([]float64, n)
	if n == 1 {
		m.callerShares[0], m.replicaEngines = 1, engines
		return
	}
	for dc := range n {
		if dc == remoteDC {
			m.callerShares[dc] = 1 - homeCallerShare*float64(n-1)
			continue
		}
		m.callerShares[dc] = homeCallerShare
		var local []*engine
		for _, e := range engines {
			if e.dc == dc {
				local = append(local, e)
			}
		}
		slices.SortStableFunc(local, func(a, b *engine) int { return int(1e6 * (placedShare[a] - placedShare[b])) })
		replicas := min(len(local), max(2, int(math.Ceil(2*share*float64(len(local))))))
		for _, e := range local[:replicas] {
			placedShare[e] += share / float64(replicas)
			m.replicaEngines = append(m.replicaEngines, e)
		}
	}
}

// buildState builds the declared state and the replicas of each model.
func (f *fleet) buildState() {
	var t deck.Ticket
	f.engineByName = make(map[deck.BackendName]*engine)
	f.replicas = make(map[deck.ModelName][]deck.ModelReplica)
	for _, e := range f.engines {
		f.engineByName[e.name] = e
		t.BackendServers = append(t.BackendServers, deck.BackendServer{Name: e.name, DataCentre: f.dep.dataCentres[e.dc]})
	}
	for _, m := range f.models {
		t.Models = append(t.Models, deck.Model{Name: m.name, Active: "v1"})
		for _, e := range m.replicaEngines {
			f.replicas[m.name] = append(f.replicas[m.name], deck.ModelReplica{Backend: e.name, Version: "v1", Ready: true})
		}
	}
	f.state = f.state.WithTicket(t, 1)
}

// path returns the one-way latency between two data centres, each of which is a region of its own.
func (f *fleet) path(a, b int) time.Duration {
	if a == b {
		return f.dep.intraRegionLatency / 2
	}
	return interRegionLatency
}

// State implements StateSource.State.
func (f *fleet) State() deck.State { return f.state }

// Changed implements StateSource.Changed; the state of a run never changes.
func (f *fleet) Changed() <-chan struct{} { return nil }

// Proven implements StateSource.Proven.
func (f *fleet) Proven() bool { return true }

// Replicas implements Residency.Replicas.
func (f *fleet) Replicas(name deck.ModelName) []deck.ModelReplica { return f.replicas[name] }

// HasAdapter implements Residency.HasAdapter; every engine has every adapter.
func (f *fleet) HasAdapter(deck.BackendName, deck.AdapterName) bool { return true }

// An emptyPoisonStore is a poison store without entries.
type emptyPoisonStore struct{}

// IsRefused implements PoisonStore.IsRefused.
func (emptyPoisonStore) IsRefused(string) bool { return false }

func (emptyPoisonStore) IsPartRefused(uint64) bool { return false }

func (emptyPoisonStore) ReportSound(context.Context, uint64) error { return nil }

// ReportCrash implements PoisonStore.ReportCrash.
func (emptyPoisonStore) ReportCrash(context.Context, deck.CrashReport) error {
	return nil
}
