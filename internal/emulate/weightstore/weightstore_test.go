package weightstore

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against an emulated store that hides an overload: four concurrent loads at a limit of two must slow down.
func TestLoadsSlowBeyondTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(1000, 2, 100)
		load := func() time.Duration {
			begin := time.Now()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/weight-store/load", strings.NewReader(`{"bytes":100}`))
			s.Handler().ServeHTTP(httptest.NewRecorder(), r)
			return time.Since(begin)
		}
		is.True(load() < 1100*time.Millisecond)
		times := make([]time.Duration, 4)
		var g errgroup.Group
		for i := range times {
			g.Go(func() error {
				times[i] = load()
				return nil
			})
		}
		is.NoErr(g.Wait())
		is.True(times[0] >= time.Second && times[1] >= time.Second)
		longest := max(times[0], times[1], times[2], times[3])
		is.True(longest >= 2*time.Second)
	})
}
