package attempt

import (
	"errors"
	"fmt"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

var errCallerLeft = errors.New("the caller left")

// A recorder is a sink that keeps what it gets.
type recordingSink struct {
	tokens    []deck.Token
	maxTokens int // tokens after which the caller is gone; 0 for a caller that stays, -1 for one that takes no token
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

// A fixture is a runner with fake engines.
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
		f.engines[name] = &decktest.ScriptedEngine{Name: name, Answer: answer}
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
func (f *fixture) acceptedAttempts(body string) int {
	n := 0
	for _, e := range f.engines {
		n += e.Accepted(body)
	}
	return n
}

// words returns an answer that names its request in each token.
func answerTokens(body string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s/%d", body, i))
	}
	return out
}
