package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// Guards against leases from a VM that does not lead, or that has just started to lead and does not know the leases of the
// previous leader.
func TestPoolLease(t *testing.T) {
	is := is.New(t)
	clock := &decktest.ManualClock{}
	clock.Advance(time.Hour)
	isLeader := true
	p := &Pools{Clock: clock, LoadLimit: 9, AdapterLoadLimit: 70, IsLeader: func() bool { return isLeader }}
	mux := http.NewServeMux()
	p.Register(mux)
	srv := httptest.NewServer(mux)
	defer srv.Close()
	lease := func(loads int) (int, error) {
		n, _, err := PoolClient{HTTP: http.DefaultClient}.Lease(t.Context(), srv.Listener.Addr().String(), "graz-a", loads, 0)
		return n, err
	}
	n, err := lease(2)
	is.NoErr(err)
	is.Equal(n, 0)
	clock.Advance(execute.PoolLeaseDuration)
	n, err = lease(2)
	is.NoErr(err)
	is.Equal(n, 2)
	isLeader = false
	_, err = lease(2)
	is.True(err != nil)
	isLeader = true
	n, err = lease(2)
	is.NoErr(err)
	is.Equal(n, 0)
}
