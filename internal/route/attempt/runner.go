package attempt

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
)

// Intervals and timeouts of a running request.
const (
	defaultHedgeAfter  = 600 * time.Millisecond // leaves the second engine 0.4 s of the 1 s allowed for a first token
	heartbeatInterval  = 5 * time.Second
	cancelTimeout      = 5 * time.Second
	crashReportTimeout = 10 * time.Second
	crashReportWait    = 2 * time.Second
)

// maxBackgroundCalls limits the cancellations and crash reports in flight.
const maxBackgroundCalls = 256

// A Runner runs requests on backend servers and retries their failed attempts.
type Runner struct {
	Router     deck.Router
	Engine     func(deck.BackendServer) deck.Engine
	Poison     deck.PoisonStore
	Clock      deck.Clock
	Budget     *Budget
	Suspects   *Suspects
	Parts      *PromptParts
	Restraints *restraint.Table // what backend servers say about the requests that they take
	VM         deck.VMName
	HedgeAfter time.Duration // wait for the first token before a hedge starts; 0 for the default
	Log        logr.Logger

	background      errgroup.Group
	backgroundSlots chan struct{}
}

// A Request is an inference request of a caller.
type Request struct {
	Info    deck.RequestInfo
	Version func(deck.BackendName) deck.VersionName // model version for a new answer on the backend server
	Path    string
	Body    []byte // sent to the engine
}

// A Sink receives an answer; its methods are called from one goroutine.
type Sink interface {
	// Heartbeat tells the caller that the request is still running.
	Heartbeat() error

	// Token delivers a token to the caller; each offset comes once and in order.
	Token(t deck.Token) error
}

// NewRunner returns a runner with its own retry budget and suspects.
func NewRunner(
	router deck.Router, engine func(deck.BackendServer) deck.Engine, poison deck.PoisonStore, clock deck.Clock, vm deck.VMName,
) *Runner {
	return &Runner{
		Router:          router,
		Engine:          engine,
		Poison:          poison,
		Clock:           clock,
		Budget:          &Budget{Clock: clock},
		Suspects:        &Suspects{Clock: clock},
		Parts:           &PromptParts{Clock: clock},
		Restraints:      &restraint.Table{},
		VM:              vm,
		backgroundSlots: make(chan struct{}, maxBackgroundCalls),
	}
}

// Run admits the request and delivers its answer to the sink. The caller counts as disconnected when ctx ends or the sink
// returns an error.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) Result {
	if r.isPoison(req.Info) {
		return Result{Kind: Refused, Refusal: poisonRefusal(), NotRun: true}
	}
	adm, refusal := r.Router.Admit(ctx, req.Info)
	if refusal != nil && ctx.Err() != nil {
		return Result{Kind: Disconnected, NotRun: true}
	}
	if refusal != nil {
		return Result{Kind: Refused, Refusal: refusal, NotRun: true}
	}
	r.Budget.RecordRequest()
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
	if result.Kind != Completed && result.Kind != Disconnected {
		x.awaitCrashReports()
	}
	return result
}

// Wait returns once the cancellations and crash reports of finished requests are done.
func (r *Runner) Wait() {
	_ = r.background.Wait()
}

// isPoison reports whether the request, or a part of its prompt, crashes backend servers.
func (r *Runner) isPoison(info deck.RequestInfo) bool {
	if r.Poison.IsRefused(info.Digest) || r.Suspects.IsRefused(info.Digest) {
		return true
	}
	for _, part := range info.Parts {
		refused, objects := r.Parts.Judge(part, r.Poison.IsPartRefused(part))
		if objects {
			r.reportSound([]uint64{part})
		}
		if refused {
			return true
		}
	}
	return false
}

// reportSound tells the other VMs that the parts don't crash backend servers.
func (r *Runner) reportSound(parts []uint64) {
	for _, part := range parts {
		r.runInBackground(func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
			defer cancel()
			_ = r.Poison.ReportSound(ctx, part) // repeated as long as the part is refused
		})
	}
}

// runInBackground runs f in a goroutine that may outlive the request; at the limit it runs f in the calling goroutine.
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

// newRequestID returns a request ID that is unique across VMs.
func (r *Runner) newRequestID() deck.RequestID {
	return deck.RequestID(string(r.VM) + "-" + rand.Text())
}

func poisonRefusal() *deck.Refusal {
	return &deck.Refusal{Kind: deck.RefusedPoison, Reason: "this request, or a part of its prompt, has crashed backend servers"}
}
