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

// Config describes the emulated engine; zero values of MaxBatch and of the durations are replaced by defaults.
type Config struct {
	Backend       deck.BackendName
	MemoryBytes   deck.Bytes
	ChecksFencing bool          // refuse operations with a stale fencing token
	MaxBatch      int           // largest number of requests in the batch
	PrefillTime   time.Duration // time before the first token without a cached prompt
	TokenInterval time.Duration // time between tokens at a batch of one
	LoadTime      time.Duration // time to load a model without a weight store
	WeightStore   string        // base URL; if empty, models load in LoadTime
	Software      deck.SoftwareVersion
}

// Defaults of a Config.
const (
	defaultMaxBatch      = 32
	defaultPrefillTime   = 20 * time.Millisecond
	defaultTokenInterval = 10 * time.Millisecond
	defaultLoadTime      = 200 * time.Millisecond
	adapterLoadTime      = 5 * time.Millisecond
)

// batchSlowdown is the relative increase of the time per token for each further request in the batch.
const batchSlowdown = 0.02

// Engine is an emulated model engine.
type Engine struct {
	cfg    Config
	client *http.Client
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu            sync.Mutex
	bootID        string
	software      deck.SoftwareVersion
	processCtx    context.Context // ends when the emulated process crashes or the engine closes
	cancelProcess context.CancelFunc
	faults        Faults
	state         state
	batch         batch
	events        eventLog
	reports       []timedReport
	kv            map[deck.RequestID][]byte
	overcommits   int // operations that left more memory in use than the engine has, across crashes
	accepted      int // generation requests accepted, across crashes
	refused       int // generation requests refused with a pause, across crashes
	crashes       int // number of crashes
}

// New returns a running emulated engine; the caller must call Close.
func New(cfg Config) *Engine {
	setDefault(&cfg.MaxBatch, defaultMaxBatch)
	setDefault(&cfg.PrefillTime, defaultPrefillTime)
	setDefault(&cfg.TokenInterval, defaultTokenInterval)
	setDefault(&cfg.LoadTime, defaultLoadTime)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg: cfg, software: cfg.Software, client: &http.Client{}, group: &errgroup.Group{}, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		kv: make(map[deck.RequestID][]byte),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startProcess()
	return e
}

// Close stops the engine and waits for its background work.
func (e *Engine) Close() {
	e.cancel()
	e.mu.Lock()
	e.cancelProcess()
	e.mu.Unlock()
	_ = e.group.Wait()
	close(e.done)
}

// Crash aborts all streams, drops all memory and restarts the engine empty with a new boot ID.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash ends the emulated process and starts a new one; the caller holds e.mu.
func (e *Engine) crash() {
	e.crashes++
	e.cancelProcess()
	e.startProcess()
}

// Done returns a channel that is closed after Close.
func (e *Engine) Done() <-chan struct{} {
	return e.done
}

// Handler returns a handler for the engine protocol and, under /emulate/, for the faults and the status.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathChatCompletions, e.generate)
	mux.HandleFunc("POST "+wire.PathCompletions, e.generate)
	mux.HandleFunc("POST "+wire.PathCancel, e.cancelRequest)
	mux.HandleFunc("POST "+wire.PathOperations, e.startOperation)
	mux.HandleFunc("GET "+wire.PathReport, e.report)
	mux.HandleFunc("GET "+wire.PathCacheEvents, e.cacheEvents)
	mux.HandleFunc("GET "+wire.PathKVPrefix+"{id}", e.exportKV)
	mux.HandleFunc("POST "+wire.PathKVPrefix+"{id}", e.importKV)
	mux.HandleFunc("POST /emulate/faults", e.setFaults)
	mux.HandleFunc("GET /emulate/status", e.status)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		mux.ServeHTTP(w, r)
	})
}

// Overcommits returns the number of operations that left more memory in use than the engine has.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

// startProcess starts a new emulated process with empty state; the caller holds e.mu.
func (e *Engine) startProcess() {
	e.bootID = rand.Text()
	if e.faults.Software != "" {
		e.software = e.faults.Software
	}
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
		Accepted: e.accepted, Refused: e.refused, Crashes: e.crashes, Software: string(e.software),
	})
}

type statusWire struct {
	Overcommits int    `json:"overcommits"`
	UsedBytes   int64  `json:"used-bytes"`
	MemoryBytes int64  `json:"memory-bytes"`
	BootID      string `json:"boot-id"`
	Accepted    int    `json:"accepted-requests"`
	Refused     int    `json:"refused-requests"`
	Crashes     int    `json:"crashes"`
	Software    string `json:"software-version"`
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
