package attempt

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An execution runs one request: it starts attempts, forwards their events to the lifecycle and tokens to the sink. Only its
// loop uses lifecycle, handles and sink.
type execution struct {
	runner *Runner
	req    Request
	adm    deck.Admission
	sink   Sink
	ctx    context.Context
	events chan taskEvent
	group  errgroup.Group

	chooseMu sync.Mutex // serialises calls of Admission.Choose

	lifecycle         Lifecycle
	handles           map[int]*handle
	servers           map[deck.BackendName]deck.BackendServer // backend servers of earlier attempts
	version           *deck.VersionName                       // set with the first token
	began             deck.RequestID                          // of the attempt that brought the first token
	preempted         <-chan struct{}
	handledPreemption <-chan struct{} // preemption channel that was already handled
	hedgeTimer        *time.Timer
	crashReports      []chan struct{} // each is closed when its crash report is done
	provenSound       bool            // a server has written for so long that the prompt does not crash it
	sinkFailed        bool            // the sink returned an error
	result            *Result
}

// taskEvent is an event of an attempt with the values that the loop needs to handle it.
type taskEvent struct {
	Event
	task   *task              // for EventSending
	server deck.BackendServer // for EventSending
	engine deck.Engine        // for EventSending
	permit *Permit            // for EventSending

	version deck.VersionName // for EventSending
}

// handle holds the resources of an active attempt.
type handle struct {
	cancel  context.CancelFunc
	id      deck.RequestID
	version deck.VersionName
	backend deck.BackendName
	engine  deck.Engine
	permit  *Permit

	firstToken time.Time // when the attempt's first token came; zero if none did
}

// loop passes events to the lifecycle and performs its actions until the request ends.
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
		case e := <-x.events:
			if e.Kind == EventToken {
				heartbeat.Reset(heartbeatInterval)
				x.recordToken(e.Attempt)
			}
			x.recordStart(e)
			x.logResumption(e)
			x.step(e.Event)
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

// recordStart stores the engine, permit and version of an attempt that is about to be sent.
func (x *execution) recordStart(e taskEvent) {
	if e.Kind != EventSending {
		return
	}
	h := x.handles[e.Attempt]
	if h == nil {
		e.task.reportUnused(e.server)
		return
	}
	h.engine, h.permit, h.version, h.backend = e.engine, e.permit, e.version, e.server.Name
	x.servers[e.server.Name] = e.server
	if c := x.adm.Preempted(); c != x.handledPreemption {
		x.preempted = c
	}
}

// logResumption logs whether an accepted attempt continues the answer at the engine's software version.
func (x *execution) logResumption(e taskEvent) {
	h, software := x.handles[e.Attempt], x.lifecycle.software
	if e.Kind != EventAccepted || h == nil || software == nil {
		return
	}
	message := "answer goes on"
	if *software != e.Software {
		message = "attempt refused: the engine's software version did not begin the answer"
	}
	x.runner.Log.Info(message, "request", h.id, "began-as", x.began, "backend", h.backend, "boot-id", e.BootID,
		"software-version", e.Software, "began-at-software-version", *software, "tokens", x.lifecycle.Offset())
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
		x.version, x.began = &x.handles[a.Attempt].version, x.handles[a.Attempt].id
	}
	x.sinkFailed = x.sinkFailed || x.sink.Token(a.Token) != nil
}

// recordToken notes that an attempt receives tokens; a server that goes on for long proves the prompt.
func (x *execution) recordToken(attempt int) {
	h := x.handles[attempt]
	if h == nil {
		return
	}
	if h.firstToken.IsZero() {
		h.firstToken = x.runner.Clock.Now()
	}
	if !x.provenSound && x.isWritingLong(h) {
		x.recordSound()
	}
}

func (x *execution) recordSound() {
	x.provenSound = true
	x.runner.reportSound(x.runner.Parts.RecordSound(x.req.Info.Parts))
}

// isWritingLong reports whether the server of an attempt has written for so long that the prompt doesn't crash it.
func (x *execution) isWritingLong(h *handle) bool {
	return !h.firstToken.IsZero() && x.runner.Clock.Now().Sub(h.firstToken) > blame.SuspiciousWriting
}

func (x *execution) heartbeat() {
	if err := x.sink.Heartbeat(); err != nil {
		x.step(Event{Kind: EventDisconnected})
	}
}

// endAttempt ends an attempt on this VM; cancelAtEngine also cancels it at the engine.
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
		_ = engine.Cancel(ctx, id) // best effort: the engine also detects the closed connection
	})
}

func (x *execution) observe(a Action) {
	x.adm.Observe(deck.Observation{
		Kind:    a.Observe,
		Backend: a.Backend,
		At:      x.runner.Clock.Now(),
		Tokens:  a.Tokens,

		Software: a.Software,
	})
}

// reportCrash counts the crash on this VM before the next attempt starts, and reports it to the other VMs.
func (x *execution) reportCrash(a Action) {
	h := x.handles[a.Attempt]
	if h == nil || h.permit == nil || !h.permit.RecordCrash(a.BootID) {
		return
	}
	r := deck.CrashReport{Digest: x.req.Info.Digest, Backend: a.Backend, BootID: a.BootID, Alone: h.permit.Isolated()}
	if !x.isWritingLong(h) {
		r.Parts = x.runner.Parts.RecordCrash(x.req.Info, a.Backend, a.BootID)
	}
	reported := make(chan struct{})
	x.crashReports = append(x.crashReports, reported)
	x.runner.runInBackground(func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), crashReportTimeout)
		defer cancel()
		_ = x.runner.Poison.ReportCrash(ctx, r) // counts here even on error
	})
}

// awaitCrashReports waits up to crashReportWait until the crash reports are committed. Otherwise the caller could retry a
// poison request on another VM that does not know of the crash yet.
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
	if r.Kind == Completed {
		x.runner.Suspects.Clear(x.req.Info.Digest)
		x.recordSound()
	}
	if r.Kind == Completed && x.sinkFailed {
		r.Kind = Disconnected
	}
	if r.Kind == Failed && r.Tokens > 0 {
		x.runner.Log.Info("answer broken off", "began-as", x.began, "began-at-software-version", *x.lifecycle.software, "tokens", r.Tokens,
			"attempts", r.Attempts, "at-other-software", r.OtherSoftware, "reason", r.Reason)
	}
	x.result = &r
}

// chooseServer returns the router's choice of a backend server for the next attempt.
func (x *execution) chooseServer(
	ctx context.Context, avoid []deck.BackendName, software *deck.SoftwareVersion,
) (deck.BackendServer, *deck.Refusal) {
	x.chooseMu.Lock()
	defer x.chooseMu.Unlock()
	return x.adm.Choose(ctx, avoid, software)
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
