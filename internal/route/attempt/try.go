package attempt

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of the wait before an attempt.
const (
	budgetPoll   = 250 * time.Millisecond
	budgetWait   = 15 * time.Second // longer than the budget's window
	maxRechoices = 3                // backend servers tried for a suspect that must run alone before it waits for one
)

// A try is the goroutine of one attempt; it reports everything as events.
type try struct {
	run     *run
	ctx     context.Context
	number  int
	open    Open
	same    deck.BackendServer // for Open.Same
	id      deck.RequestID
	version *deck.VersionName // that of the tokens already delivered; nil if there are none
}

func (t *try) do() {
	if !t.pause(t.open.Delay) {
		return
	}
	if refusal := t.afford(); refusal != nil {
		t.post(Event{Kind: EventNone, Refusal: refusal})
		return
	}
	if t.run.runner.refused(t.digest()) {
		t.post(Event{Kind: EventPoison, Refusal: poisonRefusal()})
		return
	}
	server, place, refusal := t.place()
	if refusal != nil {
		t.post(Event{Kind: EventNone, Refusal: refusal})
		return
	}
	defer place.Leave()
	t.send(server, place)
}

// afford waits until the retry budget allows the attempt; a hedge does not wait.
func (t *try) afford() *deck.Refusal {
	budget := t.run.runner.Budget
	if t.open.Hedge && (t.run.runner.Suspects.Suspect(t.digest()) || !budget.Take()) {
		return overBudget()
	}
	if !t.open.Charge {
		return nil
	}
	for waited := time.Duration(0); waited < budgetWait; waited += budgetPoll {
		if budget.Take() {
			return nil
		}
		if !t.pause(budgetPoll) {
			break
		}
	}
	return overBudget()
}

// place chooses a backend server on which the request may run beside those that run there.
func (t *try) place() (deck.BackendServer, *Run, *deck.Refusal) {
	avoid := t.open.Avoid
	for n := 0; ; n++ {
		server, refusal := t.choose(avoid)
		if refusal != nil {
			return server, nil, refusal
		}
		if place, ok := t.run.runner.Suspects.TryEnter(t.digest(), server.Name); ok {
			return server, place, nil
		}
		if n < maxRechoices && t.open.Same == "" {
			t.unused(server)
			avoid = append(avoid[:len(avoid):len(avoid)], server.Name)
			continue
		}
		place, err := t.run.runner.Suspects.Enter(t.ctx, t.digest(), server.Name)
		if err != nil {
			t.unused(server)
			return server, nil, &deck.Refusal{Kind: deck.RefusedOverload, Reason: err.Error()}
		}
		return server, place, nil
	}
}

func (t *try) choose(avoid []deck.BackendName) (deck.BackendServer, *deck.Refusal) {
	if t.open.Same != "" {
		return t.same, nil
	}
	server, refusal := t.run.choose(t.ctx, avoid)
	if refusal != nil {
		return server, refusal
	}
	if t.open.Hedge && slices.Contains(avoid, server.Name) {
		t.unused(server)
		return server, &deck.Refusal{Kind: deck.RefusedNoBackend, Reason: "no second backend server for a hedge"}
	}
	return server, nil
}

// unused tells the router that the attempt will not use the server that it chose. For a reconnection the loop does it.
func (t *try) unused(server deck.BackendServer) {
	if t.open.Same == "" {
		t.run.observe(Action{Observe: deck.ObservedCancel, Backend: server.Name})
	}
}

// send starts the stream and posts what arrives.
func (t *try) send(server deck.BackendServer, place *Run) {
	engine := t.run.runner.Engine(server)
	start := Event{Kind: EventStart, Backend: server.Name}
	version := t.versionOn(server.Name)
	m := message{Event: start, try: t, server: server, engine: engine, place: place, version: version}
	if !t.hand(m) {
		t.unused(server)
		return
	}
	if t.ctx.Err() != nil {
		return // the loop had abandoned the attempt, and nothing may be sent
	}
	stream, err := engine.Generate(t.ctx, t.generation(version))
	if err != nil {
		t.broke(err)
		return
	}
	defer func() { _ = stream.Close() }()
	boot := ""
	if b, ok := stream.(deck.BootIdentified); ok {
		boot = b.BootID()
	}
	if !t.post(Event{Kind: EventAnswer, BootID: boot}) {
		return
	}
	t.receive(stream)
}

func (t *try) receive(stream deck.TokenStream) {
	for {
		token, err := stream.Next(t.ctx)
		if err != nil {
			t.broke(err)
			return
		}
		if !t.post(Event{Kind: EventToken, Token: token}) || token.Last {
			return
		}
	}
}

// versionOn returns the model version for the attempt: an answer never mixes two.
func (t *try) versionOn(server deck.BackendName) deck.VersionName {
	if t.version != nil {
		return *t.version
	}
	return t.run.req.Version(server)
}

func (t *try) generation(version deck.VersionName) deck.Generation {
	info := t.run.req.Info
	return deck.Generation{
		ID:       t.id,
		Model:    info.Model,
		Version:  version,
		Adapter:  info.Adapter,
		Class:    info.Class,
		Priority: t.run.adm.Priority(),
		Offset:   t.open.Offset,
		Path:     t.run.req.Path,
		Body:     t.run.req.Body,
		Fresh:    t.open.Same != "",
	}
}

func (t *try) broke(err error) {
	if t.ctx.Err() != nil {
		return // the loop ended the attempt
	}
	var e *deck.EngineError
	if !errors.As(err, &e) {
		e = &deck.EngineError{Kind: deck.EngineFailed, Err: err}
	}
	t.post(Event{Kind: EventBreak, Err: e})
}

// post hands an event to the loop; false means that the attempt is abandoned.
func (t *try) post(e Event) bool {
	return t.hand(message{Event: e})
}

func (t *try) hand(m message) bool {
	m.Attempt = t.number
	select {
	case t.run.events <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// pause waits and reports whether the attempt goes on.
func (t *try) pause(d time.Duration) bool {
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

func (t *try) digest() string {
	return t.run.req.Info.Digest
}

func overBudget() *deck.Refusal {
	return &deck.Refusal{Kind: deck.RefusedOverload, Reason: "the retry budget is used up", RetryAfter: budgetSlot}
}
