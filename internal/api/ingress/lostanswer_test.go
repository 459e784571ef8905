package ingress_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// resetAfter sends the first n bytes of an answer and resets the connection.
func resetAfter(n int) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, lostAnswer(r)[:n]) // the connection ends in any case
		return resetConnection(c, r)
	}
}

// closeAfter sends the first n bytes of an answer and closes the connection.
func closeAfter(n int) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, lostAnswer(r)[:n]) // the connection ends in any case
		return false
	}
}

func lostAnswer(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nCall-Id: " + r.Header.Get("Call-Id") + "\r\nSigned: s1\r\nContent-Length: 4\r\n\r\nbody"
}

// Guards against a call that has run and is run again, or is said not to have run, after its answer was lost at any byte; and against
// an answer that broke off and reaches the caller as a complete one.
func TestAnswerLostAtAnyByte(t *testing.T) {
	is := is.New(t)
	r := &http.Request{Header: http.Header{"Call-Id": {"id-1"}}}
	for i := range 2 * len(lostAnswer(r)) {
		n, end := i/2, resetAfter
		if i%2 == 1 {
			end = closeAfter
		}
		first, second := newBackend(t, "b1", end(n)), newBackend(t, "b2", end(n))
		h := newHarness(t, []deck.Route{{Prefix: "/p/", Kind: deck.CallOnce, MaxAttempts: 2}}, first, second)
		res := h.call(t, http.MethodPost, "/p/x", "commit")
		is.Equal(len(first.requests())+len(second.requests()), 1)
		is.Equal(res.status, http.StatusBadGateway) // promises nothing

		second = newBackend(t, "b2", answerWith("whole"))
		h = newHarness(t, []deck.Route{{Prefix: "/p/", Kind: deck.CallIdempotent, MaxAttempts: 2}}, first, second)
		res = h.call(t, http.MethodPost, "/p/x", "lookup")
		is.NoErr(res.err)
		is.Equal(res.body, "whole")
	}
}
