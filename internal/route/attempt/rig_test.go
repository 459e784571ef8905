package attempt

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A behaviour is what a fake engine does with one attempt: it sends tokens and then fails in the given way.
type behaviour struct {
	fail  string        // "" for a whole answer, "stall", "silence" or the name of an error kind
	after int           // tokens sent before the failure
	delay time.Duration // before the first token
	noise bool          // tokens are repeated and swapped
	late  bool          // tokens go on after the attempt is abandoned
}

// A fakeEngine answers each attempt with the next of its behaviours, and with a whole answer after the last one.
type fakeEngine struct {
	name   deck.BackendName
	answer func(body string) []string // the tokens of the answer to a request
	poison func(body string) bool     // the request crashes the engine

	mu       sync.Mutex
	plan     []behaviour
	boot     int
	crashed  chan struct{}     // closed when the engine process ends
	accepted map[string]int    // attempts that ran, by request body
	open     map[*stream]bool  // streams that are not closed
	calls    []deck.Generation // all attempts that arrived
	canceled []deck.RequestID
}

var errFake = errors.New("fake failure")

func (e *fakeEngine) fault(kind deck.EngineErrorKind) error {
	return &deck.EngineError{Kind: kind, Err: errFake, BootID: fmt.Sprint(e.boot)}
}

func (e *fakeEngine) next() behaviour {
	if len(e.plan) == 0 {
		return behaviour{}
	}
	b := e.plan[0]
	e.plan = e.plan[1:]
	return b
}

func (e *fakeEngine) Generate(ctx context.Context, g deck.Generation) (deck.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, g)
	b := e.next()
	for _, kind := range []deck.EngineErrorKind{deck.EngineUnreachable, deck.EngineDraining, deck.EngineRejected} {
		if b.fail == kind.String() {
			return nil, e.fault(kind)
		}
	}
	if e.crashed == nil {
		e.crashed = make(chan struct{})
		e.accepted = make(map[string]int)
		e.open = make(map[*stream]bool)
	}
	body := string(g.Body)
	e.accepted[body]++
	if e.poison != nil && e.poison(body) {
		b = behaviour{fail: "crash-engine", after: g.Offset % 2, delay: 10 * time.Millisecond}
	}
	s := &stream{engine: e, b: b, boot: fmt.Sprint(e.boot), crashed: e.crashed}
	s.script(e.answer(body), g.Offset)
	e.open[s] = true
	return s, nil
}

// crash ends the engine's process with everything that runs in it.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.boot++
}

func (e *fakeEngine) Cancel(_ context.Context, id deck.RequestID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, id)
	return nil
}

func (*fakeEngine) CacheEvents(context.Context, uint64) (deck.CacheEvents, error) {
	return deck.CacheEvents{}, errFake
}

func (*fakeEngine) ExportKV(context.Context, deck.RequestID) ([]byte, error) { return nil, errFake }

func (*fakeEngine) ImportKV(context.Context, deck.RequestID, []byte) error { return errFake }

func (*fakeEngine) Operate(context.Context, deck.Operation) deck.OperationResult {
	return deck.OperationResult{}
}

func (*fakeEngine) Report(context.Context) (deck.EngineReport, error) {
	return deck.EngineReport{}, errFake
}

// A stream is a running attempt on a fake engine.
type stream struct {
	engine  *fakeEngine
	b       behaviour
	boot    string
	crashed chan struct{}
	tokens  []deck.Token
	sent    int
}

var _ deck.BootIdentified = (*stream)(nil)

func (s *stream) BootID() string { return s.boot }

// script lists what the stream will send.
func (s *stream) script(words []string, offset int) {
	for n := offset; n < len(words); n++ {
		s.tokens = append(s.tokens, deck.Token{Offset: n, Data: []byte(words[n])})
	}
	s.tokens = append(s.tokens, deck.Token{Offset: len(words), Last: true})
	if s.b.noise && len(s.tokens) > 3 {
		s.tokens[0], s.tokens[1] = s.tokens[1], s.tokens[0]
		s.tokens = append([]deck.Token{s.tokens[0], s.tokens[0]}, s.tokens[1:]...)
	}
}

func (s *stream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	delete(s.engine.open, s)
	return nil
}

func (s *stream) Next(ctx context.Context) (deck.Token, error) {
	if s.sent == 0 && !s.sleep(ctx, s.b.delay) {
		return s.ended(ctx)
	}
	if !s.sleep(ctx, time.Millisecond) {
		return s.ended(ctx)
	}
	if s.b.fail != "" && s.sent >= s.b.after {
		return s.failed(ctx)
	}
	if s.sent >= len(s.tokens) {
		<-ctx.Done()
		return deck.Token{}, ctx.Err()
	}
	s.sent++
	return s.tokens[s.sent-1], nil
}

// sleep returns false if the attempt is abandoned or the engine crashes first.
func (s *stream) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	case <-s.crashed:
		return false
	}
}

// ended is what an attempt sends after it was abandoned or its engine crashed.
func (s *stream) ended(ctx context.Context) (deck.Token, error) {
	select {
	case <-s.crashed:
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineCrashed, BootID: s.boot, Err: errFake}
	default:
	}
	if s.b.late {
		return deck.Token{Offset: s.sent, Data: []byte("late")}, nil
	}
	return deck.Token{}, ctx.Err()
}

func (s *stream) failed(ctx context.Context) (deck.Token, error) {
	switch s.b.fail {
	case "crash-engine":
		s.engine.crash()
		return s.ended(ctx)
	case "stalled":
		s.sleep(ctx, 2*time.Second)
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineStalled, BootID: s.boot, Err: errFake}
	case "early-end":
		return s.tokens[len(s.tokens)-1], nil // tokens before the end are lost
	case "crashed":
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineCrashed, BootID: s.boot, Err: errFake}
	default:
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineFailed, BootID: s.boot, Err: errFake}
	}
}

// A recorder is a sink that keeps what it gets.
type recorder struct {
	tokens []deck.Token
	limit  int // tokens after which the caller is gone; 0 for none
	pause  time.Duration
}

func (r *recorder) Heartbeat() error { return nil }

func (r *recorder) Token(t deck.Token) error {
	if r.limit > 0 && len(r.tokens) == r.limit {
		return errFake
	}
	time.Sleep(r.pause)
	r.tokens = append(r.tokens, t)
	return nil
}

// A fixture is a runner with fake engines.
type fixture struct {
	router  decktest.Router
	poison  decktest.PoisonStore
	engines map[deck.BackendName]*fakeEngine
	runner  *Runner
}

func newFixture(n int, answer func(body string) []string) *fixture {
	f := &fixture{engines: make(map[deck.BackendName]*fakeEngine)}
	for i := range n {
		name := deck.BackendName(fmt.Sprintf("e%d", i+1))
		f.engines[name] = &fakeEngine{name: name, answer: answer}
		f.router.Servers = append(f.router.Servers, deck.BackendServer{Name: name})
	}
	engine := func(b deck.BackendServer) deck.Engine { return f.engines[b.Name] }
	f.runner = NewRunner(&f.router, engine, &f.poison, deck.SystemClock{}, "vm1")
	return f
}

func (f *fixture) request(body string) Request {
	return Request{
		Info:    deck.RequestInfo{Digest: body, Model: "m"},
		Version: func(deck.BackendName) deck.VersionName { return "v1" },
		Path:    "/v1/completions",
		Body:    []byte(body),
	}
}

// ran returns how many attempts of a request any engine accepted.
func (f *fixture) ran(body string) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.accepted[body]
		e.mu.Unlock()
	}
	return n
}

// words returns an answer that names its request in each token.
func words(body string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s/%d", body, i))
	}
	return out
}
