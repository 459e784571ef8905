package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

func itoa(n int) string { return strconv.Itoa(n) }

func once() []deck.Route { return []deck.Route{{Prefix: "/p/", Kind: deck.CallOnce}} }
func idempotent() []deck.Route {
	return []deck.Route{{Prefix: "/p/", Kind: deck.CallIdempotent, MaxAttempts: 2}}
}
func stream(resumable bool) []deck.Route {
	return []deck.Route{{Prefix: "/p/", Kind: deck.CallStream, MaxAttempts: 2, Resumable: resumable}}
}

func resetConnection(c net.Conn, _ *http.Request) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// shed refuses a request with proof that it did not run.
func shed(c net.Conn, _ *http.Request) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, "b1", answerWith("hello"))
	h := newHarness(t, once(), b)
	res := h.call(t, http.MethodPost, "/p/x%2Fy?q=%20a&b", "the body")
	is.NoErr(res.err)
	is.Equal(res.status, http.StatusOK)
	is.Equal(res.body, "hello")
	is.Equal(res.header.Get("Signed"), "s1")
	r := b.requests()[0]
	is.Equal(r.RequestURI, "/p/x%2Fy?q=%20a&b")
	is.Equal(r.Host, "a.example")
	is.Equal(r.Header.Get("Expect-Server"), "b1")
	ms, err := strconv.Atoi(r.Header.Get("Call-Deadline-Ms"))
	is.NoErr(err)
	is.True(ms > 3000 && ms <= 4000) // the remaining time
	body, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(string(body), "the body")
}

func TestNoRouteAndNoConfiguration(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, once())
	is.Equal(h.call(t, http.MethodGet, "/elsewhere/", "").status, http.StatusNotFound)
	h.server.Config.Handler = &ingress.Handler{}
	res := h.call(t, http.MethodGet, "/p/x", "")
	is.Equal(res.status, http.StatusServiceUnavailable) // never 404 before a configuration is known
	is.True(res.header.Get("Retry-After") != "")
}

// Guards against a second run of a call that may run once only, and against an idempotent call that is not retried, for each way
// in which the first server can fail. The second server would answer 200.
// Guards against a final refusal of a route that a newer configuration has, by a VM that is cut off from the control VMs.
func TestMissingRouteIsDeniedOnlyByACurrentConfiguration(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(false))
	age := time.Second
	h.handler.ViewAge = func() time.Duration { return age }
	is.Equal(h.call(t, http.MethodGet, "/unknown/x", "").status, http.StatusNotFound)
	age = 10 * time.Second
	res := h.call(t, http.MethodGet, "/unknown/x", "")
	is.Equal(res.status, http.StatusServiceUnavailable)
	is.True(res.header.Get("Retry-After") != "")
}

func TestFailover(t *testing.T) {
	brokenBody := func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", "Content-Length: 100\r\n", "part")
		return false
	}
	noSignature := func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")
		return false
	}
	unproven503 := func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "503 Busy", "Content-Length: 0\r\n", "")
	}
	other := func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 421 Other\r\nServer-Id: b9\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	error500 := func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "500 Error", "Content-Length: 4\r\n", "oops")
	}
	for _, c := range []struct {
		name   string
		first  func(net.Conn, *http.Request) bool
		once   int // status of a call that may run once only
		repeat int // status of an idempotent call
	}{
		{"reset", resetConnection, http.StatusBadGateway, http.StatusOK},
		{"broken body", brokenBody, http.StatusBadGateway, http.StatusOK},
		{"no signature", noSignature, http.StatusBadGateway, http.StatusOK},
		{"503 without a proof", unproven503, http.StatusBadGateway, http.StatusOK},
		{"server's own error", error500, http.StatusInternalServerError, http.StatusOK},
		{"refused with a proof", shed, http.StatusOK, http.StatusOK},
		{"another server has the address", other, http.StatusOK, http.StatusOK},
	} {
		for kind, routes := range map[string][]deck.Route{"once": once(), "idempotent": idempotent()} {
			t.Run(c.name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				first := newBackend(t, "b1", c.first)
				h := newHarness(t, routes, first, newBackend(t, "b2", answerWith("second")))
				res := h.call(t, http.MethodPost, "/p/x", "body")
				is.NoErr(res.err)
				want := c.once
				if kind == "idempotent" {
					want = c.repeat
				}
				is.Equal(res.status, want)
				is.Equal(len(first.requests()), 1)
			})
		}
	}
}

// Guards against a false 503: it guarantees that the call has not run, so a call that may have run must get a 502.
func TestServiceUnavailableOnlyIfNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, once(), newBackend(t, "b1", shed))
	res := h.call(t, http.MethodPost, "/p/x", "body")
	is.Equal(res.status, http.StatusServiceUnavailable)
	is.True(res.header.Get("Retry-After") != "")
	h = newHarness(t, once(), newBackend(t, "b1", resetConnection), newBackend(t, "b2", shed))
	is.Equal(h.call(t, http.MethodPost, "/p/x", "body").status, http.StatusBadGateway)
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString("id: " + itoa(i) + "\ndata: event " + itoa(i) + "\n\n")
	}
	return b.String()
}

func chunk(s string) string {
	return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n"
}

const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

func TestStreamIsRelayed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(false), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", streamHead, chunk(events(1, 3))+"0\r\n\r\n")
	}))
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 3))
}

// Guards against a truncated stream that looks complete: the caller's connection is aborted, and no partial event relayed.
func TestBrokenStreamIsNotEndedCleanly(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(false), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 2)+"id: 3\ndata: ev"))
		return false
	}))
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.True(res.err != nil)
	is.Equal(res.body, events(1, 2))
}

// Guards against an event without end that takes this VM's memory.
func TestEventWithoutEndBreaksStream(t *testing.T) {
	is := is.New(t)
	sent := make(chan int, 1)
	h := newHarness(t, stream(false), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 1)))
		block := chunk(strings.Repeat("x", 64<<10))
		for total := 0; ; {
			n, err := io.WriteString(c, block)
			total += n
			if err != nil {
				sent <- total
				return false
			}
		}
	}))
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.True(res.err != nil)
	is.Equal(res.body, events(1, 1))
	is.True(<-sent < 32<<20) // the rest is in the sockets' buffers
}

// Guards against an answer without a length that ends within an event and looks complete to the caller.
func TestStreamThatEndsWithinEventIsBroken(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(false), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n", events(1, 2)+"id: 3\ndata: ev")
		return false
	}))
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.True(res.err != nil)
	is.Equal(res.body, events(1, 2))
}

// Guards against a stalled stream that never ends because its engine sends comments or blank lines now and then.
func TestStreamWithoutEventsMovesToAnotherServer(t *testing.T) {
	for _, filler := range []string{": still here\n\n", "\n", ":\n"} {
		is := is.New(t)
		second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
			return reply(c, r, "200 OK", streamHead, chunk(events(2, 3))+"0\r\n\r\n")
		})
		first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
			ok := reply(c, r, "200 OK", streamHead, chunk(events(1, 1)))
			for ok {
				<-time.After(20 * time.Millisecond)
				_, err := io.WriteString(c, chunk(filler))
				ok = err == nil
			}
			return false
		})
		h := newHarness(t, stream(true), first, second)
		h.handler.MinStall = time.Millisecond
		res := h.call(t, http.MethodPost, "/p/x", "")
		is.NoErr(res.err)
		is.True(strings.HasSuffix(res.body, events(2, 3)))
	}
}

func TestResumableStreamContinuesOnAnotherServer(t *testing.T) {
	is := is.New(t)
	second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		return reply(c, r, "200 OK", streamHead, chunk(events(after+1, 5))+"0\r\n\r\n")
	})
	first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 2)+"id: 3\nda"))
		return false
	})
	h := newHarness(t, stream(true), first, second)
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 5))
	is.Equal(second.requests()[0].Header.Get("Last-Event-Id"), "2")
}

// TestInterruptedStreamIsNotContinuedByAnError guards against the text or the head of another server's error in the middle of a stream,
// and against a stream that then ends as if it were complete.
func TestInterruptedStreamIsNotContinuedByAnError(t *testing.T) {
	for _, tc := range []struct{ name, status, header, body string }{
		{"server error", "500 Internal Server Error", "", "failed"},
		{"event stream with an error status", "500 Internal Server Error", "Content-Type: text/event-stream\r\n", events(3, 5)},
		{"rejection", "400 Bad Request", "", "bad request"},
		{"refusal", "503 Service Unavailable", "Not-Run: 1\r\n", "full"},
		{"refusal with a pause", "503 Service Unavailable", "Not-Run: 1\r\nRetry-After: 2\r\n", "full"},
		{"answer without events", "200 OK", "Content-Type: application/json\r\n", "{}"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
				reply(c, r, "200 OK", streamHead, chunk(events(1, 2)))
				return false
			})
			second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
				return reply(c, r, tc.status, tc.header+"Content-Length: "+itoa(len(tc.body))+"\r\n", tc.body)
			})
			res := newHarness(t, stream(true), first, second).call(t, http.MethodPost, "/p/x", "")
			is.True(res.err != nil) // the caller must not take the stream for a complete one
			is.Equal(res.body, events(1, 2))
		})
	}
}

// Guards against duplicate events when an engine restarts the stream from the beginning instead of resuming it.
func TestResumedStreamSkipsRepeatedEvents(t *testing.T) {
	is := is.New(t)
	first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 2)))
		return false
	})
	second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", streamHead, chunk(events(1, 4))+"0\r\n\r\n")
	})
	h := newHarness(t, stream(true), first, second)
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 4))
}

// Guards against aborting a stalled stream although no other engine could continue it.
func TestStalledStreamIsKeptWithoutAlternative(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(true), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 1)))
		<-time.After(500 * time.Millisecond) // longer than the latency target, after which a stream may move to another engine
		_, err := io.WriteString(c, chunk(events(2, 2))+"0\r\n\r\n")
		return err == nil
	}))
	h.handler.MinStall = time.Millisecond
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 2))
}

// Load pattern: the only engine that holds a model has more calls than it answers in time. Guards against cancelling a call that
// no other engine can take, after which the engine also counts as unreachable for the calls behind it.
func TestSlowAnswerIsAwaitedWithoutAlternative(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(true), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		<-time.After(900 * time.Millisecond) // several times the latency target
		return reply(c, r, "200 OK", streamHead, chunk(events(1, 2))+"0\r\n\r\n")
	}))
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.status, http.StatusOK)
	is.Equal(res.body, events(1, 2))
}

// Guards against streams with a pause beyond the target of their route that the placement takes for served in time.
func TestLateStreamsAreCounted(t *testing.T) {
	is := is.New(t)
	routes := stream(true)
	routes[0].EventGapTarget = 100 * time.Millisecond
	pause := time.Duration(0)
	b := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 1)))
		<-time.After(pause)
		_, err := io.WriteString(c, chunk(events(2, 2))+"0\r\n\r\n")
		return err == nil
	})
	h := newHarness(t, routes, b)
	h.handler.SetRoutes(table.New(&deck.RoutingConfig{
		Routes: routes, Services: []deck.RoutedService{{Name: "svc", Engine: &deck.EngineSpec{}}},
	}))
	h.balancer.SetServers(time.Now(), []deck.Server{
		{ID: b.id, Service: "svc", Address: b.addr, Slots: 8, Models: []deck.HeldModel{{Name: "m1"}}},
	})
	for _, pause = range []time.Duration{0, 250 * time.Millisecond} {
		is.NoErr(h.call(t, http.MethodPost, "/p/x?model=m1", "").err)
	}
	counted := h.handler.Demand.Take()
	is.Equal(len(counted), 1)
	is.Equal(counted[0].Streams, 2)
	is.Equal(counted[0].LateStreams, 1)
}

func TestAnswerWithoutLengthIsRelayed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, once(), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", "Connection: close\r\n", "to the end")
		return false
	}))
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, "to the end")
}

func TestDeadlineReturnsGatewayTimeout(t *testing.T) {
	is := is.New(t)
	routes := once()
	routes[0].Timeout = 150 * time.Millisecond
	stop := make(chan struct{})
	h := newHarness(t, routes, newBackend(t, "b1", func(net.Conn, *http.Request) bool {
		<-stop
		return false
	}))
	defer close(stop)
	start := time.Now()
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.Equal(res.status, http.StatusGatewayTimeout) // not 503, since the call may have run
	is.True(time.Since(start) < 2*time.Second)
}

// Guards against a backend request that keeps running after its caller has disconnected.
func TestCallerDisconnectCancelsBackendRequest(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	h := newHarness(t, once(), newBackend(t, "b1", func(c net.Conn, _ *http.Request) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1)) // until the connection is closed
		close(ended)
		return false
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		h.callContext(ctx, t, http.MethodPost, "/p/x", "")
		return nil
	})
	<-arrived
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the backend server was not closed")
	}
	is.NoErr(g.Wait())
}

// Guards against a request that crashes one server after another. It is refused after it has crashed three different servers;
// other requests are still served.
func TestPoisonRequestIsRefused(t *testing.T) {
	is := is.New(t)
	routes := idempotent()
	routes[0].MaxAttempts = 1
	h := newHarness(t, routes)
	for i := range 3 {
		h.setServers(newBackend(t, "crash-"+itoa(i), resetConnection))
		is.Equal(h.call(t, http.MethodPost, "/p/x", "poison").status, http.StatusBadGateway)
	}
	healthy := newBackend(t, "healthy", answerWith("ok"))
	h.setServers(healthy)
	is.Equal(h.call(t, http.MethodPost, "/p/x", "poison").status, http.StatusUnprocessableEntity)
	is.Equal(h.call(t, http.MethodPost, "/p/x", "harmless").status, http.StatusOK)
	is.Equal(len(healthy.requests()), 1)
}

// Guards against a stream that crashes each engine after the head of its answer and is never refused.
func TestPoisonStreamIsRefused(t *testing.T) {
	is := is.New(t)
	crash := func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, "")
		return false
	}
	h := newHarness(t, stream(false))
	for i := range 3 {
		h.setServers(newBackend(t, "crash-"+itoa(i), crash))
		is.True(h.call(t, http.MethodPost, "/p/x", "poison").err != nil)
	}
	healthy := newBackend(t, "healthy", answerWith("ok"))
	h.setServers(healthy)
	is.Equal(h.call(t, http.MethodPost, "/p/x", "poison").status, http.StatusUnprocessableEntity)
	is.Equal(len(healthy.requests()), 0)
}

func TestDrainClosesConnections(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, once(), newBackend(t, "b1", answerWith("ok")))
	h.handler.Drain()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.server.URL+"/p/x", nil)
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("Call-Id", "id-1")
	r.Header.Set("Call-Deadline-Ms", "4000")
	resp, err := h.server.Client().Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

// Guards against calls in flight at the end of a planned stop whose connections are closed without an answer.
func TestCallsInFlightAreAnsweredBeforeTheStop(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	defer close(release)
	h := newHarness(t, once(), newBackend(t, "b1", func(net.Conn, *http.Request) bool {
		arrived <- struct{}{}
		<-release
		return false
	}))
	results := make(chan result, 1)
	var g errgroup.Group
	g.Go(func() error {
		results <- h.call(t, http.MethodPost, "/p/x", "commit")
		return nil
	})
	<-arrived
	h.handler.Drain()
	h.handler.EndCalls()
	res := <-results
	is.NoErr(res.err)
	is.Equal(res.status, http.StatusGatewayTimeout) // it may have run
	is.NoErr(g.Wait())

	h.setServers() // none
	res = h.call(t, http.MethodPost, "/p/x", "commit")
	is.NoErr(res.err)
	is.Equal(res.status, http.StatusServiceUnavailable) // it has not run
}

// Guards against a data race between the stall timer and a stream that breaks at the same time: both use the set of servers that
// the call was offered to.
func TestStallTimerRacesStreamFailure(t *testing.T) {
	is := is.New(t)
	const target = 20 * time.Millisecond
	broken := func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 2)))
		<-time.After(target) // the stream breaks just when the stall timer fires
		return false
	}
	routes := stream(true)
	routes[0].MaxAttempts, routes[0].LatencyTarget = 4, target
	h := newHarness(t, routes, newBackend(t, "b1", broken), newBackend(t, "b2", broken), newBackend(t, "b3", broken))
	h.handler.MinStall = time.Nanosecond
	var g errgroup.Group
	for range 40 {
		g.Go(func() error {
			if res := h.call(t, http.MethodPost, "/p/x", ""); res.status == http.StatusOK && res.err == nil {
				return errors.New("an interrupted stream ended as complete")
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
}
