package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

const address = "s1:80"

var keyed = deck.ServiceCall{
	Method:         http.MethodPost,
	Path:           "/bookings",
	Query:          "stand=4",
	Headers:        map[string]string{"Content-Type": "text/plain", "Idempotency-Key": "k1", "X-Idempotency-Key": "k1"},
	Body:           []byte("forklift"),
	IdempotencyKey: "k1",
}

func closeConn(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// TestOutcomes guards against a call being reported as not run without proof, and against a call that arrives twice.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		h       http.HandlerFunc
		outcome deck.Outcome
	}{
		{"done", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, deck.OutcomeDone},
		{"error answer", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, deck.OutcomeDone},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/bookings", http.StatusTemporaryRedirect)
		}, deck.OutcomeDone},
		{"refused as not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, deck.OutcomeNotRun},
		{"503 without proof", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, deck.OutcomeDone},
		{"reset after send", closeConn, deck.OutcomeUnknown},
		{"answer lost", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, deck.OutcomeUnknown},
		{"answer cut", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "half")
			_ = http.NewResponseController(w).Flush()
			closeConn(w, r)
		}, deck.OutcomeUnknown},
		{"answer too large", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Repeat("x", maxResponseBytes+1))
		}, deck.OutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withService(t, tc.h, func(t *testing.T, c *Client, arrivals *atomic.Int32) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				is.Equal(c.Call(ctx, address, keyed).Outcome, tc.outcome)
				is.Equal(arrivals.Load(), int32(1))
			})
		})
	}
}

// TestDialFailure guards against an idempotency key that stays claimed for good because a call that was never sent is
// reported as one that may have run.
func TestDialFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for name, dial := range map[string]DialFunc{
			"refused": (&decktest.PipeNetwork{}).Dial,
			"silent": func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			a := New(dial).Call(ctx, address, keyed)
			cancel()
			if a.Outcome != deck.OutcomeNotRun {
				t.Errorf("%s: outcome %s", name, a.Outcome)
			}
		}
		time.Sleep(dialTimeout)
		bad := keyed
		bad.Headers = map[string]string{"A": "line\nbreak"}
		is.Equal(New((&decktest.PipeNetwork{}).Dial).Call(t.Context(), address, bad).Outcome, deck.OutcomeNotRun)
	})
}

// TestNoRetry guards against net/http retrying a call by itself, as it may on a reused connection: after a first call, the server
// closes any connection on which the second call arrives.
func TestNoRetry(t *testing.T) {
	for _, key := range []string{"", "k2"} {
		var n atomic.Int32
		h := func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) > 1 {
				closeConn(w, r)
			}
		}
		withService(t, h, func(t *testing.T, c *Client, arrivals *atomic.Int32) {
			is := is.New(t)
			first, second := keyed, keyed
			first.IdempotencyKey, second.IdempotencyKey = "", key
			is.Equal(c.Call(t.Context(), address, first).Outcome, deck.OutcomeDone)
			is.Equal(c.Call(t.Context(), address, second).Outcome, deck.OutcomeUnknown)
			is.Equal(arrivals.Load(), int32(2))
		})
	}
}

// TestCopyOfAnEarlierAnswer guards against a copy of an earlier answer that an instance writes on a kept connection as the next call
// arrives there; nothing in an answer names its call.
func TestCopyOfAnEarlierAnswer(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		if r.Close {
			_, _ = io.WriteString(w, r.URL.Query().Get("of"))
			return
		}
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		for _, of := range []string{"1", r.URL.Query().Get("of")} {
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + of)
		}
		_ = buf.Flush()
		_ = conn.Close()
	}
	withService(t, h, func(t *testing.T, c *Client, _ *atomic.Int32) {
		is := is.New(t)
		for _, of := range []string{"1", "2"} {
			a := c.Call(t.Context(), address, deck.ServiceCall{Method: http.MethodGet, Path: "/lookup", Query: "of=" + of})
			is.Equal(string(a.Body), of)
		}
	})
}

// TestAnswerThatEndsEarly guards against an answer that ends anywhere before its last byte, also within its head, and is taken for a
// complete one.
func TestAnswerThatEndsEarly(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked"
	for n := range len(answer) {
		h := func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer[:n])
			_ = conn.Close()
		}
		withService(t, h, func(t *testing.T, c *Client, _ *atomic.Int32) {
			is := is.New(t)
			is.Equal(c.Call(t.Context(), address, keyed).Outcome, deck.OutcomeUnknown)
		})
	}
}

// TestAnswersTakeTheRoomThatIsLeft guards against answers that together take a VM's memory, and against ordinary ones that are refused for
// them.
func TestAnswersTakeTheRoomThatIsLeft(t *testing.T) {
	for _, tc := range []struct {
		bytes   int
		full    bool
		outcome deck.Outcome
	}{
		{maxResponseBytes, false, deck.OutcomeDone},
		{10 << 10, true, deck.OutcomeDone},
		{200 << 10, true, deck.OutcomeUnknown},
		{maxResponseBytes + 1, false, deck.OutcomeUnknown},
	} {
		h := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, tc.bytes)) }
		withService(t, h, func(t *testing.T, c *Client, _ *atomic.Int32) {
			is := is.New(t)
			memory := &inbound.Budget{Bytes: 4 * maxResponseBytes} // a quarter is for answers
			other := memory.Open(inbound.Answers, nil)
			if tc.full {
				is.True(other.Grow(maxResponseBytes))
			}
			ctx, end := memory.WithRoom(t.Context())
			a := c.Call(ctx, address, keyed)
			is.Equal(a.Outcome, tc.outcome)
			is.Equal(memory.Usage(inbound.Answers).Bytes == 0, !tc.full && tc.outcome == deck.OutcomeUnknown)
			end()
			other.Release()
			is.Equal(memory.Usage(inbound.Answers).Bytes, int64(0))
			is.True(!inbound.RoomOf(ctx).Grow(1))
		})
	}
}

// TestContent guards against a call or a response that is changed in transit.
func TestContent(t *testing.T) {
	var got *http.Request
	h := func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Add("Booking", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	}
	withService(t, h, func(t *testing.T, c *Client, _ *atomic.Int32) {
		is := is.New(t)
		a := c.Call(t.Context(), address, keyed)
		is.Equal(a.Status, http.StatusCreated)
		is.Equal(a.Headers["Booking"], "1")
		is.Equal(string(a.Body), "forklift")
		is.Equal(got.Method+" "+got.URL.String(), "POST /bookings?stand=4")
		is.Equal(got.Header.Get("Call-Key"), "k1")
		is.Equal(got.Header.Get("Content-Type"), "text/plain")
		is.Equal(got.Header.Get("Idempotency-Key"), "")
	})
}

// withService calls test in a synctest bubble with a client of a service that h serves and the number of calls that reached
// it.
func withService(t *testing.T, h http.HandlerFunc, test func(t *testing.T, c *Client, arrivals *atomic.Int32)) {
	synctest.Test(t, func(t *testing.T) {
		var network decktest.PipeNetwork
		var arrivals atomic.Int32
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			data, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(strings.NewReader(string(data)))
			h(w, r)
		})}
		l := network.Listen(address)
		go func() { _ = server.Serve(l) }()
		c := New(network.Dial)
		t.Cleanup(func() {
			_ = server.Close()
			synctest.Wait()
		})
		test(t, c, &arrivals)
	})
}
