package ingress_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

const maxLateRepeats = 3 // of a request that has ended three engines, by the users' rules

// TestRequestWithoutContentThatCrashesServersIsRefused guards against a request that has neither a body nor parts of a prompt and
// crashes engine after engine, at any VM, because nothing is held against it. Sound calls of other callers with the same path, and of
// the same caller with other paths, must be served.
func TestRequestWithoutContentThatCrashesServersIsRefused(t *testing.T) {
	routes := []deck.Route{
		{Name: "lookup", Prefix: "/lookup/", Kind: deck.CallIdempotent, MaxAttempts: 2},
		{Name: "stream", Prefix: "/stream/", Kind: deck.CallStream},
	}
	for _, tc := range []struct{ name, path, begun string }{
		{"lookup", "/lookup/7", ""},
		{"stream", "/stream/7?page=3", ""},
		{"after the head of the answer", "/lookup/7", "begun"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, 6, routes, func(t *testing.T, f *fleet) {
				is := is.New(t)
				crashing := fleetCall{method: http.MethodGet, path: tc.path, caller: "10.0.0.1", header: []string{"Crash", "1"}}
				for _, e := range f.engines {
					e.answer = func(w http.ResponseWriter, r *http.Request) {
						if r.Header.Get("Crash") != "" {
							if tc.begun != "" {
								w.Header().Set("Content-Length", "100")
								_, _ = w.Write([]byte(tc.begun))
								_ = http.NewResponseController(w).Flush()
							}
							f.crash(e)
							panic(http.ErrAbortHandler)
						}
						_, _ = w.Write([]byte("answer"))
					}
				}
				last, served, sound := 0, 0, 0
				for n := range 40 {
					last = f.send(n%len(f.vms), crashing).Code
					for _, c := range []fleetCall{
						{method: http.MethodGet, path: tc.path, caller: "10.0.0.2"},
						{method: http.MethodGet, path: "/lookup/8", caller: "10.0.0.1"},
					} {
						sound++
						if f.send((n+1)%len(f.vms), c).Code == http.StatusOK {
							served++
						}
					}
					time.Sleep(500 * time.Millisecond)
				}
				is.Equal(last, http.StatusUnprocessableEntity)
				is.True(served >= sound*9/10)
				if late := lateCrashes(f); late > maxLateRepeats {
					t.Errorf("%d engines crashed later than %v after the third", late, noticerules.ContactTime)
				}
			})
		})
	}
}

// TestManyRepeatsOfARequestWithoutContentCrashFewServers guards against a request that is sent again at once and often, beside sound
// calls and while VMs restart, and crashes engine after engine because its crashes are laid to the sound calls, or forgotten.
func TestManyRepeatsOfARequestWithoutContentCrashFewServers(t *testing.T) {
	const length = 24 * time.Second
	routes := []deck.Route{{Name: "lookup", Prefix: "/lookup/", Kind: deck.CallIdempotent, MaxAttempts: 2}}
	runFleet(t, 3, 8, routes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, e := range f.engines {
			e.answer = func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(30 * time.Millisecond) // others are in flight when it crashes
				if r.Header.Get("Crash") != "" {
					f.crash(e)
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write([]byte("answer"))
			}
		}
		var g errgroup.Group
		var late map[int]int
		g.Go(func() error {
			call := fleetCall{method: http.MethodGet, path: "/lookup/7", caller: "10.0.0.1", header: []string{"Crash", "1"}}
			f.sendEvery(100*time.Millisecond, length, call)
			late = f.sendEvery(100*time.Millisecond, time.Second, call)
			return nil
		})
		g.Go(func() error {
			for i := range 4 {
				time.Sleep(length / 5)
				f.restartVM(i%len(f.vms), routes)
			}
			return nil
		})
		sound := f.sendEvery(callGap, length, fleetCall{method: http.MethodGet, path: "/lookup/8", caller: "10.0.0.2"})
		_ = g.Wait() // the calls return no errors
		if n := lateCrashes(f); n > maxLateRepeats {
			t.Errorf("%d engines crashed later than %v after the third", n, noticerules.ContactTime)
		}
		is.Equal(late, map[int]int{http.StatusUnprocessableEntity: 10})
		is.True(sound[http.StatusOK] >= int(length/callGap)*9/10)
	})
}

// TestTargetThatCrashesServersIsRefusedWhoeverAsks guards against a target that crashes server after server and is asked for by another
// caller each time, so that no caller's requests are in flight at three crashes; and against a refusal of other targets.
func TestTargetThatCrashesServersIsRefusedWhoeverAsks(t *testing.T) {
	const repeats = 40
	routes := []deck.Route{{Name: "lookup", Prefix: "/lookup/", Kind: deck.CallIdempotent, MaxAttempts: 2}}
	runFleet(t, 3, 6, routes, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, e := range f.engines {
			e.answer = func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/lookup/7" {
					f.crash(e)
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write([]byte("answer"))
			}
		}
		last, served := 0, 0
		for n := range repeats {
			caller := fmt.Sprintf("10.0.%d.1", n)
			last = f.send(n%len(f.vms), fleetCall{method: http.MethodGet, path: "/lookup/7", caller: caller}).Code
			sound := fleetCall{method: http.MethodGet, path: fmt.Sprintf("/lookup/sound-%d", n), caller: caller}
			if f.send((n+1)%len(f.vms), sound).Code == http.StatusOK {
				served++
			}
			time.Sleep(500 * time.Millisecond)
		}
		if late := lateCrashes(f); late > maxLateRepeats {
			t.Errorf("%d engines crashed later than %v after the third", late, noticerules.ContactTime)
		}
		is.Equal(last, http.StatusUnprocessableEntity)
		is.True(served >= repeats*9/10)
	})
}

// TestSuspectOneCrashShortIsSentAlone guards against repetitions of a request that has crashed two servers which are sent beside each other,
// or again to another server, so that many crash one before the leader knows of the third crash; and against a delay of other calls.
func TestSuspectOneCrashShortIsSentAlone(t *testing.T) {
	const calls = 5
	is := is.New(t)
	var crashes atomic.Int64
	othersEnded := make(chan struct{})
	var engines []*backend
	for i := range 2 * calls {
		engines = append(engines, newBackend(t, "e"+itoa(i), func(c net.Conn, r *http.Request) bool {
			if r.URL.Path != "/p/7" {
				return answerWith("ok")(c, r)
			}
			<-othersEnded
			crashes.Add(1)
			return false
		}))
	}
	routes := idempotent()
	routes[0].LatencyTarget = 2 * time.Second // so that the call that waits for its answer is not given up
	h := newHarness(t, routes, engines...)
	h.handler.Poison.Apply(time.Now(), deck.BlameView{Term: 1, Watched: []uint64{blame.PartFingerprint("GET a.example/p/7")}})
	statuses := make(chan int, calls)
	var g errgroup.Group
	for range calls {
		g.Go(func() error {
			statuses <- h.call(t, http.MethodGet, "/p/7", "").status
			return nil
		})
	}
	for range calls - 1 {
		is.Equal(<-statuses, http.StatusServiceUnavailable)
	}
	is.Equal(h.call(t, http.MethodGet, "/p/8", "").status, http.StatusOK)
	close(othersEnded)
	is.Equal(<-statuses, http.StatusBadGateway)
	_ = g.Wait() // the calls return no errors
	is.Equal(crashes.Load(), int64(1))
}

// lateCrashes returns the number of crashes later than noticerules.ContactTime after the third.
func lateCrashes(f *fleet) int {
	var all []time.Time
	for _, e := range f.engines {
		e.mu.Lock()
		all = append(all, e.crashes...)
		e.mu.Unlock()
	}
	sortTimes(all)
	late := 0
	for i, at := range all {
		if i >= 3 && at.Sub(all[2]) > noticerules.ContactTime {
			late++
		}
	}
	return late
}
