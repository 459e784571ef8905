package execute

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
)

// Intervals, timeouts and default limits of the executor.
const (
	stepInterval         = 250 * time.Millisecond
	reportTimeout        = 2 * time.Second
	platformPollInterval = time.Second
	// defaultLoadLimit bounds the model loads in flight if no weight store is configured.
	defaultLoadLimit = 1
	// defaultAdapterLoadLimit bounds the adapter loads in flight in the data centre if Config.AdapterLimit is 0.
	defaultAdapterLoadLimit = 8
)

// errPaused is returned for a report that was not requested and an operation that was not sent.
var errPaused = errors.New("the engine has asked for a pause")

// A Config holds the dependencies and settings of an Executor; every field after Engine may be nil or zero.
type Config struct {
	DataCentre        deck.DataCentre
	Clock             deck.Clock
	Lease             deck.LeaseSource
	States            deck.StateSource
	Engine            func(deck.BackendServer) deck.Engine
	VMs               deck.VMList
	WeightStore       deck.WeightStore
	Demand            *Collector
	LeasedLoads       func(now time.Time) int   // loads that the data centre has leased from the weight store's pool
	AdapterLimit      int                       // adapter loads in flight over all data centres; 0 for defaultAdapterLoadLimit in each
	LeasedAdapters    func(now time.Time) int   // adapter loads that the data centre has leased from the limit's pool
	TokensPerSecond   float64                   // of one accelerator; 0 for plan.DefaultTokensPerSecond
	Publish           func(deck.ResidencyTable) // called whenever the residency changes
	ObserveToken      func(uint64)              // called when an engine reports a higher fencing token than the lease's
	OperationLifetime time.Duration             // bound on how late an operation may arrive; 0 for memory.OperationLifetime
	Restraints        *restraint.Table          // what engines say about the requests that they take; nil for an empty one
	Log               logr.Logger
}

// An Executor runs the control loop of a data centre's placement leader; on a VM without the lease it does nothing.
type Executor struct {
	cfg  Config
	done chan struct{}

	mu             sync.Mutex
	controller     *Controller
	residency      deck.ResidencyTable
	platformStatus platformStatus
}

var _ deck.Residency = (*Executor)(nil)

// New returns an executor that does nothing until Run is called.
func New(cfg Config) *Executor {
	if cfg.Restraints == nil {
		cfg.Restraints = &restraint.Table{}
	}
	e := &Executor{cfg: cfg, done: make(chan struct{}), controller: NewController(cfg.DataCentre)}
	if cfg.OperationLifetime > 0 {
		e.controller.SetLifetime(cfg.OperationLifetime)
	}
	return e
}

// Done returns a channel that is closed after Run has returned.
func (e *Executor) Done() <-chan struct{} {
	return e.done
}

// Run executes the control loop until the context ends; it may be called only once.
func (e *Executor) Run(ctx context.Context) error {
	defer close(e.done)
	g, ctx := errgroup.WithContext(ctx)
	e.pollPlatform(ctx, g)
	g.Go(func() error { return e.loop(ctx, g) })
	return g.Wait()
}

func (e *Executor) loop(ctx context.Context, g *errgroup.Group) error {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		e.step(ctx, g)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// step starts the operations and report requests that are due and publishes the residency.
func (e *Executor) step(ctx context.Context, g *errgroup.Group) {
	out := e.decide()
	for _, s := range out.Sends {
		g.Go(func() error { e.sendOperation(ctx, s); return nil })
	}
	for _, b := range out.Reports {
		requestedAt := e.cfg.Clock.Now()
		g.Go(func() error { e.requestReport(ctx, b, requestedAt); return nil })
	}
	e.publish()
}

func (e *Executor) decide() Output {
	l, held := e.cfg.Lease.Held()
	now, state := e.cfg.Clock.Now(), e.cfg.States.State()
	in := Input{Now: now, Lease: l, Held: held, State: state, TokensPerSecond: e.cfg.TokensPerSecond}
	if e.cfg.Demand != nil {
		in.Demand = e.cfg.Demand.Rates(now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	in.Leaving = e.platformStatus.leaving
	in.LoadLimit = e.loadLimit(state, now)
	in.AdapterLoadLimit = e.adapterLoadLimit(state, now)
	return e.controller.Step(in)
}

// sendOperation checks the lease again just before it sends the operation, because the process may have been suspended
// since the decision.
func (e *Executor) sendOperation(ctx context.Context, s Send) {
	r := deck.OperationResult{Outcome: deck.OutcomeNotRun, Reason: "placement lease expired before the operation was sent"}
	switch {
	case e.isPaused(s.Backend):
		r.Reason = errPaused.Error()
	case e.holdsLease(s.Operation.FencingToken):
		ctx, cancel := context.WithTimeout(ctx, e.controller.lifetime) // a slower send could arrive after the lifetime
		defer cancel()
		r = e.cfg.Engine(s.Backend).SendOperation(ctx, s.Operation)
	}
	if r.Outcome != deck.OutcomeDone {
		e.cfg.Log.V(1).Info("engine operation not confirmed", "backend", s.Backend.Name, "operation", s.Operation.ID,
			"kind", s.Operation.Kind.String(), "outcome", r.Outcome.String(), "reason", r.Reason)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.controller.RecordResult(s.Backend.Name, s.Operation, r, e.cfg.Clock.Now())
}

func (e *Executor) holdsLease(token uint64) bool {
	l, ok := e.cfg.Lease.Held()
	return ok && l.FencingToken == token && l.ValidAt(e.cfg.Clock.Now())
}

// isPaused reports whether the engine takes no requests because of a pause that it asked for.
func (e *Executor) isPaused(b deck.BackendServer) bool {
	return !e.cfg.Restraints.PausedUntil(e.cfg.Clock.Now(), b.Name, "").IsZero()
}

func (e *Executor) requestReport(ctx context.Context, b deck.BackendServer, requestedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := deck.EngineReport{}, errPaused
	if !e.isPaused(b) {
		r, err = e.cfg.Engine(b).Report(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.controller.RecordReportFailure(b.Name)
		return
	}
	if l, ok := e.cfg.Lease.Held(); ok && r.FencingToken > l.FencingToken && e.cfg.ObserveToken != nil {
		e.cfg.ObserveToken(r.FencingToken)
	}
	e.controller.RecordReport(b.Name, r, requestedAt)
}

func (e *Executor) publish() {
	e.mu.Lock()
	t, ok := e.controller.Residency()
	changed := ok && t.Version() != e.residency.Version()
	if changed {
		e.residency = t
	}
	e.mu.Unlock()
	if changed && e.cfg.Publish != nil {
		e.cfg.Publish(t)
	}
}

// Residency returns the last published residency table.
func (e *Executor) Residency() deck.ResidencyTable {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.residency
}

// Replicas implements deck.Residency.Replicas.
func (e *Executor) Replicas(m deck.ModelName) []deck.ModelReplica {
	return e.Residency().Replicas(m)
}

// HasAdapter implements deck.Residency.HasAdapter.
func (e *Executor) HasAdapter(b deck.BackendName, a deck.AdapterName) bool {
	return e.Residency().HasAdapter(b, a)
}

// Status returns the status of the data centre's placement.
func (e *Executor) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.controller.Status()
}
