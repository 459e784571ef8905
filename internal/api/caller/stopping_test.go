package caller

import (
	"context"
	"net/http"
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
