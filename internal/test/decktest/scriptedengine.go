package decktest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Behaviour is what an ScriptedEngine does with one attempt: it sends tokens and then fails in the given way.
type Behaviour struct {
	Fail  string        // "" for a whole answer, "early-end", "crash-engine" or the name of an error kind
	After int           // tokens sent before the failure
	Delay time.Duration // before the first token
	Noise bool          // tokens are repeated and swapped
	Late  bool          // tokens go on after the attempt is abandoned
}

// A ScriptedEngine is a deck.Engine that answers each attempt with the next of its plan, and with a whole answer after
// the last one.
type ScriptedEngine struct {
	Name   deck.BackendName
	Answer func(body string) []string // the tokens of the answer to a request
	Poison func(body string) bool     // requests that crash the engine; may be nil
	Plan   []Behaviour                // set before the first attempt

	mu          sync.Mutex
	bootID      int
	crashed     chan struct{}    // closed when the engine process ends
	accepted    map[string]int   // attempts that ran, by request body
	openStreams map[*stream]bool // streams that are not closed
	calls       []deck.Generation
	canceled    []deck.RequestID
}

var _ deck.Engine = (*ScriptedEngine)(nil)

// Accepted returns how many attempts of the request ran.
func (e *ScriptedEngine) Accepted(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted[body]
}

// Calls returns the attempts that arrived, in order.
func (e *ScriptedEngine) Calls() []deck.Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// Canceled returns the requests that were cancelled, in order.
func (e *ScriptedEngine) Canceled() []deck.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.canceled)
}

// Open returns the number of streams that are not closed.
func (e *ScriptedEngine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.openStreams)
}

var errScripted = errors.New("fake failure")

func (e *ScriptedEngine) engineError(kind deck.EngineErrorKind) error {
	return &deck.EngineError{Kind: kind, Err: errScripted, BootID: fmt.Sprint(e.bootID)}
}

func (e *ScriptedEngine) nextBehaviour() Behaviour {
	if len(e.Plan) == 0 {
		return Behaviour{}
	}
	b := e.Plan[0]
	e.Plan = e.Plan[1:]
	return b
}

// Generate implements deck.Engine.Generate.
func (e *ScriptedEngine) Generate(ctx context.Context, g deck.Generation) (deck.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, g)
	behaviour := e.nextBehaviour()
	for _, kind := range []deck.EngineErrorKind{deck.EngineUnreachable, deck.EngineDraining, deck.EngineRejected} {
		if behaviour.Fail == kind.String() {
			return nil, e.engineError(kind)
		}
	}
	if e.crashed == nil {
		e.crashed = make(chan struct{})
		e.accepted = make(map[string]int)
		e.openStreams = make(map[*stream]bool)
	}
	body := string(g.Body)
	e.accepted[body]++
	if e.Poison != nil && e.Poison(body) {
		behaviour = Behaviour{Fail: "crash-engine", After: g.Offset % 2, Delay: 10 * time.Millisecond}
	}
	s := &stream{engine: e, behaviour: behaviour, bootID: fmt.Sprint(e.bootID), crashed: e.crashed}
	s.prepareTokens(e.Answer(body), g.Offset)
	e.openStreams[s] = true
	return s, nil
}

// crash ends the engine's process with everything that runs in it.
func (e *ScriptedEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.bootID++
}

// Cancel implements deck.Engine.Cancel.
func (e *ScriptedEngine) Cancel(_ context.Context, id deck.RequestID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, id)
	return nil
}

// CacheEvents implements deck.Engine.CacheEvents.
func (*ScriptedEngine) CacheEvents(context.Context, uint64) (deck.CacheEvents, error) {
	return deck.CacheEvents{}, errScripted
}

// ExportKV implements deck.Engine.ExportKV.
func (*ScriptedEngine) ExportKV(context.Context, deck.RequestID) ([]byte, error) {
	return nil, errScripted
}

// ImportKV implements deck.Engine.ImportKV.
func (*ScriptedEngine) ImportKV(context.Context, deck.RequestID, []byte) error { return errScripted }

// Operate implements deck.Engine.Operate.
func (*ScriptedEngine) Operate(context.Context, deck.Operation) deck.OperationResult {
	return deck.OperationResult{}
}

// Report implements deck.Engine.Report.
func (*ScriptedEngine) Report(context.Context) (deck.EngineReport, error) {
	return deck.EngineReport{}, errScripted
}

// A stream is a running attempt on a fake engine.
type stream struct {
	engine    *ScriptedEngine
	behaviour Behaviour
	bootID    string
	crashed   chan struct{}
	tokens    []deck.Token
	sent      int
}

var _ deck.BootIdentified = (*stream)(nil)

// BootID implements deck.BootIdentified.BootID.
func (s *stream) BootID() string { return s.bootID }

// prepareTokens lists what the stream will send.
func (s *stream) prepareTokens(words []string, offset int) {
	for n := offset; n < len(words); n++ {
		s.tokens = append(s.tokens, deck.Token{Offset: n, Data: []byte(words[n])})
	}
	s.tokens = append(s.tokens, deck.Token{Offset: len(words), Last: true})
	if s.behaviour.Noise && len(s.tokens) > 3 {
		s.tokens[0], s.tokens[1] = s.tokens[1], s.tokens[0]
		s.tokens = append([]deck.Token{s.tokens[0], s.tokens[0]}, s.tokens[1:]...)
	}
}

// Close implements deck.TokenStream.Close.
func (s *stream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	delete(s.engine.openStreams, s)
	return nil
}

// Next implements deck.TokenStream.Next.
func (s *stream) Next(ctx context.Context) (deck.Token, error) {
	if s.sent == 0 && !s.wait(ctx, s.behaviour.Delay) {
		return s.afterEnd(ctx)
	}
	if !s.wait(ctx, time.Millisecond) {
		return s.afterEnd(ctx)
	}
	if s.behaviour.Fail != "" && s.sent >= s.behaviour.After {
		return s.fail(ctx)
	}
	if s.sent >= len(s.tokens) {
		<-ctx.Done()
		return deck.Token{}, ctx.Err()
	}
	s.sent++
	return s.tokens[s.sent-1], nil
}

// wait returns false if the attempt is abandoned or the engine crashes first.
func (s *stream) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	case <-s.crashed:
		return false
	}
}

// afterEnd is what an attempt sends after it was abandoned or its engine crashed.
func (s *stream) afterEnd(ctx context.Context) (deck.Token, error) {
	select {
	case <-s.crashed:
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineCrashed, BootID: s.bootID, Err: errScripted}
	default:
	}
	if s.behaviour.Late {
		return deck.Token{Offset: s.sent, Data: []byte("late")}, nil
	}
	return deck.Token{}, ctx.Err()
}

func (s *stream) fail(ctx context.Context) (deck.Token, error) {
	switch s.behaviour.Fail {
	case "crash-engine":
		s.engine.crash()
		return s.afterEnd(ctx)
	case "stalled":
		s.wait(ctx, 2*time.Second)
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineStalled, BootID: s.bootID, Err: errScripted}
	case "early-end":
		return s.tokens[len(s.tokens)-1], nil // tokens before the end are lost
	case "crashed":
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineCrashed, BootID: s.bootID, Err: errScripted}
	default:
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineFailed, BootID: s.bootID, Err: errScripted}
	}
}
