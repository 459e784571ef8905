package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

// rate returns the requests a second that the engine got in the given time, which ends now.
func (e *fleetEngine) rate(length time.Duration) float64 {
	n := 0
	for _, r := range e.seen() {
		if time.Since(r.At) <= length {
			n++
		}
	}
	return float64(n) / length.Seconds()
}

// TestLimitOfAServerHoldsOverAllVMs guards against more requests than a server says that it takes from all VMs together, each of which
// keeps to the whole limit or to none, and against a server that is hardly used because its limit is divided by VMs that need nothing.
func TestLimitOfAServerHoldsOverAllVMs(t *testing.T) {
	const (
		settle = 6 * time.Second // noticerules.ContactTime, and the first shares
		length = 20 * time.Second
	)
	for _, tc := range []struct {
		name                  string
		vms, engines, limited int
		value                 string
		limit                 float64
		callGap               time.Duration
		senders               int     // VMs that have callers; 0 for all
		minShare              float64 // of the limit that the limited engines get
	}{
		{"one of four", 3, 4, 1, "3", 3, 20 * time.Millisecond, 0, 0.7},
		{"fraction of a request", 3, 4, 1, "0.4", 0.4, 20 * time.Millisecond, 0, 0.5},
		{"nothing", 3, 4, 1, "0", 0, 20 * time.Millisecond, 0, 0},
		{"far more than comes", 3, 4, 1, "1000", 1000, 20 * time.Millisecond, 0, 0},
		{"all", 3, 4, 4, "8", 8, 10 * time.Millisecond, 0, 0.7},
		{"many VMs", 60, 6, 1, "3", 3, 10 * time.Millisecond, 0, 0.5},
		{"one VM of many has callers", 30, 4, 4, "4", 4, 20 * time.Millisecond, 1, 0.7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, tc.vms, tc.engines, plainRoutes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				for _, e := range f.engines[:tc.limited] {
					e.setAnswer(withHeader("Server-Limit", tc.value))
				}
				if tc.senders > 0 {
					f.vms = f.vms[:tc.senders]
				}
				start := time.Now()
				f.sendEvery(tc.callGap, settle, plainCall)
				statuses := f.sendEvery(tc.callGap, length, plainCall)
				for i, e := range f.engines[:tc.limited] {
					if over := noticerules.OverLimit(e.seen(), tc.limit, start.Add(noticerules.ContactTime)); over > 0 {
						t.Errorf("engine %d got %.0f requests more than allowed", i, over)
					}
					if rate := e.rate(length); rate < tc.minShare*tc.limit {
						t.Errorf("engine %d got %.2f requests a second of %v", i, rate, tc.limit)
					}
				}
				if tc.limited < tc.engines {
					is.Equal(statuses, map[int]int{http.StatusOK: int(length / tc.callGap)})
				}
			})
		})
	}
}

// TestServerWithoutALimitAnyMoreIsUsed guards against VMs that keep to a limit that their server no longer names, however many they are:
// each of them hears of the end only by a request that the limit lets through.
func TestServerWithoutALimitAnyMoreIsUsed(t *testing.T) {
	for _, vms := range []int{8, 60} {
		t.Run(strconv.Itoa(vms), func(t *testing.T) {
			runFleet(t, vms, 2, plainRoutes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				e := f.engines[0]
				e.setAnswer(withHeader("Server-Limit", "1"))
				f.sendEvery(callGap, 12*time.Second, plainCall)
				is.True(e.rate(4*time.Second) <= 3)
				e.setAnswer(nil)
				f.sendEvery(callGap, 12*time.Second, plainCall)
				is.True(e.rate(2*time.Second) >= 15) // about half of the calls
			})
		})
	}
}

// TestLimitChanges guards against VMs that keep to an earlier limit of a server.
func TestLimitChanges(t *testing.T) {
	runFleet(t, 3, 2, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		e := f.engines[0]
		e.setAnswer(withHeader("Server-Limit", "12"))
		f.sendEvery(callGap, 10*time.Second, plainCall)
		is.True(e.rate(4*time.Second) >= 8)
		e.setAnswer(withHeader("Server-Limit", "2"))
		f.sendEvery(callGap, noticerules.ContactTime, plainCall)
		changed := time.Now()
		f.sendEvery(callGap, 12*time.Second, plainCall)
		is.True(noticerules.OverLimit(e.seen(), 2, changed) <= 0)
	})
}

// TestCallsAreRefusedAtOnceBeyondAllLimits guards against calls that wait although no server takes more, and against a time to come
// back that says nothing about when one will.
func TestCallsAreRefusedAtOnceBeyondAllLimits(t *testing.T) {
	runFleet(t, 2, 2, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, e := range f.engines {
			e.setAnswer(withHeader("Server-Limit", "2"))
		}
		f.sendEvery(callGap, 8*time.Second, plainCall)
		refused := 0
		for range 20 {
			start := time.Now()
			w := f.send(0, plainCall)
			if w.Code == http.StatusServiceUnavailable {
				refused++
				is.True(time.Since(start) <= maxRefusalDelay)
				is.True(w.Header().Get("Retry-After") != "")
			}
		}
		is.True(refused >= 15)
	})
}

// TestRetryAfterGrowsBeyondAllLimits answers a load pattern: for several seconds there are several times as many calls as all servers take
// within their limits. Guards against refused callers who all return for the next permit, where one of them is served and the others
// are refused again.
func TestRetryAfterGrowsBeyondAllLimits(t *testing.T) {
	const (
		deadline = 5 * time.Second // of the route
		latest   = deadline / 4    // callers accept delays up to a third of their remaining time
	)
	runFleet(t, 4, 4, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, e := range f.engines {
			e.setAnswer(withHeader("Server-Limit", "2"))
		}
		call := plainCall
		call.header = []string{"Call-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)}
		f.sendEvery(callGap, 4*time.Second, call)
		refused := 0
		for i := range 50 {
			w := f.send(i%len(f.vms), call)
			if w.Code != http.StatusServiceUnavailable {
				continue
			}
			refused++
			retry, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(retry >= latest.Seconds()/2) // more than half of the calls were refused
			is.True(retry <= latest.Seconds())
		}
		is.True(refused > 25)
	})
}

// A refusingSource grants no permits.
type refusingSource struct{}

// TakePermit implements deck.PermitSource.TakePermit.
func (refusingSource) TakePermit(context.Context, deck.PermitRequest) (deck.PermitAnswer, error) {
	return deck.PermitAnswer{Wait: 10 * time.Millisecond}, nil
}

// TestSlowAnswerIsAwaitedBesideALimitedServer guards against a call or a stream that is given up at a slow server for one that has no
// permit left for it.
func TestSlowAnswerIsAwaitedBesideALimitedServer(t *testing.T) {
	slow := func(before, after string) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, r *http.Request) bool {
			ok := before == "" || reply(c, r, "200 OK", streamHead, before)
			<-time.After(900 * time.Millisecond) // several times the latency target
			if before == "" {
				return reply(c, r, "200 OK", streamHead, after)
			}
			_, err := io.WriteString(c, after)
			return ok && err == nil
		}
	}
	for _, tc := range []struct{ name, before, after string }{
		{"before the first event", "", chunk(events(1, 2)) + "0\r\n\r\n"},
		{"between two events", chunk(events(1, 1)), chunk(events(2, 2)) + "0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			first, second := newBackend(t, "b1", slow(tc.before, tc.after)), newBackend(t, "b2", answerWith("unused"))
			h := newHarness(t, stream(true), first, second)
			h.handler.MinStall = time.Millisecond
			h.limits.Permits = refusingSource{}
			limited := deck.Server{ID: "b2", Address: second.addr}
			h.limits.ObserveNotice(time.Now(), "b2", limited.Incarnation(), deck.ServerNotice{Limited: true, Limit: 1})
			res := h.call(t, http.MethodPost, "/p/x", "")
			is.NoErr(res.err)
			is.Equal(res.body, events(1, 2))
			is.Equal(len(first.requests()), 1)
			is.Equal(len(second.requests()), 0)
		})
	}
}
