package ingress_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

const (
	callGap         = 20 * time.Millisecond // between the calls of a test, over all VMs
	maxRefusalDelay = 50 * time.Millisecond // of a refusal that needs no wait
)

var plainRoutes = []deck.Route{{Name: "plain", Prefix: "/", Kind: deck.CallIdempotent, MaxAttempts: 2}}

var plainCall = fleetCall{method: http.MethodPost, path: "/x", body: "body", caller: "10.0.0.1"}

// withHeader answers 200 with a header.
func withHeader(name, value string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(name, value)
		_, _ = io.WriteString(w, "answer") // fails if the VM has disconnected
	}
}

// refuseFor refuses each call and asks for a pause.
func refuseFor(seconds string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// firstPauseEnd returns when the first engine's pause of the given length ends.
func (f *fleet) firstPauseEnd(pause time.Duration) time.Time {
	var first time.Time
	for _, e := range f.engines {
		requests := e.seen()
		end := requests[len(requests)-1].Answered.Add(pause)
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// TestServerThatSaysThatItLeavesGetsNoCalls guards against calls to a server that says in its answers that it leaves, while the
// platform's list shows it as ready, drops it for a moment or shows it again, and once it no longer says so.
func TestServerThatSaysThatItLeavesGetsNoCalls(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, tc := range []struct {
		name      string
		answer    func(http.ResponseWriter, *http.Request)
		meanwhile func(f *fleet, e *fleetEngine)
	}{
		{"answers", withHeader("Server-Leaving", "1"), func(*fleet, *fleetEngine) {}},
		{"refusals", refuse, func(*fleet, *fleetEngine) {}},
		{"missing from one list", withHeader("Server-Leaving", "1"), func(f *fleet, e *fleetEngine) {
			all := f.engines
			f.engines = all[1:]
			f.publishServers()
			time.Sleep(time.Second)
			f.engines = all
			f.publishServers()
		}},
		{"says it no more", withHeader("Server-Leaving", "1"), func(_ *fleet, e *fleetEngine) { e.setAnswer(nil) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, 4, plainRoutes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				e := f.engines[0]
				f.sendEvery(callGap, 2*time.Second, plainCall)
				e.setAnswer(tc.answer)
				f.sendEvery(callGap, 3*time.Second, plainCall)
				tc.meanwhile(f, e)
				statuses := f.sendEvery(callGap, 12*time.Second, plainCall)
				is.Equal(noticerules.AfterLeaving(e.seen()), 0)
				is.Equal(statuses, map[int]int{http.StatusOK: int(12 * time.Second / callGap)})
			})
		})
	}
}

// TestVMsTellTheLeaderWhichServersLeave guards against a leader that hears of a leaving server once, or from one VM only, and against
// reports on servers that the list shows as draining.
func TestVMsTellTheLeaderWhichServersLeave(t *testing.T) {
	runFleet(t, 2, 2, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		e := f.engines[0]
		e.setAnswer(withHeader("Server-Leaving", "1"))
		f.sendEvery(callGap, time.Second, plainCall)
		for range 3 {
			time.Sleep(time.Second)
			is.Equal(f.reportedLeaving("vm0"), "e0 "+e.server.Incarnation())
			is.Equal(f.reportedLeaving("vm1"), "e0 "+e.server.Incarnation())
		}
		e.server.Draining = true
		f.publishServers()
		time.Sleep(2 * time.Second)
		is.Equal(f.reportedLeaving("vm0"), "")
	})
}

// TestNewIncarnationOfALeavingServerGetsCalls guards against a server that is avoided for good because it left under its name once.
func TestNewIncarnationOfALeavingServerGetsCalls(t *testing.T) {
	runFleet(t, 2, 1, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		e := f.engines[0]
		e.setAnswer(withHeader("Server-Leaving", "1"))
		f.sendEvery(callGap, time.Second, plainCall)
		is.Equal(f.send(0, plainCall).Code, http.StatusServiceUnavailable)
		e.setAnswer(nil)
		f.crash(e)
		time.Sleep(5 * time.Second)
		is.Equal(f.send(0, plainCall).Code, http.StatusOK)
		is.Equal(f.send(1, plainCall).Code, http.StatusOK)
	})
}

// TestServerGetsNoCallsInThePauseThatItAskedFor guards against repeats at a server that refuses calls and says for how long.
func TestServerGetsNoCallsInThePauseThatItAskedFor(t *testing.T) {
	for _, seconds := range []string{"3", "1.5"} {
		t.Run(seconds, func(t *testing.T) {
			runFleet(t, 3, 4, plainRoutes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				e := f.engines[0]
				e.setAnswer(refuseFor(seconds))
				statuses := f.sendEvery(callGap, 10*time.Second, plainCall)
				is.True(noticerules.InPauses(e.seen()) <= noticerules.MaxInPause)
				is.Equal(statuses, map[int]int{http.StatusOK: int(10 * time.Second / callGap)})
				e.setAnswer(nil)
				time.Sleep(3 * time.Second)
				before := len(e.seen())
				f.sendEvery(callGap, time.Second, plainCall)
				is.True(len(e.seen()) > before) // the server is used again
			})
		})
	}
}

// TestCallsAreRefusedAtOnceWhileAllServersPause guards against calls that wait although no server takes any, and against a time to
// come back at which none does yet.
func TestCallsAreRefusedAtOnceWhileAllServersPause(t *testing.T) {
	runFleet(t, 1, 2, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, e := range f.engines {
			e.setAnswer(refuseFor("3"))
		}
		f.sendEvery(callGap, 200*time.Millisecond, plainCall)
		start := time.Now()
		w := f.send(0, plainCall)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(time.Since(start) <= maxRefusalDelay)
		retry, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(!time.Now().Add(time.Duration(retry * float64(time.Second))).Before(f.firstPauseEnd(3 * time.Second)))
		for _, e := range f.engines {
			e.setAnswer(nil)
		}
		time.Sleep(time.Duration(retry * float64(time.Second)))
		is.Equal(f.send(0, plainCall).Code, http.StatusOK)
	})
}

// TestRefusalOfOneCallerPausesNoServer guards against servers that no caller reaches because they have told one of them to come back
// later.
func TestRefusalOfOneCallerPausesNoServer(t *testing.T) {
	runFleet(t, 2, 2, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, e := range f.engines {
			e.setAnswer(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/busy" {
					return
				}
				w.Header().Set("Not-Run", "1")
				w.Header().Set("Retry-After", "30")
				w.WriteHeader(http.StatusTooManyRequests)
			})
		}
		busy := plainCall
		busy.path = "/busy"
		is.Equal(f.sendEvery(callGap, time.Second, busy), map[int]int{http.StatusServiceUnavailable: int(time.Second / callGap)})
		time.Sleep(time.Second)
		is.Equal(f.sendEvery(callGap, time.Second, plainCall), map[int]int{http.StatusOK: int(time.Second / callGap)})
	})
}

// TestShorterPauseDoesNotEndALongerOne guards against calls in a pause that a server asked for, because it has asked for a shorter one
// in an answer that came later.
func TestShorterPauseDoesNotEndALongerOne(t *testing.T) {
	runFleet(t, 3, 1, plainRoutes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		e := f.engines[0]
		var refusals atomic.Int64
		e.setAnswer(func(w http.ResponseWriter, r *http.Request) {
			seconds := "3"
			if refusals.Add(1)%3 == 0 {
				seconds = "0.6"
			}
			time.Sleep(100 * time.Millisecond)
			refuseFor(seconds)(w, r)
		})
		f.sendEvery(5*time.Millisecond, 10*time.Second, plainCall) // several are at the engine when it asks for its first pause
		is.True(noticerules.InPauses(e.seen()) <= noticerules.MaxInPause)
	})
}

// TestRestartedVMsHeedNotices guards against calls of a VM that has forgotten with its restart what a server said, once the server has
// said it again, and against calls of the other VMs.
func TestRestartedVMsHeedNotices(t *testing.T) {
	const others = 2 // VMs that don't restart
	for _, tc := range []struct {
		name   string
		answer func(http.ResponseWriter, *http.Request)
		check  func(is *is.I, e *fleetEngine)
	}{
		{"leaving", withHeader("Server-Leaving", "1"), func(is *is.I, e *fleetEngine) {
			is.Equal(noticerules.AfterLeaving(e.seen()), 0)
			is.Equal(len(e.seen()), 1) // by which the restarted VM is told
		}},
		{"pause", refuseFor("3"), func(is *is.I, e *fleetEngine) { is.True(noticerules.InPauses(e.seen()) <= noticerules.MaxInPause) }},
		{"limit", withHeader("Server-Limit", "3"), func(is *is.I, e *fleetEngine) {
			is.True(noticerules.OverLimit(e.seen(), 3, time.Time{}) <= 0)
			is.True(e.rate(8*time.Second) >= 2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 1+others, 4, plainRoutes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				e := f.engines[0]
				e.setAnswer(tc.answer)
				f.sendEvery(callGap, 3*time.Second, plainCall)
				f.restartVM(0, plainRoutes)
				e.forget()
				f.sendEvery(callGap, 12*time.Second, plainCall)
				tc.check(is, e)
			})
		})
	}
}
