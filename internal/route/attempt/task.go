package attempt

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of the waits before an attempt.
const (
	budgetPollInterval = 250 * time.Millisecond
	budgetTimeout      = 15 * time.Second // longer than the window of the retry budget
	maxReselections    = 3                // further choices for a suspect that must be isolated, before it waits for a permit
)

// task runs one attempt in a goroutine of its own and reports what happens as events.
type task struct {
	execution       *execution
	ctx             context.Context
	number          int
	spec            Spec
	reconnectServer deck.BackendServer // for Spec.Reconnect
	id              deck.RequestID
	version         *deck.VersionName // model version of the tokens already delivered; nil if there are none
}

func (t *task) run() {
	if !t.wait(t.spec.Delay) {
		return
	}
	if refusal := t.awaitBudget(); refusal != nil {
		t.post(Event{Kind: EventUnavailable, Refusal: refusal})
		return
	}
	if t.execution.runner.isPoison(t.execution.req.Info) {
		t.post(Event{Kind: EventPoison, Refusal: poisonRefusal()})
		return
	}
	server, permit, refusal := t.acquireServer()
	if refusal != nil {
		t.post(Event{Kind: EventUnavailable, Refusal: refusal})
		return
	}
	defer permit.Release()
	t.send(server, permit)
}

// awaitBudget waits until the retry budget allows the attempt. A hedge does not wait, and a suspect is never hedged.
func (t *task) awaitBudget() *deck.Refusal {
	budget := t.execution.runner.Budget
	if t.spec.Hedge && (t.execution.runner.Suspects.IsSuspect(t.digest()) || !budget.TryTake()) {
		return budgetRefusal()
	}
	if !t.spec.Charge {
		return nil
	}
	for waited := time.Duration(0); waited < budgetTimeout; waited += budgetPollInterval {
		if budget.TryTake() {
			return nil
		}
		if !t.wait(budgetPollInterval) {
			break
		}
	}
	return budgetRefusal()
}

// acquireServer chooses a backend server and acquires a permit for it. A suspect that must be isolated tries other servers
// first and then waits for a permit.
func (t *task) acquireServer() (deck.BackendServer, *Permit, *deck.Refusal) {
	avoid := t.spec.Avoid
	for n := 0; ; n++ {
		server, refusal := t.chooseServer(avoid)
		if refusal != nil {
			return server, nil, refusal
		}
		if t.spec.Reconnect == "" && !t.execution.runner.Restraints.Admit(t.ctx, server.Name, "") {
			t.reportUnused(server)
			if t.ctx.Err() != nil {
				return server, nil, &deck.Refusal{Kind: deck.RefusedOverload, Reason: "caller has gone"}
			}
			continue // the router avoids the server for a while
		}
		if permit, ok := t.execution.runner.Suspects.TryAcquire(t.digest(), server.Name); ok {
			return server, permit, nil
		}
		if n < maxReselections && t.spec.Reconnect == "" {
			t.reportUnused(server)
			avoid = append(avoid[:len(avoid):len(avoid)], server.Name)
			continue
		}
		permit, err := t.execution.runner.Suspects.Acquire(t.ctx, t.digest(), server.Name)
		if err != nil {
			t.reportUnused(server)
			return server, nil, &deck.Refusal{Kind: deck.RefusedOverload, Reason: err.Error()}
		}
		return server, permit, nil
	}
}

func (t *task) chooseServer(avoid []deck.BackendName) (deck.BackendServer, *deck.Refusal) {
	if t.spec.Reconnect != "" {
		return t.reconnectServer, nil
	}
	server, refusal := t.execution.chooseServer(t.ctx, avoid, t.spec.Software)
	if refusal != nil {
		return server, refusal
	}
	if t.spec.Hedge && slices.Contains(avoid, server.Name) {
		t.reportUnused(server)
		return server, &deck.Refusal{Kind: deck.RefusedNoBackend, Reason: "no second backend server for a hedge"}
	}
	return server, nil
}

// reportUnused reports to the router that the attempt does not use the chosen server. For a reconnection the lifecycle
// reports it.
func (t *task) reportUnused(server deck.BackendServer) {
	if t.spec.Reconnect == "" {
		t.execution.observe(Action{Observe: deck.ObservedCancel, Backend: server.Name})
	}
}

// send sends the attempt to the engine and posts the events of its stream.
func (t *task) send(server deck.BackendServer, permit *Permit) {
	engine := t.execution.runner.Engine(server)
	start := Event{Kind: EventSending, Backend: server.Name}
	version := t.versionFor(server.Name)
	e := taskEvent{Event: start, task: t, server: server, engine: engine, permit: permit, version: version}
	if !t.postTaskEvent(e) {
		t.reportUnused(server)
		return
	}
	if t.ctx.Err() != nil {
		return // the loop abandoned the attempt, so that nothing may be sent any more
	}
	stream, err := engine.Generate(t.ctx, t.generationRequest(version))
	if err != nil {
		t.postFailure(server.Name, err)
		return
	}
	defer func() { _ = stream.Close() }()
	accepted := Event{Kind: EventAccepted}
	if b, ok := stream.(deck.BootIdentified); ok {
		accepted.BootID = b.BootID()
	}
	if s, ok := stream.(deck.SoftwareIdentified); ok {
		accepted.Software = s.Software()
	}
	if !t.post(accepted) {
		return
	}
	t.receive(server.Name, stream)
}

func (t *task) receive(server deck.BackendName, stream deck.TokenStream) {
	for {
		token, err := stream.Next(t.ctx)
		if err != nil {
			t.postFailure(server, err)
			return
		}
		if !t.post(Event{Kind: EventToken, Token: token}) || token.Last {
			return
		}
	}
}

// versionFor returns the model version for the attempt. All tokens of an answer come from one version.
func (t *task) versionFor(server deck.BackendName) deck.VersionName {
	if t.version != nil {
		return *t.version
	}
	return t.execution.req.Version(server)
}

func (t *task) generationRequest(version deck.VersionName) deck.GenerationRequest {
	info := t.execution.req.Info
	return deck.GenerationRequest{
		ID:       t.id,
		Model:    info.Model,
		Version:  version,
		Adapter:  info.Adapter,
		Class:    info.Class,
		Priority: t.execution.adm.Priority(),
		Offset:   t.spec.Offset,
		Path:     t.execution.req.Path,
		Body:     t.execution.req.Body,
		NewConn:  t.spec.Reconnect != "",
	}
}

func (t *task) postFailure(server deck.BackendName, err error) {
	if t.ctx.Err() != nil {
		return // the loop ended the attempt
	}
	var e *deck.EngineError
	if !errors.As(err, &e) {
		e = &deck.EngineError{Kind: deck.EngineFailed, Err: err}
	}
	r := t.execution.runner
	restraint := r.Restraints.Restraint(r.Clock.Now(), server, "")
	t.post(Event{Kind: EventFailed, Err: e, Closed: !restraint.Allows() || restraint.Limited})
}

// post sends an event to the loop; it returns false if the attempt was abandoned.
func (t *task) post(e Event) bool {
	return t.postTaskEvent(taskEvent{Event: e})
}

func (t *task) postTaskEvent(e taskEvent) bool {
	e.Attempt = t.number
	select {
	case t.execution.events <- e:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// wait waits for d and reports whether the attempt may continue.
func (t *task) wait(d time.Duration) bool {
	if d == 0 {
		return t.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *task) digest() string {
	return t.execution.req.Info.Digest
}

func budgetRefusal() *deck.Refusal {
	return &deck.Refusal{Kind: deck.RefusedOverload, Reason: "the retry budget is used up", RetryAfter: budgetSlotWidth}
}
