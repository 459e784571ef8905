package attempt

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A run moves the bytes of one request. Its loop is the only user of life, handles and sink.
type execution struct {
	runner *Runner
	req    Request
	adm    deck.Admission
	sink   Sink
	ctx    context.Context
	events chan taskEvent
	group  errgroup.Group

	chooseMu sync.Mutex // an admission gets one Choose at a time

	lifecycle         Lifecycle
	handles           map[int]*handle
	servers           map[deck.BackendName]deck.BackendServer // those of earlier attempts
	version           *deck.VersionName                       // set with the first token
	preempted         <-chan struct{}
	handledPreemption <-chan struct{} // closed earlier and already acted upon
	hedgeTimer        *time.Timer
	crashReports      []chan struct{} // each is closed when a crash report is done
	sinkFailed        bool            // the sink failed
	result            *Result
}

// A message is an event of an attempt, with what the loop needs besides the decision.
type taskEvent struct {
	Event
	task   *task              // for EventStart
	server deck.BackendServer // for EventStart
	engine deck.Engine        // for EventStart
	permit *Permit            // for EventStart

	version deck.VersionName // for EventStart
}

// A handle is what the loop holds of an attempt.
type handle struct {
	cancel  context.CancelFunc
	id      deck.RequestID
	version deck.VersionName
	engine  deck.Engine
	permit  *Permit
}

// loop feeds events to the life and carries out its actions until the request is over.
func (x *execution) loop() Result {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	defer x.stopHedgeTimer()
	x.step(Event{Kind: EventAdmitted})
	for x.result == nil {
		x.armHedgeTimer()
		select {
		case <-x.ctx.Done():
			x.step(Event{Kind: EventDisconnected})
		case m := <-x.events:
			if m.Kind == EventToken {
				heartbeat.Reset(heartbeatInterval)
			}
			x.recordStart(m)
			x.step(m.Event)
		case <-x.hedgeTimerC():
			x.step(Event{Kind: EventHedgeDue})
		case <-x.preempted:
			x.handledPreemption, x.preempted = x.preempted, nil
			x.step(Event{Kind: EventPreempted})
		case <-heartbeat.C:
			heartbeat.Reset(heartbeatInterval)
			x.heartbeat()
		}
	}
	return *x.result
}

func (x *execution) step(e Event) {
	e.At = x.runner.Clock.Now()
	for _, a := range x.lifecycle.Step(e) {
		x.perform(a)
	}
	if x.sinkFailed && x.result == nil {
		x.step(Event{Kind: EventDisconnected})
	}
}

// note keeps what belongs to an attempt that starts.
func (x *execution) recordStart(m taskEvent) {
	if m.Kind != EventSending {
		return
	}
	h := x.handles[m.Attempt]
	if h == nil {
		m.task.reportUnused(m.server)
		return
	}
	h.engine, h.permit, h.version = m.engine, m.permit, m.version
	x.servers[m.server.Name] = m.server
	if c := x.adm.Preempted(); c != x.handledPreemption {
		x.preempted = c
	}
}

func (x *execution) perform(a Action) {
	switch a.Kind {
	case ActStart:
		x.startTask(a)
	case ActDeliver:
		x.deliver(a)
	case ActCancel:
		x.endAttempt(a.Attempt, true)
	case ActRelease:
		x.endAttempt(a.Attempt, false)
	case ActObserve:
		x.observe(a)
	case ActReportCrash:
		x.reportCrash(a)
	case ActFinish:
		x.finish(a.Result)
	}
}

func (x *execution) startTask(a Action) {
	ctx, cancel := context.WithCancel(x.ctx)
	h := &handle{cancel: cancel, id: x.runner.newRequestID()}
	x.handles[a.Attempt] = h
	t := &task{
		execution:       x,
		ctx:             ctx,
		number:          a.Attempt,
		spec:            a.Spec,
		reconnectServer: x.servers[a.Spec.Reconnect],
		id:              h.id,
		version:         x.version,
	}
	x.group.Go(func() error {
		defer cancel()
		t.run()
		return nil
	})
}

func (x *execution) deliver(a Action) {
	if x.version == nil {
		x.version = &x.handles[a.Attempt].version
	}
	x.sinkFailed = x.sinkFailed || x.sink.Token(a.Token) != nil
}

func (x *execution) heartbeat() {
	if err := x.sink.Heartbeat(); err != nil {
		x.step(Event{Kind: EventDisconnected})
	}
}

// end stops an attempt; atEngine tells the engine too.
func (x *execution) endAttempt(attempt int, cancelAtEngine bool) {
	h := x.handles[attempt]
	if h == nil {
		return
	}
	delete(x.handles, attempt)
	h.cancel()
	if h.permit != nil {
		h.permit.Release()
	}
	if !cancelAtEngine || h.engine == nil {
		return
	}
	engine, id := h.engine, h.id
	x.runner.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id) // the engine also notices the closed connection
	})
}

func (x *execution) observe(a Action) {
	x.adm.Observe(deck.Observation{
		Kind:    a.Observe,
		Backend: a.Backend,
		At:      x.runner.Clock.Now(),
		Tokens:  a.Tokens,
	})
}

// crash counts the crash here before the next attempt starts, and reports it to the other VMs.
func (x *execution) reportCrash(a Action) {
	h := x.handles[a.Attempt]
	if h == nil || h.permit == nil || !h.permit.RecordCrash(a.BootID) {
		return
	}
	alone := h.permit.Alone()
	reported := make(chan struct{})
	x.crashReports = append(x.crashReports, reported)
	x.runner.runInBackground(func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), crashReportTimeout)
		defer cancel()
		_ = x.runner.Poison.ReportCrash(ctx, x.req.Info.Digest, a.Backend, a.BootID, alone) // the local count stands
	})
}

// awaitReports gives the crash reports time to be committed before the caller hears of the failure and sends the request
// again to another VM.
func (x *execution) awaitCrashReports() {
	t := time.NewTimer(crashReportWait)
	defer t.Stop()
	for _, c := range x.crashReports {
		select {
		case <-c:
		case <-t.C:
			return
		}
	}
}

func (x *execution) finish(r Result) {
	if r.Kind == Done {
		x.runner.Suspects.Clear(x.req.Info.Digest)
	}
	if r.Kind == Done && x.sinkFailed {
		r.Kind = Gone
	}
	x.result = &r
}

// choose asks the router for a backend server.
func (x *execution) chooseServer(ctx context.Context, avoid []deck.BackendName) (deck.BackendServer, *deck.Refusal) {
	x.chooseMu.Lock()
	defer x.chooseMu.Unlock()
	return x.adm.Choose(ctx, avoid)
}

func (x *execution) armHedgeTimer() {
	if x.hedgeTimer != nil || x.req.Info.Class != deck.Interactive || !x.lifecycle.CanHedge() {
		return
	}
	d := x.runner.HedgeAfter
	if d == 0 {
		d = defaultHedgeAfter
	}
	x.hedgeTimer = time.NewTimer(d)
}

func (x *execution) hedgeTimerC() <-chan time.Time {
	if x.hedgeTimer == nil {
		return nil
	}
	return x.hedgeTimer.C
}

func (x *execution) stopHedgeTimer() {
	if x.hedgeTimer != nil {
		x.hedgeTimer.Stop()
	}
}
