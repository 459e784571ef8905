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

// A rig is a handler with fake engines e1 and e2, all on a network in memory.
type rig struct {
	net     decktest.PipeNetwork
	router  decktest.Router
	poison  decktest.PoisonStore
	handler *Handler
	client  *http.Client
	engines map[string]*fakeEngine
	closers []func()
}

// A fakeEngine answers with five tokens, of which the words are the rest of a fixed text after the resume offset.
type fakeEngine struct {
	mu      sync.Mutex
	faults  []string // of the next requests: "reset:N", "silent:N", "slow:D", "status:N", "draining"; "" for none
	usage   bool     // the last chunk tells the tokens used
	seen    []*http.Request
	bodies  []string
	cancels []string
}

var words = []string{"wax", " on", " old", " book", " spines"}

const answerText = "wax on old book spines"

func chunk(n int) string {
	return fmt.Sprintf(`{"id":"c","choices":[{"index":0,"delta":{"content":%q}}]}`, words[n])
}

// lastChunk is the last token of an engine that tells the tokens used.
const lastChunk = `{"id":"c","choices":[{"index":0,"delta":{"content":" spines"},"finish_reason":"stop"}],` +
	`"usage":{"prompt_tokens":7,"completion_tokens":5,"total_tokens":12}}`

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	w.Header().Set("Boot-ID", "b1")
	e.mu.Lock()
	if r.URL.Path == "/engine/cancel" {
		e.cancels = append(e.cancels, string(data))
		e.mu.Unlock()
		return
	}
	e.seen = append(e.seen, r)
	e.bodies = append(e.bodies, string(data))
	fault := ""
	if len(e.faults) > 0 {
		fault, e.faults = e.faults[0], e.faults[1:]
	}
	e.mu.Unlock()
	e.answer(w, r, fault)
}

func (e *fakeEngine) answer(w http.ResponseWriter, r *http.Request, fault string) {
	kind, arg, _ := strings.Cut(fault, ":")
	at, _ := strconv.Atoi(arg)
	switch kind {
	case "status":
		w.WriteHeader(at)
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
	for n := first; n < len(words); n++ {
		switch {
		case kind == "reset" && n == at:
			conn, _, _ := rc.Hijack()
			_ = conn.Close()
			return
		case kind == "silent" && n == at:
			<-r.Context().Done()
			return
		case kind == "slow":
			if !idle(w, r, time.Duration(at)*time.Millisecond) {
				return
			}
		}
		data := chunk(n)
		if e.usage && n == len(words)-1 {
			data = lastChunk
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		_ = rc.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// idle sends keep-alive comments for d.
func idle(w http.ResponseWriter, r *http.Request, d time.Duration) bool {
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

// run calls test in a synctest bubble.
func run(t *testing.T, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		t.Cleanup(func() {
			r.close()
			time.Sleep(2 * time.Minute) // lets timers end inside the bubble
			synctest.Wait()
		})
		test(t, r)
	})
}

func newRig() *rig {
	r := &rig{engines: make(map[string]*fakeEngine)}
	clients := make(map[deck.BackendName]deck.Engine)
	for _, name := range []string{"e1", "e2"} {
		e := &fakeEngine{}
		r.engines[name] = e
		r.serve(name, &http.Server{Handler: e})
		c := engine.New(name, deck.SystemClock{}, r.net.Dial)
		clients[deck.BackendName(name)] = c
		r.closers = append(r.closers, c.Close)
		r.router.Servers = append(r.router.Servers, deck.BackendServer{Name: deck.BackendName(name), Address: name})
	}
	r.handler = &Handler{
		Router:     &r.router,
		Engine:     func(b deck.BackendServer) deck.Engine { return clients[b.Name] },
		State:      decktest.StateSource{Current: testState},
		Poison:     &r.poison,
		Clock:      deck.SystemClock{},
		VM:         "vm1",
		DataCentre: "here",
	}
	r.serve("entry", NewServer(r.handler))
	transport := &http.Transport{DialContext: r.net.Dial, DisableKeepAlives: true}
	r.client = &http.Client{Transport: transport}
	return r
}

func (r *rig) serve(address string, s *http.Server) {
	l := r.net.Listen(address + ":80")
	go func() { _ = s.Serve(l) }()
	r.closers = append(r.closers, func() { _ = s.Close() })
}

func (r *rig) close() {
	for _, f := range r.closers {
		f()
	}
}

// An answer is a response that was read to its end.
type answer struct {
	status  int
	headers http.Header
	body    string
	err     error
}

func (r *rig) post(ctx context.Context, path, body string, headers ...string) answer {
	return r.send(ctx, http.MethodPost, path, body, headers...)
}

func (r *rig) send(ctx context.Context, method, path, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

const (
	chat       = "/v1/chat/completions"
	streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	wholeBody  = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
)

// wholeStream is the stream of a whole answer.
func wholeStream() string {
	var b strings.Builder
	for n := range words {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, chunk(n))
	}
	return b.String() + "data: [DONE]\n\n"
}
