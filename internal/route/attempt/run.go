package attempt

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A run moves the bytes of one request. Its loop is the only user of life, handles and sink.
type run struct {
	runner *Runner
	req    Request
	adm    deck.Admission
	sink   Sink
	ctx    context.Context
	events chan message
	group  errgroup.Group

	choosing sync.Mutex // an admission gets one Choose at a time

	life      Life
	handles   map[int]*handle
	servers   map[deck.BackendName]deck.BackendServer // those of earlier attempts
	version   *deck.VersionName                       // set with the first token
	preempted <-chan struct{}
	ignored   <-chan struct{} // closed earlier and already acted upon
	hedge     *time.Timer
	reports   []chan struct{} // each is closed when a crash report is done
	gone      bool            // the sink failed
	result    *Result
}

// A message is an event of an attempt, with what the loop needs besides the decision.
type message struct {
	Event
	try    *try               // for EventStart
	server deck.BackendServer // for EventStart
	engine deck.Engine        // for EventStart
	place  *Run               // for EventStart

	version deck.VersionName // for EventStart
}

// A handle is what the loop holds of an attempt.
type handle struct {
	cancel  context.CancelFunc
	id      deck.RequestID
	version deck.VersionName
	engine  deck.Engine
	place   *Run
}

// loop feeds events to the life and carries out its actions until the request is over.
func (x *run) loop() Result {
	beat := time.NewTimer(heartbeat)
	defer beat.Stop()
	defer x.stopHedge()
	x.step(Event{Kind: EventBegin})
	for x.result == nil {
		x.armHedge()
		select {
		case <-x.ctx.Done():
			x.step(Event{Kind: EventGone})
		case m := <-x.events:
			if m.Kind == EventToken {
				beat.Reset(heartbeat)
			}
			x.note(m)
			x.step(m.Event)
		case <-x.hedgeDue():
			x.step(Event{Kind: EventHedge})
		case <-x.preempted:
			x.ignored, x.preempted = x.preempted, nil
			x.step(Event{Kind: EventPreempt})
		case <-beat.C:
			beat.Reset(heartbeat)
			x.beat()
		}
	}
	return *x.result
}

func (x *run) step(e Event) {
	e.At = x.runner.Clock.Now()
	for _, a := range x.life.Step(e) {
		x.act(a)
	}
	if x.gone && x.result == nil {
		x.step(Event{Kind: EventGone})
	}
}

// note keeps what belongs to an attempt that starts.
func (x *run) note(m message) {
	if m.Kind != EventStart {
		return
	}
	h := x.handles[m.Attempt]
	if h == nil {
		m.try.unused(m.server)
		return
	}
	h.engine, h.place, h.version = m.engine, m.place, m.version
	x.servers[m.server.Name] = m.server
	if c := x.adm.Preempted(); c != x.ignored {
		x.preempted = c
	}
}

func (x *run) act(a Action) {
	switch a.Kind {
	case ActOpen:
		x.open(a)
	case ActDeliver:
		x.deliver(a)
	case ActCancel:
		x.end(a.Attempt, true)
	case ActStop:
		x.end(a.Attempt, false)
	case ActObserve:
		x.observe(a)
	case ActCrash:
		x.crash(a)
	case ActFinish:
		x.finish(a.Result)
	}
}

func (x *run) open(a Action) {
	ctx, cancel := context.WithCancel(x.ctx)
	h := &handle{cancel: cancel, id: x.runner.newID()}
	x.handles[a.Attempt] = h
	t := &try{
		run:     x,
		ctx:     ctx,
		number:  a.Attempt,
		open:    a.Open,
		same:    x.servers[a.Open.Same],
		id:      h.id,
		version: x.version,
	}
	x.group.Go(func() error {
		defer cancel()
		t.do()
		return nil
	})
}

func (x *run) deliver(a Action) {
	if x.version == nil {
		x.version = &x.handles[a.Attempt].version
	}
	x.gone = x.gone || x.sink.Token(a.Token) != nil
}

func (x *run) beat() {
	if err := x.sink.Heartbeat(); err != nil {
		x.step(Event{Kind: EventGone})
	}
}

// end stops an attempt; atEngine tells the engine too.
func (x *run) end(attempt int, atEngine bool) {
	h := x.handles[attempt]
	if h == nil {
		return
	}
	delete(x.handles, attempt)
	h.cancel()
	if h.place != nil {
		h.place.Leave()
	}
	if !atEngine || h.engine == nil {
		return
	}
	engine, id := h.engine, h.id
	x.runner.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id) // the engine also notices the closed connection
	})
}

func (x *run) observe(a Action) {
	x.adm.Observe(deck.Observation{
		Kind:    a.Observe,
		Backend: a.Backend,
		At:      x.runner.Clock.Now(),
		Tokens:  a.Tokens,
	})
}

// crash counts the crash here before the next attempt starts, and reports it to the other VMs.
func (x *run) crash(a Action) {
	h := x.handles[a.Attempt]
	if h == nil || h.place == nil || !h.place.Crash(a.BootID) {
		return
	}
	alone := h.place.Alone()
	reported := make(chan struct{})
	x.reports = append(x.reports, reported)
	x.runner.inBackground(func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), crashTimeout)
		defer cancel()
		_ = x.runner.Poison.ReportCrash(ctx, x.req.Info.Digest, a.Backend, a.BootID, alone) // the local count stands
	})
}

// awaitReports gives the crash reports time to be committed before the caller hears of the failure and sends the request
// again to another VM.
func (x *run) awaitReports() {
	t := time.NewTimer(reportWait)
	defer t.Stop()
	for _, c := range x.reports {
		select {
		case <-c:
		case <-t.C:
			return
		}
	}
}

func (x *run) finish(r Result) {
	if r.Kind == Done {
		x.runner.Suspects.Clear(x.req.Info.Digest)
	}
	if r.Kind == Done && x.gone {
		r.Kind = Gone
	}
	x.result = &r
}

// choose asks the router for a backend server.
func (x *run) choose(ctx context.Context, avoid []deck.BackendName) (deck.BackendServer, *deck.Refusal) {
	x.choosing.Lock()
	defer x.choosing.Unlock()
	return x.adm.Choose(ctx, avoid)
}

func (x *run) armHedge() {
	if x.hedge != nil || x.req.Info.Class != deck.Interactive || !x.life.Waiting() {
		return
	}
	d := x.runner.HedgeAfter
	if d == 0 {
		d = hedgeAfter
	}
	x.hedge = time.NewTimer(d)
}

func (x *run) hedgeDue() <-chan time.Time {
	if x.hedge == nil {
		return nil
	}
	return x.hedge.C
}

func (x *run) stopHedge() {
	if x.hedge != nil {
		x.hedge.Stop()
	}
}
