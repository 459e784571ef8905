package watch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
)

const (
	// PollEvery is the interval between two polls of one engine; shorter ones would exceed the control bytes.
	PollEvery = 2 * time.Second
	// pollTimeout ends a poll before the engine's next one is due.
	pollTimeout = 1500 * time.Millisecond
)

// A Sink takes what the engines publish.
type Sink interface {
	// ObserveCacheEvents records prefix-cache events of an engine.
	ObserveCacheEvents(b deck.BackendName, ev deck.CacheEvents)

	// ObserveReport records a report that was requested at the given time.
	ObserveReport(r deck.EngineReport, requested time.Time)

	// Used returns the models that this VM serves.
	Used() []deck.ModelName
}

var _ Sink = (*router.Core)(nil)

// A Config names what a Watcher polls and tells.
type Config struct {
	VM        deck.VMName
	Clock     deck.Clock
	State     deck.StateSource
	Residency deck.Residency
	Client    func(deck.BackendServer) deck.Engine
	Sink      Sink
}

// A Watcher polls a subset of the engines, staggered over the interval.
type Watcher struct {
	cfg  Config
	mu   sync.Mutex
	busy map[deck.BackendName]bool
	seen map[deck.BackendName]uint64 // sequence number of the last cache event
	boot map[deck.BackendName]string
}

// New returns a Watcher that polls nothing until it is started.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:  cfg,
		busy: make(map[deck.BackendName]bool),
		seen: make(map[deck.BackendName]uint64),
		boot: make(map[deck.BackendName]string),
	}
}

// Start polls in the group until the context ends, and closes the done channel when no poll is left.
func (w *Watcher) Start(ctx context.Context, g *errgroup.Group) (done <-chan struct{}) {
	ended := make(chan struct{})
	g.Go(func() error {
		defer close(ended)
		w.run(ctx)
		return nil
	})
	return ended
}

func (w *Watcher) run(ctx context.Context) {
	var polls errgroup.Group
	defer func() { _ = polls.Wait() }()
	for ctx.Err() == nil {
		subset := w.subset()
		pause := PollEvery / time.Duration(max(1, len(subset)))
		for _, b := range subset {
			if w.begin(b.Name) {
				polls.Go(func() error {
					defer w.end(b.Name)
					w.poll(ctx, b)
					return nil
				})
			}
			if !deck.Sleep(ctx, pause) {
				return
			}
		}
		if len(subset) == 0 && !deck.Sleep(ctx, PollEvery) {
			return
		}
	}
}

// subset returns the engines to poll in the next interval.
func (w *Watcher) subset() []deck.BackendServer {
	st := w.cfg.State.State()
	var engines []deck.BackendName
	for _, b := range st.BackendServers() {
		if b.Kind == deck.EngineBackend {
			engines = append(engines, b.Name)
		}
	}
	var models [][]deck.BackendName
	for _, m := range w.cfg.Sink.Used() {
		var replicas []deck.BackendName
		for _, r := range w.cfg.Residency.Replicas(m) {
			replicas = append(replicas, r.Backend)
		}
		models = append(models, replicas)
	}
	var out []deck.BackendServer
	for _, name := range choose.Subset(w.cfg.VM, engines, models) {
		if b, ok := st.BackendServer(name); ok {
			out = append(out, b)
		}
	}
	return out
}

// poll takes one report and the cache events since the last poll; a failed call is made up for by the next one.
func (w *Watcher) poll(ctx context.Context, b deck.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e := w.cfg.Client(b)
	requested := w.cfg.Clock.Now()
	r, err := e.Report(ctx)
	if err != nil {
		return
	}
	r.Backend = b.Name
	w.cfg.Sink.ObserveReport(r, requested)
	ev, err := e.CacheEvents(ctx, w.after(b.Name, r.BootID))
	if err != nil {
		return
	}
	w.cfg.Sink.ObserveCacheEvents(b.Name, ev)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[b.Name] = ev.Last
}

// after returns the sequence number to continue after; a restarted engine counts anew.
func (w *Watcher) after(b deck.BackendName, boot string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot[b] != boot {
		w.boot[b] = boot
		w.seen[b] = 0
	}
	return w.seen[b]
}

// begin returns false while an earlier poll of the engine is still running.
func (w *Watcher) begin(b deck.BackendName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[b] {
		return false
	}
	w.busy[b] = true
	return true
}

func (w *Watcher) end(b deck.BackendName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, b)
}
