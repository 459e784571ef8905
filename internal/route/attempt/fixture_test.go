package attempt

import (
	"errors"
	"fmt"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

var errCallerLeft = errors.New("the caller disconnected")

// recordingSink is a Sink that records the tokens it receives.
type recordingSink struct {
	tokens    []deck.Token
	maxTokens int // tokens after which the caller disconnects; 0 for never, -1 for before the first token
	pause     time.Duration
}

func (r *recordingSink) Heartbeat() error { return nil }

func (r *recordingSink) Token(t deck.Token) error {
	if r.maxTokens != 0 && len(r.tokens) == max(r.maxTokens, 0) {
		return errCallerLeft
	}
	time.Sleep(r.pause)
	r.tokens = append(r.tokens, t)
	return nil
}

// fixture is a Runner with fake engines.
type fixture struct {
	router  decktest.Router
	poison  decktest.PoisonStore
	engines map[deck.BackendName]*decktest.ScriptedEngine
	runner  *Runner
}

func newFixture(n int, answer func(body string) []string) *fixture {
	f := &fixture{engines: make(map[deck.BackendName]*decktest.ScriptedEngine)}
	for i := range n {
		name := deck.BackendName(fmt.Sprintf("e%d", i+1))
		f.engines[name] = &decktest.ScriptedEngine{Name: name, TokensFor: answer}
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

// acceptedAttempts returns how many attempts of a request the engines accepted.
func (f *fixture) acceptedAttempts(body string) int {
	n := 0
	for _, e := range f.engines {
		n += e.AcceptedAttempts(body)
	}
	return n
}

// answerTokens returns an answer of n tokens, each of which contains the request body.
func answerTokens(body string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s/%d", body, i))
	}
	return out
}
