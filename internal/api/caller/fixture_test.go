package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A fixture is a handler with the fake engines e1 and e2 on an in-memory network.
type fixture struct {
	net     decktest.PipeNetwork
	router  decktest.Router
	poison  decktest.PoisonStore
	handler *Handler
	client  *http.Client
	engines map[string]*fakeEngine
	closers []func()
}

// A fakeEngine streams answerTokens from the resume offset on. A fault applies to one request: "reset:N" closes the connection
// and "silent:N" stops sending before token N, "slow:MS" delays each token, "status:CODE" and "draining" refuse the request.
type fakeEngine struct {
	mu       sync.Mutex
	faults   []string // of the next requests, in order; "" for none
	usage    bool     // the last chunk has the token usage
	crashOn  string   // the engine process crashes when it begins to answer a request with this text in its body
	crashes  int
	software string // the version that the engine names; empty for none
	requests []*http.Request
	bodies   []string
	cancels  []string
}

var answerTokens = []string{"wax", " on", " old", " book", " spines"}

const answerText = "wax on old book spines"

func chunk(n int) string {
	return fmt.Sprintf(`{"id":"c","choices":[{"index":0,"delta":{"content":%q}}]}`, answerTokens[n])
}

// chunkWithUsage is the last chunk of an engine that reports the token usage.
const chunkWithUsage = `{"id":"c","choices":[{"index":0,"delta":{"content":" spines"},"finish_reason":"stop"}],` +
	`"usage":{"prompt_tokens":7,"completion_tokens":5,"total_tokens":12}}`

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	w.Header().Set("Boot-ID", "b"+strconv.Itoa(1+e.crashes))
	if e.software != "" {
		w.Header().Set("Software-Version", e.software)
	}
	if r.URL.Path == "/engine/cancel" {
		e.cancels = append(e.cancels, string(data))
		e.mu.Unlock()
		return
	}
	e.requests = append(e.requests, r)
	e.bodies = append(e.bodies, string(data))
	fault := ""
	if len(e.faults) > 0 {
		fault, e.faults = e.faults[0], e.faults[1:]
	}
	if e.crashOn != "" && strings.Contains(string(data), e.crashOn) {
		fault = "reset:0"
		e.crashes++
	}
	e.mu.Unlock()
	e.answer(w, r, fault)
}

func (e *fakeEngine) answer(w http.ResponseWriter, r *http.Request, fault string) {
	kind, arg, _ := strings.Cut(fault, ":")
	value, _ := strconv.Atoi(arg)
	switch kind {
	case "status":
		w.WriteHeader(value)
		fmt.Fprint(w, `{"error":{"message":"engine says no"}}`)
		return
	case "draining":
		w.Header().Set("Draining", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	first := 0
	if s := r.Header.Get("Last-Event-ID"); s != "" {
		last, _ := strconv.Atoi(s)
		first = last + 1
	}
	for n := first; n < len(answerTokens); n++ {
		switch {
		case kind == "reset" && n == value:
			conn, _, _ := rc.Hijack()
			_ = conn.Close()
			return
		case kind == "silent" && n == value:
			<-r.Context().Done()
			return
		case kind == "slow":
			if !sendKeepAlives(w, r, time.Duration(value)*time.Millisecond) {
				return
			}
		}
		data := chunk(n)
		if e.usage && n == len(answerTokens)-1 {
			data = chunkWithUsage
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		_ = rc.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// sendKeepAlives sends keep-alive comments for d. It returns false if the request is cancelled meanwhile.
func sendKeepAlives(w http.ResponseWriter, r *http.Request, d time.Duration) bool {
	for ; d > 0; d -= 500 * time.Millisecond {
		fmt.Fprint(w, ":\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(min(d, 500*time.Millisecond)):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

var testState = deck.State{}.WithTicket(deck.Ticket{
	Models: []deck.Model{
		{Name: "m", Active: "v1", Versions: []deck.ModelVersion{{Name: "v1"}}},
		{Name: "night", Class: deck.Batch, Active: "v1"},
	},
	Adapters: []deck.Adapter{{Name: "a", Model: "m"}},
	BackendServers: []deck.BackendServer{
		{Name: "s1", Kind: deck.ServiceBackend, Address: "s1", DataCentre: "here"},
		{Name: "s2", Kind: deck.ServiceBackend, Address: "s2", DataCentre: "there"},
		{Name: "s3", Kind: deck.ServiceBackend, Address: "s3", DataCentre: "here", Leaving: true},
	},
	Services: []deck.Service{{
		Name: "portal", Prefix: "/portal", Backends: []deck.BackendName{"s1", "s2", "s3"},
		Routes: []deck.ServiceRoute{{Path: "/", Repeatable: true}, {Path: "/bookings"}},
	}},
}, 1)

// run calls test with a new fixture in a synctest bubble.
func run(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		t.Cleanup(func() {
			f.close()
			time.Sleep(2 * time.Minute) // lets all timers expire inside the bubble
			synctest.Wait()
		})
		test(t, f)
	})
}

func newFixture() *fixture {
	f := &fixture{engines: make(map[string]*fakeEngine)}
	clients := make(map[deck.BackendName]deck.Engine)
	for _, name := range []string{"e1", "e2"} {
		e := &fakeEngine{}
		f.engines[name] = e
		f.serve(name, &http.Server{Handler: e})
		c := engine.New(name, deck.SystemClock{}, f.net.Dial)
		clients[deck.BackendName(name)] = c
		f.closers = append(f.closers, c.Close)
		f.router.Servers = append(f.router.Servers, deck.BackendServer{Name: deck.BackendName(name), Address: name})
	}
	f.handler = &Handler{
		Router:     &f.router,
		Engine:     func(b deck.BackendServer) deck.Engine { return clients[b.Name] },
		State:      decktest.StateSource{Current: testState},
		Poison:     &f.poison,
		Clock:      deck.SystemClock{},
		VM:         "vm1",
		DataCentre: "here",
	}
	f.serve("entry", NewServer(f.handler))
	transport := &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true, ExpectContinueTimeout: time.Minute}
	f.client = &http.Client{Transport: transport}
	return f
}

func (f *fixture) serve(address string, s *http.Server) {
	l := f.net.Listen(address + ":80")
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
}

func (f *fixture) close() {
	for _, closeOne := range f.closers {
		closeOne()
	}
}

// A response is an HTTP response with its complete body, or the error of the request.
type response struct {
	status  int
	headers http.Header
	body    string
	err     error
}

func (f *fixture) post(ctx context.Context, path, body string, headers ...string) response {
	return f.send(ctx, http.MethodPost, path, body, headers...)
}

func (f *fixture) send(ctx context.Context, method, path, body string, headers ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

const (
	chatPath      = "/v1/chat/completions"
	streamBody    = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	nonStreamBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
)

// completeStream returns the stream of a complete answer.
func completeStream() string {
	var b strings.Builder
	for n := range answerTokens {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, chunk(n))
	}
	return b.String() + "data: [DONE]\n\n"
}
