package ingress_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/allowance"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

// A grantor grants credit for a number of calls, with leases that don't lapse during a test; it fails if it is nil.
type grantor struct {
	mu    sync.Mutex
	calls float64
}

// TakeCredit implements deck.CreditSource.TakeCredit.
func (g *grantor) TakeCredit(_ context.Context, r deck.CreditRequest) (deck.CreditAnswer, error) {
	if g == nil {
		return deck.CreditAnswer{}, errors.New("no leader")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var a deck.CreditAnswer
	for _, n := range r.Needs {
		grant := deck.CreditGrant{Calls: min(n.Calls, g.calls), Lease: time.Hour}
		if grant.Calls < n.Calls {
			grant.Wait = 40 * time.Second
		}
		g.calls -= grant.Calls
		a.Grants = append(a.Grants, grant)
	}
	return a, nil
}

// newAllowanceHarness returns a harness with a customer that has an allowance, out of which source grants credit.
func newAllowanceHarness(t *testing.T, source *grantor, backends ...*backend) *harness {
	t.Helper()
	h := newHarness(t, []deck.Route{{Prefix: "/"}}, backends...)
	limited := gold
	limited.Allowance = deck.Allowance{PerSecond: 1}
	cfg := customersConfig(1, limited, silver)
	cfg.Routes[0].Kind, cfg.Routes[0].MaxAttempts = deck.CallIdempotent, 3
	h.handler.SetRoutes(table.New(cfg))
	h.handler.Allowances = &allowance.Table{Self: "vm", Clock: deck.SystemClock{}, Source: source}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = h.handler.Allowances.Run(ctx) }) // always nil
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return h
}

// Guards against calls beyond an allowance that run, or whose caller doesn't learn when to come back, and against bounds for customers and
// routes that have none.
func TestCallsBeyondAnAllowanceAreRefused(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, "i-1", answerWith("ok"))
	h := newAllowanceHarness(t, &grantor{calls: 2}, b)
	for i, status := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
		got := h.callWithKeys(t, "/x", secret+"-gold")
		is.Equal(got.status, status)
		is.Equal(len(b.requests()), min(i+1, 2))
		if status != http.StatusOK {
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > 20 && wait <= 40)
		}
	}
	is.Equal(h.callWithKeys(t, "/x", secret+"-silver").status, http.StatusOK)
	is.Equal(h.callWithKeys(t, "/public/x").status, http.StatusOK)
}

// Guards against callers who are told that their customer is over its allowance although no leader has said so.
func TestCallsWithoutALeaderAreNotOverTheirAllowance(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, "i-1", answerWith("ok"))
	h := newAllowanceHarness(t, nil, b)
	got := h.callWithKeys(t, "/x", secret+"-gold")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(len(b.requests()), 0)
}

// Guards against calls that use up an allowance although they didn't run, and against one that is counted twice since its first server
// failed.
func TestCallsCountOnceIfTheyRun(t *testing.T) {
	is := is.New(t)
	full := newBackend(t, "i-full", func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "503 Service Unavailable", "Not-Run: 1\r\nContent-Length: 0\r\n", "")
	})
	g := &grantor{calls: 1}
	h := newAllowanceHarness(t, g, full)
	for range 3 {
		is.Equal(h.callWithKeys(t, "/x", secret+"-gold").status, http.StatusServiceUnavailable)
	}
	is.Equal(h.handler.Allowances.Usage(1)[0].Used, 0.0)

	broken := newBackend(t, "i-broken", func(net.Conn, *http.Request) bool { return false })
	sound := newBackend(t, "i-sound", answerWith("ok"))
	h.setServers(broken, sound)
	is.Equal(h.callWithKeys(t, "/x", secret+"-gold").status, http.StatusOK)
	is.Equal(len(broken.requests()), 1)
	is.Equal(h.handler.Allowances.Usage(1)[0].Used, 1.0)
	is.Equal(h.callWithKeys(t, "/x", secret+"-gold").status, http.StatusTooManyRequests)
}
