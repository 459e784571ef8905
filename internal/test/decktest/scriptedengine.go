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

// An AttemptBehaviour is what a ScriptedEngine does with one attempt: it sends tokens and then fails in the given way.
type AttemptBehaviour struct {
	Failure             string        // "early-end", "crash-engine", the name of a deck.EngineErrorKind, or "" for a complete response
	TokensBeforeFailure int           // tokens sent before the failure
	FirstTokenDelay     time.Duration // before the first token
	ReorderTokens       bool          // the first tokens are swapped and repeated
	SendAfterCancel     bool          // the engine still sends tokens after the attempt was cancelled
}

// A ScriptedEngine is a deck.Engine that gives each attempt the next of its Behaviours, and a complete response once they
// are used up.
type ScriptedEngine struct {
	Name       deck.BackendName
	TokensFor  func(body string) []string // returns the tokens of the response to a request
	CrashesOn  func(body string) bool     // reports whether a request crashes the engine; may be nil
	Behaviours []AttemptBehaviour         // must be set before the first attempt
	Software   []deck.SoftwareVersion     // of each engine process in turn, the last one for all further; tokens end with "@" and it

	mu          sync.Mutex
	bootID      int              // incremented when the engine process restarts
	crashed     chan struct{}    // closed when the current engine process crashes
	accepted    map[string]int   // number of accepted attempts by request body
	openStreams map[*stream]bool // streams that have not been closed
	attempts    []deck.GenerationRequest
	canceled    []deck.RequestID
}

var _ deck.Engine = (*ScriptedEngine)(nil)

// AcceptedAttempts returns how many attempts of the request the engine accepted.
func (e *ScriptedEngine) AcceptedAttempts(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted[body]
}

// Attempts returns the attempts that arrived, in order, including those that were not accepted.
func (e *ScriptedEngine) Attempts() []deck.GenerationRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.attempts)
}

// CanceledRequests returns the IDs passed to Cancel, in order.
func (e *ScriptedEngine) CanceledRequests() []deck.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.canceled)
}

// OpenStreams returns the number of streams that have not been closed.
func (e *ScriptedEngine) OpenStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.openStreams)
}

var errScripted = errors.New("scripted failure")

func (e *ScriptedEngine) engineError(kind deck.EngineErrorKind) error {
	return &deck.EngineError{Kind: kind, Err: errScripted, BootID: fmt.Sprint(e.bootID)}
}

// nextBehaviour removes the next behaviour; it returns the zero value once all are used up.
func (e *ScriptedEngine) nextBehaviour() AttemptBehaviour {
	if len(e.Behaviours) == 0 {
		return AttemptBehaviour{}
	}
	b := e.Behaviours[0]
	e.Behaviours = e.Behaviours[1:]
	return b
}

// Generate implements deck.Engine.Generate.
func (e *ScriptedEngine) Generate(ctx context.Context, g deck.GenerationRequest) (deck.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, g)
	behaviour := e.nextBehaviour()
	for _, kind := range []deck.EngineErrorKind{deck.EngineUnreachable, deck.EngineDraining, deck.EngineRejected} {
		if behaviour.Failure == kind.String() {
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
	if e.CrashesOn != nil && e.CrashesOn(body) {
		behaviour = AttemptBehaviour{
			Failure: "crash-engine", TokensBeforeFailure: g.Offset % 2, FirstTokenDelay: 10 * time.Millisecond,
		}
	}
	s := &stream{engine: e, behaviour: behaviour, bootID: fmt.Sprint(e.bootID), software: e.software(), crashed: e.crashed}
	s.prepareTokens(e.TokensFor(body), g.Offset)
	e.openStreams[s] = true
	return s, nil
}

// software returns the software version of the current engine process. The caller holds the lock.
func (e *ScriptedEngine) software() deck.SoftwareVersion {
	if len(e.Software) == 0 {
		return ""
	}
	return e.Software[min(e.bootID, len(e.Software)-1)]
}

// crash ends the engine process with all its attempts and starts a new one.
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

// SendOperation implements deck.Engine.SendOperation.
func (*ScriptedEngine) SendOperation(context.Context, deck.Operation) deck.OperationResult {
	return deck.OperationResult{}
}

// Report implements deck.Engine.Report.
func (*ScriptedEngine) Report(context.Context) (deck.EngineReport, error) {
	return deck.EngineReport{}, errScripted
}

// A stream is a running attempt on a ScriptedEngine.
type stream struct {
	engine    *ScriptedEngine
	behaviour AttemptBehaviour
	bootID    string
	software  deck.SoftwareVersion
	crashed   chan struct{}
	tokens    []deck.Token
	sent      int
}

var (
	_ deck.BootIdentified     = (*stream)(nil)
	_ deck.SoftwareIdentified = (*stream)(nil)
)

// BootID implements deck.BootIdentified.BootID.
func (s *stream) BootID() string { return s.bootID }

// Software implements deck.SoftwareIdentified.Software.
func (s *stream) Software() deck.SoftwareVersion { return s.software }

// prepareTokens fills s.tokens with the tokens from the offset on and the end of the response.
func (s *stream) prepareTokens(answer []string, offset int) {
	for n := offset; n < len(answer); n++ {
		data := answer[n]
		if s.software != "" {
			data += "@" + string(s.software)
		}
		s.tokens = append(s.tokens, deck.Token{Offset: n, Data: []byte(data)})
	}
	s.tokens = append(s.tokens, deck.Token{Offset: len(answer), Last: true})
	if s.behaviour.ReorderTokens && len(s.tokens) > 3 {
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
	if s.sent == 0 && !s.wait(ctx, s.behaviour.FirstTokenDelay) {
		return s.afterEnd(ctx)
	}
	if !s.wait(ctx, time.Millisecond) {
		return s.afterEnd(ctx)
	}
	if s.behaviour.Failure != "" && s.sent >= s.behaviour.TokensBeforeFailure {
		return s.fail(ctx)
	}
	if s.sent >= len(s.tokens) {
		<-ctx.Done()
		return deck.Token{}, ctx.Err()
	}
	s.sent++
	return s.tokens[s.sent-1], nil
}

// wait waits for d; it returns false if the attempt is cancelled or the engine crashes first.
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

// afterEnd returns what Next returns after the attempt was cancelled or the engine crashed.
func (s *stream) afterEnd(ctx context.Context) (deck.Token, error) {
	select {
	case <-s.crashed:
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineCrashed, BootID: s.bootID, Err: errScripted}
	default:
	}
	if s.behaviour.SendAfterCancel {
		return deck.Token{Offset: s.sent, Data: []byte("late")}, nil
	}
	return deck.Token{}, ctx.Err()
}

// fail returns what Next returns once the tokens before the scripted failure are sent.
func (s *stream) fail(ctx context.Context) (deck.Token, error) {
	switch s.behaviour.Failure {
	case "crash-engine":
		s.engine.crash()
		return s.afterEnd(ctx)
	case "stalled":
		s.wait(ctx, 2*time.Second)
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineStalled, BootID: s.bootID, Err: errScripted}
	case "early-end":
		return s.tokens[len(s.tokens)-1], nil // ends the response without the remaining tokens
	case "crashed":
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineCrashed, BootID: s.bootID, Err: errScripted}
	default:
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineFailed, BootID: s.bootID, Err: errScripted}
	}
}
