package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

const address = "127.0.0.1:1"

// A testEnv is a client and a fake engine inside a synctest bubble.
type testEnv struct {
	net    decktest.PipeNetwork
	client *Client
	server *http.Server
}

// withEngine calls test in a synctest bubble with a client of an engine that h serves.
func withEngine(t *testing.T, h http.HandlerFunc, test func(t *testing.T, r *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		r := &testEnv{}
		r.client = New(address, deck.SystemClock{}, r.net.Dial)
		r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			// net/http's server detects a closed connection only after it has read the request body.
			data, _ := io.ReadAll(req.Body)
			req.Body = io.NopCloser(bytes.NewReader(data))
			w.Header().Set("Request-ID", req.Header.Get("Request-ID"))
			h(w, req)
		})}
		l := r.net.Listen(address)
		go func() { _ = r.server.Serve(l) }()
		t.Cleanup(func() {
			r.client.Close()
			_ = r.server.Close()
			time.Sleep(time.Minute) // lets the transport's timers expire inside the bubble
			synctest.Wait()
		})
		test(t, r)
	})
}

// emit writes the lines of a stream. "reset" closes the connection, "silence" sends nothing until the client leaves and
// "pause" waits for nearly the stall timeout.
func emit(w http.ResponseWriter, r *http.Request, lines ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Boot-ID", "b1")
	flush := http.NewResponseController(w).Flush
	_ = flush()
	for _, line := range lines {
		switch line {
		case "reset":
			closeConn(w)
			return
		case "silence":
			<-r.Context().Done()
			return
		case "pause":
			time.Sleep(1900 * time.Millisecond)
		default:
			fmt.Fprint(w, line)
			_ = flush()
		}
	}
}

func closeConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func token(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"t\":%d}\n\n", n, n)
}

// collect reads a stream to its end and returns the offsets of its tokens.
func collect(ctx context.Context, c *Client, g deck.GenerationRequest) (offsets []int, err error) {
	s, err := c.Generate(ctx, g)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	for {
		t, err := s.Next(ctx)
		if err != nil {
			return offsets, err
		}
		if t.Last {
			return offsets, nil
		}
		offsets = append(offsets, t.Offset)
	}
}

func errorKind(err error) string {
	var e *deck.EngineError
	if errors.As(err, &e) {
		return e.Kind.String()
	}
	return fmt.Sprint(err)
}

var generationRequest = deck.GenerationRequest{ID: "r1", Path: "/v1/completions", Body: []byte(`{}`)}

// TestStreamFaults guards against a fault within a stream being mistaken for its regular end or for another fault.
func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lines []string
		want  string
		kind  string
	}{
		{"whole", []string{token(0), token(1), "data: [DONE]\n\n"}, "[0 1]", "<nil>"},
		{"crlf and comments", []string{": hi\r\n\r\nid: 0\r\ndata: {}\r\n\r\n", "data: [DONE]\r\n\r\n"}, "[0]", "<nil>"},
		{"keep-alive resets the timer", []string{token(0), "pause", ":\n\n", "pause", "data: [DONE]\n\n"}, "[0]", "<nil>"},
		{"silent after two tokens", []string{token(0), token(1), "silence"}, "[0 1]", "stalled"},
		{"reset in mid-stream", []string{token(0), "reset"}, "[0]", "crashed"},
		{"end without done", []string{token(0)}, "[0]", "failed"},
		{"cut in an event", []string{token(0), "id: 1\nda"}, "[0]", "failed"},
		{"truncated JSON", []string{token(0), "id: 1\ndata: {\"t\":\n\n"}, "[0]", "failed"},
		{"no id", []string{"data: {}\n\n"}, "[]", "failed"},
		{"negative id", []string{"id: -1\ndata: {}\n\n"}, "[]", "failed"},
		{"huge id", []string{"id: 99999999999\ndata: {}\n\n"}, "[]", "failed"},
		{"repeated and unordered ids pass", []string{token(2), token(2), token(0), "data: [DONE]\n\n"}, "[2 2 0]", "<nil>"},
		{"error event", []string{token(0), "event: error\ndata: {\"error\":{}}\n\n"}, "[0]", "failed"},
		{"huge event", []string{"data: " + strings.Repeat("x", 2<<20) + "\n\n"}, "[]", "failed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := func(w http.ResponseWriter, r *http.Request) { emit(w, r, tc.lines...) }
			withEngine(t, h, func(t *testing.T, r *testEnv) {
				is := is.New(t)
				got, err := collect(t.Context(), r.client, generationRequest)
				is.Equal(fmt.Sprint(got), tc.want)
				is.Equal(errorKind(err), tc.kind)
			})
		})
	}
}

// TestErrorResponses guards against a wrong error kind when the engine does not respond with a stream.
func TestErrorResponses(t *testing.T) {
	for _, tc := range []struct {
		name string
		h    http.HandlerFunc
		kind string
	}{
		{"draining", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Draining", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "draining"},
		{"busy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "failed"},
		{"bad request", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, "rejected"},
		{"not a stream", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }, "failed"},
		{"reset before headers", func(w http.ResponseWriter, _ *http.Request) { closeConn(w) }, "crashed"},
		{"silent before headers", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "stalled"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withEngine(t, tc.h, func(t *testing.T, r *testEnv) {
				is := is.New(t)
				_, err := collect(t.Context(), r.client, generationRequest)
				is.Equal(errorKind(err), tc.kind)
			})
		})
	}
	withEngine(t, nil, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		_ = r.server.Close()
		_, err := collect(t.Context(), r.client, generationRequest)
		is.Equal(errorKind(err), "unreachable") // connection refused
	})
}

// TestPooledConnectionReset guards against a pooled connection that the server closed being mistaken for an engine crash;
// the boot ID of a report tells the two apart.
func TestPooledConnectionReset(t *testing.T) {
	for _, tc := range []struct{ boot, kind string }{{"b1", "broken"}, {"b2", "crashed"}} {
		var calls atomic.Int32
		h := func(w http.ResponseWriter, r *http.Request) {
			n := calls.Add(1)
			switch {
			case r.URL.Path == "/engine/report":
				fmt.Fprintf(w, `{"boot-id":%q}`, tc.boot)
			case n == 1:
				emit(w, r, "data: [DONE]\n\n")
			default:
				closeConn(w)
			}
		}
		withEngine(t, h, func(t *testing.T, r *testEnv) {
			is := is.New(t)
			_, err := collect(t.Context(), r.client, generationRequest)
			is.NoErr(err)
			_, err = collect(t.Context(), r.client, generationRequest)
			is.Equal(errorKind(err), tc.kind)
		})
	}
}

// TestRequestHeaders guards against a resumed request that asks for the wrong offset or lacks a header.
func TestRequestHeaders(t *testing.T) {
	var got http.Header
	h := func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		emit(w, r, "data: [DONE]\n\n")
	}
	withEngine(t, h, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		g := generationRequest
		g.Priority, g.Version, g.Adapter, g.Offset = -3, "v2", "a", 5
		_, err := collect(t.Context(), r.client, g)
		is.NoErr(err)
		for name, want := range map[string]string{
			"Request-ID": "r1", "Priority": "-3", "Model-Version": "v2", "Adapter": "a", "Last-Event-ID": "4",
		} {
			is.Equal(got.Get(name), want)
		}
		g.Offset = 0
		_, err = collect(t.Context(), r.client, g)
		is.NoErr(err)
		is.Equal(got.Get("Last-Event-ID"), "")
	})
}

// TestPooledConnectionLimits guards against requests on connections that are older than 60 s or idle for more than 10 s.
func TestPooledConnectionLimits(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) { emit(w, r, "data: [DONE]\n\n") }
	for _, tc := range []struct {
		step  time.Duration
		n     int
		dials int
	}{
		{time.Second, 50, 1}, // connections are shared
		{9 * time.Second, 14, 2},
		{11 * time.Second, 5, 5},
	} {
		withEngine(t, h, func(t *testing.T, r *testEnv) {
			is := is.New(t)
			for range tc.n {
				_, err := collect(t.Context(), r.client, generationRequest)
				is.NoErr(err)
				time.Sleep(tc.step)
			}
			is.Equal(r.net.Dials(address), tc.dials)
		})
	}
}

// TestSlowReader guards against a slow consumer being mistaken for a stalled engine.
func TestSlowReader(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) { emit(w, r, token(0), token(1), "data: [DONE]\n\n") }
	withEngine(t, h, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		s, err := r.client.Generate(t.Context(), generationRequest)
		is.NoErr(err)
		defer func() { _ = s.Close() }()
		for range 3 {
			_, err := s.Next(t.Context())
			is.NoErr(err)
			time.Sleep(10 * time.Second)
		}
		_, err = s.Next(t.Context())
		is.True(errors.Is(err, io.EOF))
	})
}

// TestContextTimeout guards against the end of the caller's context being mistaken for a fault of the engine.
func TestContextTimeout(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) { emit(w, r, token(0), "silence") }
	withEngine(t, h, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := collect(ctx, r.client, generationRequest)
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}
