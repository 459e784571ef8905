package ingress_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A copyingBackend answers each request with its id, and sends further copies of its answers: in the same write, a moment later on
// the idle connection, or just before the next answer.
type copyingBackend struct {
	stream bool

	mu     sync.Mutex
	random *rand.Rand
	last   map[net.Conn]string // answer that was sent last on a connection
}

func (b *copyingBackend) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Call-Id")
	body := "id: 1\ndata: " + id + "\n\n"
	head, framed := "Content-Length: "+itoa(len(body))+"\r\n", body
	if b.stream {
		head, framed = streamHead, chunk(body)+"0\r\n\r\n"
	}
	own := "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\n" + head + "\r\n" + framed
	b.mu.Lock()
	kind, wait, before := b.random.IntN(5), time.Duration(b.random.IntN(1500))*time.Microsecond, b.last[c]
	b.last[c] = own
	b.mu.Unlock()
	sent := own
	switch kind {
	case 0:
		sent = own + own
	case 1:
		sent = before + own
	}
	_, err := io.WriteString(c, sent)
	if kind == 2 && err == nil {
		<-time.After(wait)
		_, err = io.WriteString(c, own)
	}
	return err == nil
}

// Guards against an answer that reaches the next caller on its connection, because a backend server sent a second copy of it late.
func TestCopiesOfAnswersReachNoOtherCaller(t *testing.T) {
	const (
		callers = 8
		calls   = 625 // of each caller
	)
	for _, kind := range []deck.CallKind{deck.CallIdempotent, deck.CallStream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			b := &copyingBackend{
				stream: kind == deck.CallStream, random: rand.New(rand.NewPCG(1, 2)), last: make(map[net.Conn]string),
			}
			h := newHarness(t, []deck.Route{{Prefix: "/p/", Kind: kind, MaxAttempts: 2}}, newBackend(t, "b1", b.answer),
				newBackend(t, "b2", b.answer))
			h.handler.Budget.SetLimits(time.Second, 1, 1e6)
			var g errgroup.Group
			var served atomic.Int64
			for caller := range callers {
				g.Go(func() error {
					for n := range calls {
						id := fmt.Sprintf("c%d-%d", caller, n)
						status, body, err := h.callWithID(t, id)
						if err != nil || status != http.StatusOK {
							continue
						}
						served.Add(1)
						if strings.TrimSpace(body) != "id: 1\ndata: "+id {
							return fmt.Errorf("caller %s got %q", id, body)
						}
					}
					return nil
				})
			}
			is.NoErr(g.Wait())
			is.True(served.Load() > callers*calls*9/10)
		})
	}
}

// callWithID sends one call with the id and returns the answer.
func (h *harness) callWithID(t *testing.T, id string) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.server.URL+"/p/x", nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "a.example"
	r.Header.Set("Call-Id", id)
	r.Header.Set("Call-Deadline-Ms", "4000")
	resp, err := h.server.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
