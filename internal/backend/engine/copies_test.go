package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A raw writes a response to a connection as it is.
func raw(w http.ResponseWriter, responses ...string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, r := range responses {
		_, _ = buf.WriteString(r)
	}
	_ = buf.Flush()
}

// streamOf returns a complete stream with one token that names the request.
func streamOf(id string) string {
	body := fmt.Sprintf("id: 0\ndata: {\"of\":%q}\n\ndata: [DONE]\n\n", id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBoot-ID: b1\r\nContent-Length: %d\r\n", len(body)) + "%s\r\n" + body
}

// TestCopiesOnKeptConnections guards against a copy of an earlier answer or refusal that an engine writes on a kept connection and that
// is taken for the answer to the next request: the caller gets another one's answer, or is told that a request that runs has not run.
func TestCopiesOnKeptConnections(t *testing.T) {
	const drainingRefusal = "HTTP/1.1 503 Service Unavailable\r\nDraining: true\r\nContent-Length: 0\r\n%s\r\n"
	for _, tc := range []struct {
		name     string
		copied   string
		identify bool // the engine repeats the IDs of requests
	}{
		{"answer", streamOf("r1"), true},
		{"refusal", drainingRefusal, true},
		{"answer of an engine that repeats no IDs", streamOf("r1"), false},
		{"refusal of an engine that repeats no IDs", drainingRefusal, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var calls atomic.Int32
			h := func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("Request-ID")
				own, copied := "Request-ID: "+id+"\r\n", "Request-ID: r1\r\n"
				if !tc.identify {
					own, copied = "", ""
					w.Header().Del("Request-ID")
				}
				if calls.Add(1) == 1 {
					emit(w, r, "id: 0\ndata: {\"of\":\"r1\"}\n\n", "data: [DONE]\n\n")
					return
				}
				if r.Close {
					raw(w, fmt.Sprintf(streamOf(id), own)) // a new connection has no earlier answer
					return
				}
				raw(w, fmt.Sprintf(tc.copied, copied), fmt.Sprintf(streamOf(id), own))
			}
			withEngine(t, h, func(t *testing.T, r *testEnv) {
				is := is.New(t)
				_, err := collectData(t.Context(), r.client, "r1")
				is.NoErr(err)
				data, err := collectData(t.Context(), r.client, "r2")
				if err != nil {
					is.Equal(errorKind(err), "broken") // the request may have run
					return
				}
				is.Equal(data, `{"of":"r2"}`)
			})
		})
	}
}

// TestConnectionWithAnAnswerDueIsNotReused guards against a connection that returns to the pool after a copy of an earlier refusal has been
// read on it, although the answer to the request is still due.
func TestConnectionWithAnAnswerDueIsNotReused(t *testing.T) {
	var calls atomic.Int32
	h := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) != 2 {
			emit(w, r, "id: 0\ndata: {\"of\":\"any\"}\n\n", "data: [DONE]\n\n")
			return
		}
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = buf.WriteString("HTTP/1.1 503 Service Unavailable\r\nRequest-ID: r1\r\nContent-Length: 0\r\n\r\n")
		_ = buf.Flush()
		_, _ = buf.ReadByte() // returns when the client closes the connection or sends another request on it
	}
	withEngine(t, h, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		_, err := collectData(t.Context(), r.client, "r1")
		is.NoErr(err)
		_, err = collectData(t.Context(), r.client, "r2")
		is.Equal(errorKind(err), "broken")
		for _, id := range []deck.RequestID{"r3", "r4", "r5"} {
			_, err = collectData(t.Context(), r.client, id)
			is.NoErr(err)
		}
	})
}

// collectData returns the data of the tokens of a stream.
func collectData(ctx context.Context, c *Client, id deck.RequestID) (string, error) {
	g := generationRequest
	g.ID = id
	s, err := c.Generate(ctx, g)
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }()
	data := ""
	for {
		token, err := s.Next(ctx)
		if err != nil || token.Last {
			return data, err
		}
		data += string(token.Data)
	}
}

// TestStreamThatEndsEarly guards against a response that ends anywhere before its last byte, also within its head, and is taken for a
// complete stream.
func TestStreamThatEndsEarly(t *testing.T) {
	whole := fmt.Sprintf(streamOf("r1"), "Request-ID: r1\r\n")
	for n := range len(whole) {
		withEngine(t, func(w http.ResponseWriter, _ *http.Request) { raw(w, whole[:n]) }, func(t *testing.T, r *testEnv) {
			is := is.New(t)
			data, err := collectData(t.Context(), r.client, "r1")
			is.True(err != nil)
			is.True(data == "" || data == `{"of":"r1"}`)
		})
	}
}
