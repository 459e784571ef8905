package ingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	eventStream = "Content-Type: text/event-stream\r\n"
	unframed    = "Connection: close\r\n" // the body has neither a length nor chunks
)

// Guards against an answer that was broken off within an event, whatever marks its end, and reaches the caller as complete.
func TestAnswerThatEndsWithinEventIsBroken(t *testing.T) {
	partial := events(1, 2) + "id: 3\ndata: event 3\n"
	length := "Content-Length: " + itoa(len(partial)) + "\r\n"
	for _, tc := range []struct {
		name   string
		routes []deck.Route
		head   string
		body   string
	}{
		{"stream with a length", stream(false), length, partial},
		{"stream in chunks", stream(false), "Transfer-Encoding: chunked\r\n", chunk(partial) + "0\r\n\r\n"},
		{"stream that ends with its connection", stream(false), unframed, partial},
		{"buffered answer with a length", idempotent(), length, partial},
		{"buffered answer that ends with its connection", idempotent(), unframed, partial},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tc.routes, newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
				reply(c, r, "200 OK", eventStream+tc.head, tc.body)
				return false
			}))
			res := h.call(t, http.MethodPost, "/p/x", "")
			is.True(res.err != nil || res.status == http.StatusBadGateway) // a failure, or an answer that ends uncleanly
			is.True(!strings.Contains(res.body, "event 3"))
		})
	}
}

// Guards against a large answer, relayed while it is read, that was broken off within an event and ends cleanly.
func TestLargeAnswerThatEndsWithinEventIsBroken(t *testing.T) {
	is := is.New(t)
	whole := strings.Repeat(events(1, 1), 20_000)
	for _, tc := range []struct {
		body   string
		broken bool
	}{{whole, false}, {whole[:len(whole)-1], true}} {
		h := newHarness(t, idempotent(), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
			reply(c, r, "200 OK", eventStream+unframed, tc.body)
			return false
		}))
		is.Equal(h.call(t, http.MethodPost, "/p/x", "").err != nil, tc.broken)
	}
}

// Guards against a stream whose connection was lost before the first event and that reaches the caller as a complete answer
// without content.
func TestStreamThatEndsBeforeItsFirstEventIsBroken(t *testing.T) {
	for _, before := range []string{"", ": preparing\n\n", "\n"} {
		is := is.New(t)
		first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
			reply(c, r, "200 OK", eventStream+unframed, before)
			return false
		})
		h := newHarness(t, stream(false), first)
		is.True(h.call(t, http.MethodPost, "/p/x", "").err != nil)

		second := newBackend(t, "b2", func(c net.Conn, r *http.Request) bool {
			return reply(c, r, "200 OK", streamHead, chunk(events(1, 3))+"0\r\n\r\n")
		})
		h = newHarness(t, stream(true), first, second)
		res := h.call(t, http.MethodPost, "/p/x", "")
		is.NoErr(res.err)
		is.True(strings.HasSuffix(res.body, events(1, 3)))
	}
}

// Guards against an answer that was broken off and looks complete to a caller of HTTP/1.0, whose answers end with the connection.
func TestBrokenAnswerOfHTTP10CallerIsReset(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stream(false), newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
		reply(c, r, "200 OK", streamHead, chunk(events(1, 2)+"id: 3\ndata: ev"))
		return false
	}))
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.WriteString(c, "POST /p/x HTTP/1.0\r\nHost: a.example\r\nCall-Id: id-1\r\nCall-Deadline-Ms: 4000\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(err != nil) // a clean end of the connection would end the answer
}
