package ingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

const engineText = "from the engine"

// answers makes answers with the header lines that prove them to be the server's.
var answers = responsetest.Template{Fields: "Call-Id: id-1\r\nSigned: s1\r\n", Body: engineText}

// standIn returns a backend at the server's address.
func standIn(id string, s *responsetest.Server) *backend {
	return &backend{id: deck.BackendName(id), addr: s.Address}
}

// testUnusable checks that none of the answers reaches a caller, and that another server is asked instead where the call may be repeated.
func testUnusable(t *testing.T, unusable []responsetest.Response) {
	for _, a := range unusable {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewServer(t, a.Send)
			h := newHarness(t, once(), standIn("b1", s))
			res := h.call(t, http.MethodPost, "/p/x", "commit")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusBadGateway)
			is.True(!strings.Contains(res.body, engineText))
			is.Equal(s.Requests(), 1)

			h = newHarness(t, idempotent(), standIn("b1", s), newBackend(t, "b2", answerWith("whole")))
			res = h.call(t, http.MethodPost, "/p/x", "lookup")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusOK)
			is.Equal(res.body, "whole")
		})
	}
}

// Guards against an answer whose status line breaks the protocol, such as one with the status 000, and that reaches its caller.
func TestAnswerWithMalformedStatusLineIsNone(t *testing.T) {
	testUnusable(t, answers.MalformedStatusLines())
}

// Guards against a status below 100 that is taken for that of an interim head: the caller waits for another answer on the same connection,
// or is given one that stands in the body.
func TestAnswerWithStatusZeroEndsTheWait(t *testing.T) {
	answer := answers.WithStatusLine("HTTP/1.1 200 OK").Text
	for name, body := range map[string]string{"no body": "", "answer in the body": answer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			zero := responsetest.Template{Fields: answers.Fields, Body: body}.WithStatusLine("HTTP/1.1 000 Unknown")
			h := newHarness(t, once(), newBackend(t, "b1", func(c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, zero.Text)
				return err == nil // the connection stays open
			}))
			res := h.call(t, http.MethodPost, "/p/x", "commit")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusBadGateway) // not the status for a deadline that has passed
		})
	}
}

// Guards against an answer with a malformed field, such as one with a blank or a control byte in its name, that reaches its caller, with
// that line or with a body that is not the server's.
func TestAnswerWithMalformedFieldIsNone(t *testing.T) {
	testUnusable(t, append(answers.MalformedFields(), answers.MalformedTrailers()...))
}

// Guards against an answer that was cut short, or whose chunks are in disorder, and that reaches its caller as complete.
func TestIncompleteAnswerIsNone(t *testing.T) {
	testUnusable(t, answers.Incomplete())
}

// Guards against sound answers that are turned away as malformed, and against unusual ones whose body is changed.
func TestUnusualSoundAnswersAreRelayed(t *testing.T) {
	for _, a := range append(answers.Sound(), answers.WithStatusLine("HTTP/1.1 299 Own")) {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, once(), standIn("b1", responsetest.NewServer(t, a.Send)))
			res := h.call(t, http.MethodPost, "/p/x", "commit")
			is.NoErr(res.err)
			is.True(res.status/100 == 2)
			is.Equal(res.header.Get("Signed"), "s1")
			is.Equal(res.body, engineText)
		})
	}
}

// Guards against a stream with a malformed head that a caller receives, or that continues an interrupted one.
func TestStreamWithMalformedHeadIsNone(t *testing.T) {
	streams := responsetest.Template{Fields: answers.Fields + "Content-Type: text/event-stream\r\n", Body: events(3, 4)}
	for _, malformed := range []responsetest.Response{
		streams.WithStatusLine("HTTP/1.1 000 Unknown"), streams.WithStatusLine("HTTP/1.1 600 Unknown"), streams.WithLine("", "Odd Name: x"),
		streams.WithLine("", "Odd\x01Name: x"),
	} {
		is := is.New(t)
		s := responsetest.NewServer(t, malformed.Send)
		h := newHarness(t, stream(false), standIn("b1", s))
		is.Equal(h.call(t, http.MethodPost, "/p/x", "").status, http.StatusBadGateway)

		first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
			reply(c, r, "200 OK", streamHead, chunk(events(1, 2)))
			return false
		})
		third := newBackend(t, "b3", func(c net.Conn, r *http.Request) bool {
			return reply(c, r, "200 OK", streamHead, chunk(events(3, 3))+"0\r\n\r\n")
		})
		routes := []deck.Route{{Prefix: "/p/", Kind: deck.CallStream, MaxAttempts: 3, Resumable: true}}
		h = newHarness(t, routes, first, standIn("b2", s), third)
		res := h.call(t, http.MethodPost, "/p/x", "")
		is.NoErr(res.err)
		is.Equal(res.body, events(1, 3))
	}
}

// Guards against a request that is refused as one that crashes servers because servers in trouble have answered it with malformed answers.
func TestMalformedAnswersAreNoCrashes(t *testing.T) {
	for _, a := range []responsetest.Response{
		answers.WithStatusLine("HTTP/1.1 000 Unknown"), answers.WithLine("", "Odd\x01Name: x"), answers.WithTrailer("", "Odd Name: x\r\n"),
	} {
		is := is.New(t)
		var backends []*backend
		for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
			backends = append(backends, standIn(id, responsetest.NewServer(t, a.Send)))
		}
		routes := []deck.Route{{Prefix: "/p/", Kind: deck.CallIdempotent, MaxAttempts: len(backends)}}
		h := newHarness(t, routes, backends...)
		is.Equal(h.call(t, http.MethodPost, "/p/x", "lookup").status, http.StatusBadGateway)
		is.Equal(len(h.handler.Poison.Report(time.Now()).Crashes), 0)
		h.setServers(newBackend(t, "b7", answerWith("whole")))
		is.Equal(h.call(t, http.MethodPost, "/p/x", "lookup").body, "whole")
	}
}

// Guards against a liveness answer that breaks the protocol and whose load, or name of another server, is believed.
func TestMalformedLivenessAnswerIsNone(t *testing.T) {
	probed := responsetest.Template{Fields: answers.Fields + "Pace: 2.5\r\nServer-Name: e2\r\n", Body: engineText}
	call := responsetest.Template{Fields: answers.Fields, Body: "e1"}.Unframed()
	for _, a := range append(probed.MalformedStatusLines(), probed.MalformedFields()...) {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			var probes atomic.Int32
			s := responsetest.NewServer(t, func(c *net.TCPConn, r *http.Request) {
				if r.URL.Path == healthPath {
					probes.Add(1)
					a.Send(c, r)
					return
				}
				call.Send(c, r)
			})
			other := newBackend(t, "e3", engineAnswer("e3", healthWithSlowdown("e3", "1")))
			h := newEngineHarness(t, standIn("e1", s), other)
			res := h.call(t, http.MethodPost, "/p/x", "b")
			is.NoErr(res.err)
			is.Equal(res.body, "e1") // not the other one, as if this one were slow or another server
			is.Equal(probes.Load(), int32(1))
		})
	}
}

// Guards against a malformed answer that ends a call which another server is still answering.
func TestMalformedAnswerEndsNoHedgedCall(t *testing.T) {
	for _, a := range []responsetest.Response{answers.WithStatusLine("HTTP/1.1 000 Unknown"), answers.WithLine("", "Odd Name: x")} {
		is := is.New(t)
		asked := make(chan struct{})
		first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
			<-asked
			<-time.After(50 * time.Millisecond) // the malformed answer comes first
			return answerWith("first")(c, r)
		})
		second := responsetest.NewServer(t, func(c *net.TCPConn, r *http.Request) {
			a.Send(c, r)
			close(asked)
		})
		routes := idempotent()
		routes[0].LatencyTarget = time.Minute // no timeout ends the first send
		res := newHedgedHarness(t, routes, first, standIn("b2", second)).call(t, http.MethodGet, "/p/x", "")
		is.NoErr(res.err)
		is.Equal(res.body, "first")
		is.Equal(second.Requests(), 1)
	}
}
