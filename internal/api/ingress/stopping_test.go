package ingress_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestCallThatCannotEndBeforeTheStopIsRefused guards against calls that become whole so late in the grace period of a planned stop that
// they can't end within it, and are passed on, run and cut all the same; and against a refusal of those that can.
func TestCallThatCannotEndBeforeTheStopIsRefused(t *testing.T) {
	const (
		work     = 2200 * time.Millisecond // of a server on a call
		grace    = 7400 * time.Millisecond
		interval = 100 * time.Millisecond
		bodyTime = 800 * time.Millisecond // from the head of a call to the end of its body
		margin   = 200 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		kind deck.CallKind
	}{
		{"once", deck.CallOnce}, {"idempotent", deck.CallIdempotent}, {"stream", deck.CallStream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			routes := []deck.Route{{Name: "r", Prefix: "/p/", Kind: tc.kind}}
			runFleet(t, 1, 40, routes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				var mu sync.Mutex
				begun := make(map[string]time.Time)
				for _, e := range f.engines {
					e.answer = func(w http.ResponseWriter, r *http.Request) {
						mu.Lock()
						begun[r.URL.Path] = time.Now()
						mu.Unlock()
						if tc.kind == deck.CallStream {
							w.Header().Set("Content-Type", "text/event-stream")
							_, _ = w.Write([]byte(events(1, 1)))
							_ = http.NewResponseController(w).Flush()
						}
						time.Sleep(work)
						_, _ = w.Write([]byte(events(2, 2)))
					}
				}
				call := func(path string, whole time.Duration) int {
					body := &lateReader{Reader: strings.NewReader("x"), at: time.Now().Add(whole)}
					time.Sleep(whole - bodyTime)
					return f.sendBody(0, fleetCall{method: http.MethodPost, path: path, caller: "10.0.0.1"}, body).Code
				}
				for n := range 5 { // which show how long calls take
					is.Equal(call("/p/before-"+itoa(n), 0), http.StatusOK)
				}
				h := f.vm(0).handler
				h.Drain()
				defer h.EndCallsAt(time.Now().Add(grace))()
				var g errgroup.Group
				for whole := time.Duration(0); whole < grace; whole += interval {
					g.Go(func() error {
						path := "/p/" + whole.String()
						status := call(path, whole)
						mu.Lock()
						_, ran := begun[path]
						mu.Unlock()
						switch {
						case ran && status == http.StatusOK:
						case !ran && status == http.StatusServiceUnavailable && whole+work+margin >= grace:
						default:
							t.Errorf("call whole %v after the signal: status %d, passed on: %v", whole, status, ran)
						}
						return nil
					})
				}
				_ = g.Wait() // the calls return no errors
			})
		})
	}
}

// A lateReader gives nothing before a time.
type lateReader struct {
	*strings.Reader
	at time.Time
}

// Read implements io.Reader.Read.
func (r *lateReader) Read(p []byte) (int, error) {
	time.Sleep(time.Until(r.at))
	return r.Reader.Read(p)
}
