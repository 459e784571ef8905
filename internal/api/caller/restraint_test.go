package caller

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

// saying sets a header and lets the server answer as usual.
func saying(name, value string) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(name, value)
		return false
	}
}

// TestServerThatSaysThatItLeavesGetsNoRequests guards against requests to an engine or an instance of a service that says in its
// answers that it leaves, and once it no longer says so.
func TestServerThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name               string
		engines, instances int
		call               fleetCall
	}{
		{"engine", 3, 0, fleetCall{}},
		{"service", 0, 3, fleetCall{method: http.MethodGet, path: "/portal/x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, tc.engines, tc.instances, func(t *testing.T, f *fleet) {
				is := is.New(t)
				s := f.servers[0]
				f.sendEvery(2*time.Second, tc.call)
				s.setRespond(saying("Server-Leaving", "1"))
				f.sendEvery(3*time.Second, tc.call)
				s.setRespond(nil)
				statuses := f.sendEvery(12*time.Second, tc.call)
				is.Equal(noticerules.AfterLeaving(s.seen()), 0)
				is.Equal(statuses, map[int]int{http.StatusOK: int(12 * time.Second / fleetCallGap)})
			})
		})
	}
}

// TestRestartedServerGetsRequestsAgain guards against a server that is avoided for good because it left under its name once.
func TestRestartedServerGetsRequestsAgain(t *testing.T) {
	for _, tc := range []struct {
		name               string
		engines, instances int
		call               fleetCall
	}{
		{"engine", 2, 0, fleetCall{}},
		{"service", 0, 2, fleetCall{method: http.MethodGet, path: "/portal/x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 2, tc.engines, tc.instances, func(t *testing.T, f *fleet) {
				is := is.New(t)
				s := f.servers[0]
				s.setRespond(saying("Server-Leaving", "1"))
				f.sendEvery(2*time.Second, tc.call)
				var end time.Time
				f.group.Go(func() error {
					f.restart(s, time.Second)
					s.setRespond(nil)
					end = time.Now()
					for _, vm := range f.vms {
						vm.router.ObserveReport(deck.EngineReport{Backend: "e0", BootID: "b2"}, end)
					}
					return nil
				})
				f.sendEvery(4*time.Second, tc.call)
				requests := s.seen()
				is.True(requests[len(requests)-1].At.After(end))
			})
		})
	}
}

// TestStreamOfLeavingServerContinuesElsewhere guards against a new request to a leaving engine when the connection of a stream that
// it was sending falls silent.
func TestStreamOfLeavingServerContinuesElsewhere(t *testing.T) {
	runFleet(t, 1, 2, 0, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, s := range f.servers {
			s.setRespond(func(w http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("Last-Event-ID") != "" {
					return false
				}
				w.Header().Set("Server-Leaving", "1")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write([]byte("id: 0\ndata: " + chunk(0) + "\n\n"))
				_ = http.NewResponseController(w).Flush()
				f.other(s).setRespond(nil)
				if sendKeepAlives(w, r, 5*time.Second) {
					<-r.Context().Done()
				}
				return true
			})
		}
		is.Equal(strings.ReplaceAll(f.send(0, fleetCall{}).Body.String(), ": running\n\n", ""), completeStream())
		is.Equal(len(f.servers[0].seen()), 1)
		is.Equal(len(f.servers[1].seen()), 1)
	})
}

// TestInstanceThatIsListedAsLeavingGetsNoCalls guards against calls to an instance of a service that the platform's list shows as
// leaving.
func TestInstanceThatIsListedAsLeavingGetsNoCalls(t *testing.T) {
	runFleet(t, 1, 0, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.vms[0].router.ObserveVMs([]deck.VMStatus{{VM: "s0", Leaving: true}})
		f.sendEvery(time.Second, fleetCall{method: http.MethodGet, path: "/portal/x"})
		is.Equal(len(f.servers[0].seen()), 0)
	})
}

// refuseFor refuses each request and asks for a pause.
func refuseFor(seconds string) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Retry-After", seconds)
		w.Header().Set("Not-Run", "true") // of plain services
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
}

// TestServerGetsNoRequestsInThePauseThatItAskedFor guards against repeats at an engine or an instance that refuses requests and says
// for how long, and against requests that wait while all of them pause.
func TestServerGetsNoRequestsInThePauseThatItAskedFor(t *testing.T) {
	for _, tc := range []struct {
		name               string
		engines, instances int
		call               fleetCall
		refused            int
	}{
		{"engine", 3, 0, fleetCall{}, http.StatusTooManyRequests},
		{"service", 0, 3, fleetCall{method: http.MethodGet, path: "/portal/x"}, http.StatusServiceUnavailable},
		{
			"service at most once", 0, 3, fleetCall{method: http.MethodPost, path: "/portal/bookings", key: "k"},
			http.StatusServiceUnavailable,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, tc.engines, tc.instances, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers[0].setRespond(refuseFor("3"))
				statuses := f.sendEvery(10*time.Second, tc.call)
				is.True(noticerules.InPauses(f.servers[0].seen()) <= noticerules.MaxInPause)
				is.Equal(statuses, map[int]int{http.StatusOK: int(10 * time.Second / fleetCallGap)})
				for _, s := range f.servers {
					s.setRespond(refuseFor("3"))
				}
				f.sendEvery(4*time.Second, tc.call)
				start := time.Now()
				w := f.send(0, tc.call)
				is.Equal(w.Code, tc.refused)
				is.Equal(w.Header().Get("Not-Run"), "true")
				is.True(time.Since(start) <= maxRefusalDelay)
				retry, err := strconv.Atoi(w.Header().Get("Retry-After"))
				is.NoErr(err)
				for _, s := range f.servers {
					is.True(noticerules.InPauses(s.seen()) <= noticerules.MaxInPause)
					s.setRespond(nil)
				}
				time.Sleep(time.Duration(retry) * time.Second)
				is.Equal(f.send(0, tc.call).Code, http.StatusOK)
			})
		})
	}
}

// TestRefusalOfOneCallerPausesNoServer guards against a service that no caller reaches because its instances have told one of them to
// come back later.
func TestRefusalOfOneCallerPausesNoServer(t *testing.T) {
	runFleet(t, 2, 0, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, s := range f.servers {
			s.setRespond(func(w http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("Authorization") != "busy" {
					return false
				}
				w.Header().Set("Retry-After", "30")
				w.WriteHeader(http.StatusTooManyRequests)
				return true
			})
		}
		busy := fleetCall{method: http.MethodGet, path: "/portal/x", header: []string{"Authorization", "busy"}}
		is.Equal(f.sendEvery(time.Second, busy), map[int]int{http.StatusTooManyRequests: int(time.Second / fleetCallGap)})
		statuses := f.sendEvery(time.Second, fleetCall{method: http.MethodGet, path: "/portal/x"})
		is.Equal(statuses, map[int]int{http.StatusOK: int(time.Second / fleetCallGap)})
	})
}

// TestLimitOfAServerHoldsOverAllVMs guards against more requests than an engine or an instance says that it takes from all VMs
// together, and against one that is hardly used.
func TestLimitOfAServerHoldsOverAllVMs(t *testing.T) {
	const (
		settle   = 6 * time.Second
		length   = 20 * time.Second
		minShare = 0.7 // of the limit
	)
	for _, tc := range []struct {
		name               string
		engines, instances int
		limited            int
		call               fleetCall
	}{
		{"one engine", 3, 0, 1, fleetCall{}},
		{"all engines", 3, 0, 3, fleetCall{}},
		{"one instance", 0, 3, 1, fleetCall{method: http.MethodGet, path: "/portal/x"}},
		{"all instances", 0, 3, 3, fleetCall{method: http.MethodGet, path: "/portal/x"}},
		{"instances, at most once", 0, 3, 3, fleetCall{method: http.MethodPost, path: "/portal/bookings", key: "k"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, tc.engines, tc.instances, func(t *testing.T, f *fleet) {
				is := is.New(t)
				const limit = 4
				for _, s := range f.servers[:tc.limited] {
					s.setRespond(saying("Server-Limit", strconv.Itoa(limit)))
				}
				start := time.Now()
				f.sendEvery(settle, tc.call)
				statuses := f.sendEvery(length, tc.call)
				served := 0
				for _, s := range f.servers[:tc.limited] {
					is.True(noticerules.OverLimit(s.seen(), limit, start.Add(noticerules.ContactTime)) <= 0)
					served += len(s.seen())
				}
				is.True(float64(served) >= minShare*limit*float64(tc.limited)*length.Seconds())
				if tc.limited < len(f.servers) {
					is.Equal(statuses, map[int]int{http.StatusOK: int(length / fleetCallGap)})
				}
				is.Equal(statuses[http.StatusBadGateway], 0)
			})
		})
	}
}
