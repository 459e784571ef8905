package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/notice"
)

// A backend is a fake backend server whose connections are scripted.
type backend struct {
	id   deck.BackendName
	addr string

	mu       sync.Mutex
	received []*http.Request
}

func (b *backend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*http.Request(nil), b.received...)
}

// newBackend starts a backend that calls answer with the connection for each request and keeps the connection if it returns true.
func newBackend(t *testing.T, id string, answer func(c net.Conn, r *http.Request) bool) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{id: deck.BackendName(id), addr: l.Addr().String()}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer func() { _ = c.Close() }()
				b.serve(c, answer)
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return b
}

func (b *backend) serve(c net.Conn, answer func(net.Conn, *http.Request) bool) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		b.received = append(b.received, req)
		b.mu.Unlock()
		if !answer(c, req) {
			return
		}
	}
}

// reply writes a response with the headers that prove it to be the backend server's own; it returns false if that fails.
func reply(c net.Conn, r *http.Request, status, more, body string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nCall-Id: "+r.Header.Get("Call-Id")+
		"\r\nSigned: s1\r\n"+more+"\r\n"+body)
	return err == nil
}

func answerWith(body string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", "Content-Length: "+itoa(len(body))+"\r\n", body)
	}
}

// A harness is an entry VM's handler with fake backend servers.
type harness struct {
	handler  *ingress.Handler
	balancer *balance.Balancer
	limits   *restraint.Table
	server   *httptest.Server
	placer   *fakePlacer
}

type fakePlacer struct {
	mu    sync.Mutex
	asked int
	last  deck.PlacementRequest
	place func() deck.Placement
}

func (f *fakePlacer) Place(_ context.Context, r deck.PlacementRequest) (deck.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	f.last = r
	if f.place == nil {
		return deck.Placement{}, nil
	}
	return f.place(), nil
}

// A zeroRand returns 0 each time, so that choices are deterministic.
type zeroRand struct{}

func (zeroRand) Float64() float64 { return 0 }
func (zeroRand) IntN(int) int     { return 0 }

func newHarness(t *testing.T, routes []deck.Route, backends ...*backend) *harness {
	t.Helper()
	restraints := &restraint.Table{}
	balancer := balance.NewBalancer(func(deck.DataCentre) balance.Distance { return balance.SameDataCentre }, zeroRand{}, restraints)
	budget := &balance.RetryBudget{}
	budget.SetLimits(10*time.Second, 0.2, 20)
	h := &harness{balancer: balancer, limits: restraints, placer: &fakePlacer{}}
	h.handler = &ingress.Handler{
		Codec: testCodec{}, Balancer: balancer, Budget: budget, Placer: h.placer, Demand: &ingress.DemandCounter{},
		Poison: &ingress.PoisonDetector{}, Random: zeroRand{}, Log: logr.Discard(), Restraints: restraints,
		Client: &http1.Client{
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			},
			DialTimeout: time.Second, IdleTimeout: time.Minute,
		},
	}
	for i := range routes {
		routes[i].Host, routes[i].Targets = "a.example", []deck.RouteTarget{{Service: "svc", Weight: 1}}
		if routes[i].Timeout == 0 {
			routes[i].Timeout = 5 * time.Second
		}
		if routes[i].LatencyTarget == 0 {
			routes[i].LatencyTarget = 200 * time.Millisecond
		}
		routes[i].MaxAttempts = max(1, routes[i].MaxAttempts)
	}
	h.handler.SetRoutes(table.New(&deck.RoutingConfig{
		Version: 1, Routes: routes, Services: []deck.RoutedService{{Name: "svc"}},
		Limits: deck.CallerLimits{MaxBodyBytes: 1 << 20},
	}))
	h.setServers(backends...)
	h.server = httptest.NewServer(h.handler)
	t.Cleanup(h.server.Close)
	return h
}

func (h *harness) setServers(backends ...*backend) {
	var servers []deck.Server
	for _, b := range backends {
		servers = append(servers, deck.Server{ID: b.id, Service: "svc", Address: b.addr, Slots: 8})
	}
	h.balancer.SetServers(time.Now(), servers)
}

// A result is the answer that the caller received.
type result struct {
	status int
	header http.Header
	body   string
	err    error // the answer was interrupted
}

func (h *harness) call(t *testing.T, method, path, body string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return h.callContext(ctx, t, method, path, body)
}

func (h *harness) callContext(ctx context.Context, t *testing.T, method, path, body string, parts ...string) result {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(ctx, method, h.server.URL+path, strings.NewReader(body))
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("Call-Id", "id-1")
	r.Header.Set("Call-Deadline-Ms", "4000")
	r.Header.Set("Prompt-Parts", strings.Join(parts, " "))
	resp, err := h.server.Client().Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(data), err}
}

// A testCodec implements a protocol like the platform's with header names of its own.
type testCodec struct{}

func (testCodec) ReadCall(r *http.Request) (deck.Call, error) {
	ms, err := strconv.Atoi(r.Header.Get("Call-Deadline-Ms"))
	c := deck.Call{
		ID: deck.RequestID(r.Header.Get("Call-Id")), Timeout: time.Duration(ms) * time.Millisecond,
		LastEventID: r.Header.Get("Last-Event-Id"), Resumes: deck.RequestID(r.Header.Get("Resumes")),
		Model: deck.ModelName(r.URL.Query().Get("model")), Adapter: deck.AdapterName(r.URL.Query().Get("adapter")),
	}
	for _, key := range r.Header.Values("Call-Key") {
		c.Keys = append(c.Keys, deck.APIKey(key))
	}
	for _, id := range strings.Fields(r.Header.Get("Prompt-Parts")) {
		c.Parts = append(c.Parts, deck.PromptPart{ID: id, Tokens: 100})
	}
	return c, err
}

func (testCodec) SetHeaders(h http.Header, o deck.Offer) {
	h.Set("Expect-Server", string(o.Server.ID))
	h.Set("Call-Deadline-Ms", strconv.FormatInt(o.Remaining.Milliseconds(), 10))
	if o.LastEventID != "" {
		h.Set("Last-Event-Id", o.LastEventID)
	}
	h.Set("Call-Priority", strconv.Itoa(o.Priority))
	if o.HideKeys {
		h.Del("Call-Key")
	}
	h.Del("Call-Customer")
	if o.Customer != "" {
		h.Set("Call-Customer", string(o.Customer))
	}
}

func (testCodec) ReadHealth(resp *http.Response) (h deck.ServerHealth, ok bool) {
	slowdown, err := strconv.ParseFloat(resp.Header.Get("Pace"), 64)
	h.Server = deck.BackendName(resp.Header.Get("Server-Name"))
	h.Load = deck.ServerLoad{Slots: 8, Slowdown: slowdown}
	h.HasLoad = err == nil
	h.Notice = notice.FromHeader(resp.StatusCode, resp.Header)
	return h, true
}

func (testCodec) ReadAnswer(c deck.Call, resp *http.Response) deck.Answer {
	a := deck.Answer{
		Verdict: deck.AnswerComplete, Identified: resp.Header.Get("Call-Id") == string(c.ID),
		Notice: notice.FromHeader(resp.StatusCode, resp.Header),
	}
	switch {
	case resp.Header.Get("Not-Run") != "":
		a.Verdict = deck.AnswerNotRun
	case resp.Header.Get("Not-Loaded") != "":
		a.Verdict = deck.AnswerNotLoaded
	case resp.StatusCode == http.StatusMisdirectedRequest:
		a.Verdict = deck.AnswerOtherServer
	case resp.Header.Get("Call-Id") != string(c.ID):
		a.Verdict = deck.AnswerOtherCall
	case resp.StatusCode == http.StatusServiceUnavailable:
		a.Verdict = deck.AnswerInconclusive
	}
	return a
}
