package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestCallsAreAnsweredBeforeTheDrainEnds guards against calls in flight at the end of a planned stop whose connections are closed without
// an answer, be they ones that must not run twice.
func TestCallsAreAnsweredBeforeTheDrainEnds(t *testing.T) {
	const drain = 2 * time.Second
	for _, tc := range []struct {
		name string
		call fleetCall
	}{
		{"repeatable", fleetCall{method: http.MethodGet, path: "/portal/x"}},
		{"at most once", fleetCall{method: http.MethodPost, path: "/portal/bookings", key: "k"}},
		{"stream", fleetCall{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 1, 1, 1, func(t *testing.T, f *fleet) {
				is := is.New(t)
				for _, s := range f.servers {
					s.setRespond(func(http.ResponseWriter, *http.Request) bool {
						time.Sleep(time.Minute)
						return false
					})
				}
				h := f.vms[0].handler
				h.DrainTimeout = drain
				ctx, cancel := context.WithTimeout(t.Context(), drain)
				defer cancel()
				var g errgroup.Group
				started := time.Now()
				g.Go(func() error {
					time.Sleep(100 * time.Millisecond)
					return h.Drain(ctx)
				})
				status := f.send(0, tc.call).Code
				is.True(time.Since(started) < drain)
				is.Equal(status, http.StatusBadGateway) // it may have run
				is.NoErr(g.Wait())
			})
		})
	}
}

// TestCallThatIsWholeAfterTheDrainBeganIsRefused guards against calls that are passed on in a planned stop, since their first bytes came
// before it, and cut at its end.
func TestCallThatIsWholeAfterTheDrainBeganIsRefused(t *testing.T) {
	for _, path := range []string{"/portal/x", "/portal/bookings", chatPath} {
		t.Run(path, func(t *testing.T) {
			runFleet(t, 1, 1, 1, func(t *testing.T, f *fleet) {
				is := is.New(t)
				h := f.vms[0].handler
				body := lateReader{Reader: strings.NewReader(streamBody), at: time.Now().Add(time.Second)}
				r := httptest.NewRequest(http.MethodPost, path, &body)
				r.Header.Set("Idempotency-Key", "k")
				w := httptest.NewRecorder()
				var g errgroup.Group
				g.Go(func() error {
					time.Sleep(500 * time.Millisecond)
					return h.Drain(t.Context())
				})
				h.ServeHTTP(w, r)
				is.Equal(w.Code, http.StatusServiceUnavailable)
				is.Equal(w.Header().Get(headerNotRun), "true")
				for _, s := range f.servers {
					is.Equal(len(s.seen()), 0)
				}
				is.NoErr(g.Wait())
			})
		})
	}
}

// A lateReader gives nothing before a time.
type lateReader struct {
	io.Reader
	at time.Time
}

// Read implements io.Reader.Read.
func (r *lateReader) Read(p []byte) (int, error) {
	time.Sleep(time.Until(r.at))
	return r.Reader.Read(p)
}
