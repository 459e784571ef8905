package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/hedge"
)

// enableHedges makes answers count as late after a few milliseconds, with room in the limit for some second sends.
func (h *harness) enableHedges(key hedge.Key) {
	h.handler.Hedges = &hedge.Hedger{}
	h.handler.Hedges.SetLimit(0.2, time.Hour)
	now := time.Now()
	for range 100 {
		h.handler.Hedges.RecordCall(now, "svc")
		h.handler.Hedges.RecordLatency(now, key, 5*time.Millisecond)
	}
}

func newHedgedHarness(t *testing.T, routes []deck.Route, backends ...*backend) *harness {
	t.Helper()
	h := newHarness(t, routes, backends...)
	h.enableHedges(hedge.Key{Route: routes[0].Name})
	return h
}

// awaitClose answers nothing until the connection is closed, then closes the channel.
func awaitClose(closed chan<- struct{}) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = bufio.NewReader(c).ReadByte()
		close(closed)
		return false
	}
}

// TestSecondServerAnswersLateCall guards against callers who wait for a server that is stuck, and against a send that goes on after another
// server has answered.
func TestSecondServerAnswersLateCall(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	first, second := newBackend(t, "b1", awaitClose(closed)), newBackend(t, "b2", answerWith("second"))
	routes := idempotent()
	routes[0].LatencyTarget = time.Minute // no timeout ends the first send
	h := newHedgedHarness(t, routes, first, second)
	res := h.call(t, http.MethodGet, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, "second")
	<-closed
	is.Equal(h.handler.Hedges.Counts(), hedge.Counts{Sent: 1, Won: 1, Cancelled: 1})
	is.Equal(len(h.balancer.ReportInFlight()), 0)
	is.Equal(len(first.requests()), 1)
	is.Equal(len(second.requests()), 1)
}

// TestFirstServerStillWins guards against a late answer that is dropped although it begins before that of the second server.
func TestFirstServerStillWins(t *testing.T) {
	is := is.New(t)
	closed, asked := make(chan struct{}), make(chan struct{})
	first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		<-asked
		return answerWith("first")(c, r)
	})
	second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
		close(asked)
		return awaitClose(closed)(c, r)
	})
	h := newHedgedHarness(t, idempotent(), first, second)
	res := h.call(t, http.MethodGet, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, "first")
	<-closed
	is.Equal(h.handler.Hedges.Counts(), hedge.Counts{Sent: 1, Cancelled: 1})
	is.Equal(len(h.balancer.ReportInFlight()), 0)
}

// TestLateStreamMovesBeforeItsFirstEvent guards against a server that sends the head of a stream and no event, and against events of two
// servers in one answer.
func TestLateStreamMovesBeforeItsFirstEvent(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead+"Server-Name: b1\r\n", chunk(": wait\n\n")+"6\r\nid: 1\n")
		return awaitClose(closed)(c, r)
	})
	second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", streamHead+"Server-Name: b2\r\n", chunk(events(1, 3))+"0\r\n\r\n")
	})
	h := newHedgedHarness(t, stream(true), first, second)
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 3))
	is.Equal(res.header.Get("Server-Name"), "b2")
	<-closed
	is.Equal(h.handler.Hedges.Counts().Won, int64(1))
}

// TestHedgedStreamIsResumed guards against a stream that can't be continued once its call was sent to two servers.
func TestHedgedStreamIsResumed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	first := newBackend(t, "b1", awaitClose(closed))
	second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 2)+"id: 3\nda"))
		return false
	})
	third := newBackend(t, "b3", func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", streamHead, chunk(events(3, 5))+"0\r\n\r\n")
	})
	routes := stream(true)
	routes[0].MaxAttempts, routes[0].LatencyTarget = 3, time.Minute
	h := newHedgedHarness(t, routes, first, second, third)
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 5))
	<-closed
}

// TestPauseBeforeFirstEventAloneEndsNoStream guards against a stream that is given up for a pause although no other server can take it.
func TestPauseBeforeFirstEventAloneEndsNoStream(t *testing.T) {
	is := is.New(t)
	only := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, "")
		<-time.After(50 * time.Millisecond)
		_, err := io.WriteString(c, chunk(events(1, 3))+"0\r\n\r\n")
		return err == nil
	})
	routes := stream(true)
	routes[0].LatencyTarget = time.Millisecond
	h := newHedgedHarness(t, routes, only)
	h.handler.MinStall = time.Millisecond
	res := h.call(t, http.MethodPost, "/p/x", "")
	is.NoErr(res.err)
	is.Equal(res.body, events(1, 3))
	is.Equal(len(only.requests()), 1)
}

// TestBothSendsFail guards against a call that is sent to more servers than its route allows, and against two failures that count as two
// calls.
func TestBothSendsFail(t *testing.T) {
	failing := func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "500 Failed", "Content-Length: 6\r\n", "failed")
	}
	for _, tt := range []struct {
		name          string
		first, second func(net.Conn, *http.Request) bool
		maxAttempts   int
		status        int
		body          string
	}{
		{"both broken", resetConnection, resetConnection, 2, 502, ""},
		{"a third server may run it", resetConnection, resetConnection, 3, 200, "third"},
		{"error and broken", failing, resetConnection, 2, 500, "failed"},
		{"broken and error", resetConnection, failing, 2, 500, "failed"},
		{"both errors", failing, failing, 2, 500, "failed"},
		{"refused and broken", shed, resetConnection, 2, 200, "third"}, // it has run once
		{"both refused", shed, shed, 2, 200, "third"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			both := make(chan struct{})
			first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
				<-both
				return tt.first(c, r)
			})
			second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
				close(both)
				return tt.second(c, r)
			})
			third := newBackend(t, "b3", answerWith("third"))
			routes := idempotent()
			routes[0].MaxAttempts = tt.maxAttempts
			h := newHedgedHarness(t, routes, first, second, third)
			res := h.call(t, http.MethodGet, "/p/x", "")
			is.NoErr(res.err)
			is.Equal(res.status, tt.status)
			if tt.body != "" {
				is.Equal(res.body, tt.body)
			}
			is.Equal(h.handler.Hedges.Counts(), hedge.Counts{Sent: 1})
			is.Equal(len(h.balancer.ReportInFlight()), 0)
		})
	}
}

// TestFailedSendLeavesTheOther guards against a call that fails with one of its two sends although the other is answered.
func TestFailedSendLeavesTheOther(t *testing.T) {
	for name, failure := range map[string]func(net.Conn, *http.Request) bool{
		"broken": resetConnection, "refused": shed,
		"error": func(c net.Conn, r *http.Request) bool {
			return reply(c, r, "500 Failed", "Content-Length: 0\r\n", "")
		},
		"other request": func(c net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nCall-Id: other\r\nContent-Length: 5\r\n\r\nother")
			return err == nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			failed := make(chan struct{})
			first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
				<-failed
				return answerWith("first")(c, r)
			})
			second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
				defer close(failed)
				return failure(c, r)
			})
			h := newHedgedHarness(t, idempotent(), first, second)
			res := h.call(t, http.MethodGet, "/p/x", "")
			is.NoErr(res.err)
			is.Equal(res.body, "first")
			is.Equal(h.handler.Hedges.Counts().Sent, int64(1))
			is.Equal(h.handler.Hedges.Counts().Won, int64(0))
		})
	}
}

// TestLateAnswerOfCancelledSendReachesNoCaller guards against a connection that is reused although the answer to a cancelled send may still
// arrive on it.
func TestLateAnswerOfCancelledSendReachesNoCaller(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	connections := make(chan net.Conn, 2)
	first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		connections <- c
		if len(connections) == 2 {
			return answerWith("first")(c, r)
		}
		<-answered
		return reply(c, r, "200 OK", "Content-Length: 4\r\n", "late")
	})
	second := newBackend(t, "b2", answerWith("second"))
	routes := idempotent()
	routes[0].LatencyTarget = time.Minute
	h := newHedgedHarness(t, routes, first, second)
	is.Equal(h.call(t, http.MethodGet, "/p/x", "").body, "second")
	close(answered)
	h.setServers(first)
	is.Equal(h.call(t, http.MethodGet, "/p/x", "").body, "first")
	is.True(<-connections != <-connections)
}

// TestNoSecondSend guards against a second send where the rules, the route or the servers allow none: the call waits for its first server.
func TestNoSecondSend(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) bool {
		<-time.After(50 * time.Millisecond)
		return answerWith("first")(c, r)
	}
	slowStream := func(c net.Conn, r *http.Request) bool {
		<-time.After(50 * time.Millisecond)
		return reply(c, r, "200 OK", streamHead, chunk(events(1, 1))+"0\r\n\r\n")
	}
	oneAttempt := idempotent()
	oneAttempt[0].MaxAttempts = 1
	for _, tt := range []struct {
		name   string
		routes []deck.Route
		answer func(net.Conn, *http.Request) bool
		change func(*harness, *backend)
	}{
		{"not repeatable", once(), slow, func(*harness, *backend) {}},
		{"stream that can't be resumed", stream(false), slowStream, func(*harness, *backend) {}},
		{"one attempt", oneAttempt, slow, func(*harness, *backend) {}},
		{"retry budget is spent", idempotent(), slow, func(h *harness, _ *backend) { h.handler.Budget.SetLimits(time.Hour, 0, 1) }},
		{"limit is reached", idempotent(), slow, func(h *harness, _ *backend) { h.handler.Hedges.SetLimit(0.001, time.Hour) }},
		{"no limit is set", idempotent(), slow, func(h *harness, _ *backend) { h.handler.Hedges.SetLimit(0, time.Hour) }},
		{"other server is full", idempotent(), slow, func(h *harness, b *backend) { h.balancer.RecordFull(time.Now().Add(time.Hour), b.id) }},
		{"other server is avoided", idempotent(), slow, func(h *harness, b *backend) { h.balancer.RecordUnreachable(time.Now().Add(time.Hour), b.id) }},
		{"overload", idempotent(), slow, func(h *harness, _ *backend) {
			for range 100 {
				h.handler.Hedges.RecordTurnedAway(time.Now(), "svc")
			}
		}},
		{"VM stops", idempotent(), slow, func(h *harness, _ *backend) { h.handler.EndCallsAt(time.Now().Add(time.Hour)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first, second := newBackend(t, "b1", tt.answer), newBackend(t, "b2", answerWith("second"))
			routes := tt.routes
			routes[0].LatencyTarget = time.Minute
			h := newHedgedHarness(t, routes, first, second)
			tt.change(h, second)
			res := h.call(t, http.MethodPost, "/p/x", "")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusOK)
			is.Equal(len(first.requests()), 1)
			is.Equal(len(second.requests()), 0)
			is.Equal(h.handler.Hedges.Counts().Sent, int64(0))
		})
	}
}
