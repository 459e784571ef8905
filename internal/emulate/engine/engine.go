package engine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// A Config describes the emulated engine; zero durations and sizes are replaced by defaults.
type Config struct {
	Backend       deck.BackendName
	MemoryBytes   deck.Bytes
	ChecksFencing bool
	MaxBatch      int           // requests generated at once
	PrefillTime   time.Duration // before the first token
	TokenInterval time.Duration // between tokens at a batch of one
	LoadTime      time.Duration // of a model without a weight store
	WeightStore   string        // base URL; empty loads in LoadTime
}

// Defaults of a Config.
const (
	defaultMaxBatch      = 32
	defaultPrefillTime   = 20 * time.Millisecond
	defaultTokenInterval = 10 * time.Millisecond
	defaultLoadTime      = 200 * time.Millisecond
	adapterLoadTime      = 5 * time.Millisecond
)

// batchSlowdown is the share by which each further request in the batch stretches a step.
const batchSlowdown = 0.02

// An Engine is an emulated model engine.
type Engine struct {
	cfg    Config
	client *http.Client
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu            sync.Mutex
	bootID        string
	processCtx    context.Context // ends when the emulated process crashes
	cancelProcess context.CancelFunc
	faults        Faults
	state         state
	batch         batch
	events        eventLog
	reports       []timedReport
	kv            map[deck.RequestID][]byte
	overcommits   int // overcommits seen since the start
	accepted      int // generations accepted since the start
	crashes       int // crashes since the start
}

// New returns a running emulated engine; Close ends it.
func New(cfg Config) *Engine {
	setDefault(&cfg.MaxBatch, defaultMaxBatch)
	setDefault(&cfg.PrefillTime, defaultPrefillTime)
	setDefault(&cfg.TokenInterval, defaultTokenInterval)
	setDefault(&cfg.LoadTime, defaultLoadTime)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg: cfg, client: &http.Client{}, group: &errgroup.Group{}, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		kv: make(map[deck.RequestID][]byte),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startProcess()
	return e
}

// Close ends the engine and waits for its background work.
func (e *Engine) Close() {
	e.cancel()
	e.mu.Lock()
	e.cancelProcess()
	e.mu.Unlock()
	_ = e.group.Wait()
	close(e.done)
}

// Crash drops all connections and memory and starts again empty under a new boot ID.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash ends the emulated process and starts the next one; the caller holds the lock.
func (e *Engine) crash() {
	e.crashes++
	e.cancelProcess()
	e.startProcess()
}

// Done returns a channel that is closed after Close.
func (e *Engine) Done() <-chan struct{} {
	return e.done
}

// Handler returns the engine protocol and the fault switches under /emulate/.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathChatCompletions, e.generate)
	mux.HandleFunc("POST "+wire.PathCompletions, e.generate)
	mux.HandleFunc("POST "+wire.PathCancel, e.cancelRequest)
	mux.HandleFunc("POST "+wire.PathOperations, e.startOperation)
	mux.HandleFunc("GET "+wire.PathReport, e.report)
	mux.HandleFunc("GET "+wire.PathCacheEvents, e.cacheEvents)
	mux.HandleFunc("GET "+wire.KVPrefix+"{id}", e.exportKV)
	mux.HandleFunc("POST "+wire.KVPrefix+"{id}", e.importKV)
	mux.HandleFunc("POST /emulate/faults", e.setFaults)
	mux.HandleFunc("GET /emulate/status", e.status)
	return mux
}

// Overcommits returns how often the memory in use exceeded the engine's memory.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

// startProcess begins a new life of the emulated process; the caller holds the lock.
func (e *Engine) startProcess() {
	e.bootID = rand.Text()
	e.processCtx, e.cancelProcess = context.WithCancel(e.ctx)
	e.state = newState()
	e.batch = batch{requests: make(map[deck.RequestID]*request)}
	e.events = eventLog{cached: make(map[uint64]bool)}
	e.reports = nil
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, statusWire{
		Overcommits: e.overcommits, UsedBytes: int64(e.state.usedBytes()), MemoryBytes: int64(e.cfg.MemoryBytes), BootID: e.bootID,
		Accepted: e.accepted, Crashes: e.crashes,
	})
}

type statusWire struct {
	Overcommits int    `json:"overcommits"`
	UsedBytes   int64  `json:"used-bytes"`
	MemoryBytes int64  `json:"memory-bytes"`
	BootID      string `json:"boot-id"`
	Accepted    int    `json:"accepted-requests"`
	Crashes     int    `json:"crashes"`
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
