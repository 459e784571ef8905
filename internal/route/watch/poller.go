package watch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
)

const (
	// PollInterval is the interval between two polls of one engine; a shorter one would exceed the limit on control traffic.
	PollInterval = 2 * time.Second
	// pollTimeout is shorter than PollInterval, so that a poll ends before the engine's next one is due.
	pollTimeout = 1500 * time.Millisecond
)

// A Sink receives the reports and cache events of the engines.
type Sink interface {
	// ObserveCacheEvents records prefix-cache events of an engine.
	ObserveCacheEvents(b deck.BackendName, ev deck.CacheEvents)

	// ObserveReport records an engine's report that was requested at the given time.
	ObserveReport(r deck.EngineReport, requested time.Time)

	// RecentModels returns the models that callers recently requested from this VM.
	RecentModels() []deck.ModelName
}

var _ Sink = (*router.Core)(nil)

// A Config holds the dependencies of a Poller.
type Config struct {
	VM        deck.VMName
	Clock     deck.Clock
	State     deck.StateSource
	Residency deck.Residency
	Client    func(deck.BackendServer) deck.Engine
	Sink      Sink

	Restraints *restraint.Table // what engines say about the requests that they take; nil for an empty one
}

// A Poller polls a subset of the engines, with the polls spread evenly over the interval.
type Poller struct {
	cfg       Config
	mu        sync.Mutex
	polling   map[deck.BackendName]bool
	lastEvent map[deck.BackendName]uint64 // sequence number of the last cache event
	bootID    map[deck.BackendName]string
}

// New returns a Poller that does not poll until it is started.
func New(cfg Config) *Poller {
	if cfg.Restraints == nil {
		cfg.Restraints = &restraint.Table{}
	}
	return &Poller{
		cfg:       cfg,
		polling:   make(map[deck.BackendName]bool),
		lastEvent: make(map[deck.BackendName]uint64),
		bootID:    make(map[deck.BackendName]string),
	}
}

// Start polls in a goroutine of the group until the context ends, and closes done when all polls have finished.
func (p *Poller) Start(ctx context.Context, g *errgroup.Group) (done <-chan struct{}) {
	ended := make(chan struct{})
	g.Go(func() error {
		defer close(ended)
		p.run(ctx)
		return nil
	})
	return ended
}

func (p *Poller) run(ctx context.Context) {
	var polls errgroup.Group
	defer func() { _ = polls.Wait() }()
	for ctx.Err() == nil {
		subset := p.subset()
		pause := PollInterval / time.Duration(max(1, len(subset)))
		for _, b := range subset {
			if p.beginPoll(b.Name) {
				polls.Go(func() error {
					defer p.endPoll(b.Name)
					p.poll(ctx, b)
					return nil
				})
			}
			if !deck.Sleep(ctx, pause) {
				return
			}
		}
		if len(subset) == 0 && !deck.Sleep(ctx, PollInterval) {
			return
		}
	}
}

// subset returns the engines to poll in the next interval.
func (p *Poller) subset() []deck.BackendServer {
	st := p.cfg.State.State()
	var engines []deck.BackendName
	for _, b := range st.BackendServers() {
		if b.Kind == deck.EngineBackend {
			engines = append(engines, b.Name)
		}
	}
	var models [][]deck.BackendName
	for _, m := range p.cfg.Sink.RecentModels() {
		var replicas []deck.BackendName
		for _, r := range p.cfg.Residency.Replicas(m) {
			replicas = append(replicas, r.Backend)
		}
		models = append(models, replicas)
	}
	var out []deck.BackendServer
	for _, name := range choose.Subset(p.cfg.VM, engines, models) {
		if b, ok := st.BackendServer(name); ok {
			out = append(out, b)
		}
	}
	return out
}

// poll fetches a report and the cache events since the last poll, unless the engine has asked for a pause. Errors are ignored, since
// the next poll fetches what this one missed.
func (p *Poller) poll(ctx context.Context, b deck.BackendServer) {
	if !p.cfg.Restraints.PausedUntil(p.cfg.Clock.Now(), b.Name, "").IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e := p.cfg.Client(b)
	requested := p.cfg.Clock.Now()
	r, err := e.Report(ctx)
	if err != nil {
		return
	}
	r.Backend = b.Name
	p.cfg.Sink.ObserveReport(r, requested)
	ev, err := e.CacheEvents(ctx, p.resumeAfter(b.Name, r.BootID))
	if err != nil {
		return
	}
	p.cfg.Sink.ObserveCacheEvents(b.Name, ev)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent[b.Name] = ev.LastSequence
}

// resumeAfter returns the sequence number of the last cache event received; a restarted engine numbers its events from the
// start again.
func (p *Poller) resumeAfter(b deck.BackendName, bootID string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bootID[b] != bootID {
		p.bootID[b] = bootID
		p.lastEvent[b] = 0
	}
	return p.lastEvent[b]
}

// beginPoll returns false while an earlier poll of the engine is still running.
func (p *Poller) beginPoll(b deck.BackendName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling[b] {
		return false
	}
	p.polling[b] = true
	return true
}

func (p *Poller) endPoll(b deck.BackendName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, b)
}
