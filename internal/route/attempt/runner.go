package attempt

import (
	"context"
	"crypto/rand"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times of a running request.
const (
	defaultHedgeAfter  = 600 * time.Millisecond // leaves the second engine 0.4 s of the 1 s allowed for a first token
	heartbeatInterval  = 5 * time.Second
	cancelTimeout      = 5 * time.Second
	crashReportTimeout = 10 * time.Second
	crashReportWait    = 2 * time.Second
)

// maxBackground bounds the cancels and crash reports in flight.
const maxBackgroundCalls = 256

// A Runner carries requests through their attempts.
type Runner struct {
	Router     deck.Router
	Engine     func(deck.BackendServer) deck.Engine
	Poison     deck.PoisonStore
	Clock      deck.Clock
	Budget     *Budget
	Suspects   *Suspects
	VM         deck.VMName
	HedgeAfter time.Duration // wait for the first token before a hedge; 0 for the default

	background      errgroup.Group
	backgroundSlots chan struct{}
}

// A Request is an inference request of a caller.
type Request struct {
	Info    deck.RequestInfo
	Version func(deck.BackendName) deck.VersionName // version that serves a new answer there
	Path    string
	Body    []byte // sent to the engine
}

// A Sink takes an answer; its methods are called from one goroutine.
type Sink interface {
	// Heartbeat tells the caller that the request is still running.
	Heartbeat() error

	// Token passes a token on; each offset comes once and in order.
	Token(t deck.Token) error
}

// NewRunner returns a runner with its own budget and suspects.
func NewRunner(router deck.Router, engine func(deck.BackendServer) deck.Engine, poison deck.PoisonStore, clock deck.Clock, vm deck.VMName) *Runner {
	return &Runner{
		Router:          router,
		Engine:          engine,
		Poison:          poison,
		Clock:           clock,
		Budget:          &Budget{Clock: clock},
		Suspects:        &Suspects{Clock: clock},
		VM:              vm,
		backgroundSlots: make(chan struct{}, maxBackgroundCalls),
	}
}

// Run admits the request and passes its answer to the sink. The caller is gone when ctx ends or the sink fails.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) Result {
	if r.isPoison(req.Info.Digest) {
		return Result{Kind: Refused, Refusal: poisonRefusal(), NotRun: true}
	}
	adm, refusal := r.Router.Admit(ctx, req.Info)
	if refusal != nil && ctx.Err() != nil {
		return Result{Kind: Gone, NotRun: true}
	}
	if refusal != nil {
		return Result{Kind: Refused, Refusal: refusal, NotRun: true}
	}
	r.Budget.Request()
	ctx, cancel := context.WithCancel(ctx)
	x := &execution{
		runner:  r,
		req:     req,
		adm:     adm,
		sink:    sink,
		ctx:     ctx,
		events:  make(chan taskEvent),
		handles: make(map[int]*handle),
		servers: make(map[deck.BackendName]deck.BackendServer),
	}
	result := x.loop()
	cancel()
	_ = x.group.Wait()
	adm.Release()
	if result.Kind != Done && result.Kind != Gone {
		x.awaitCrashReports()
	}
	return result
}

// Wait returns once the cancels and crash reports of ended requests are done.
func (r *Runner) Wait() {
	_ = r.background.Wait()
}

// refused reports whether the digest is that of a poison request.
func (r *Runner) isPoison(digest string) bool {
	return r.Poison.Refused(digest) || r.Suspects.Refused(digest)
}

// inBackground runs f after the request that it belongs to; at the limit it runs at once.
func (r *Runner) runInBackground(f func()) {
	select {
	case r.backgroundSlots <- struct{}{}:
	default:
		f()
		return
	}
	r.background.Go(func() error {
		defer func() { <-r.backgroundSlots }()
		f()
		return nil
	})
}

// newID returns a request ID that no other VM uses.
func (r *Runner) newRequestID() deck.RequestID {
	return deck.RequestID(string(r.VM) + "-" + rand.Text())
}

func poisonRefusal() *deck.Refusal {
	return &deck.Refusal{Kind: deck.RefusedPoison, Reason: "this request has crashed backend servers"}
}
