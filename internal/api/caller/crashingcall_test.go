package caller

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallThatCrashesInstancesIsRefused guards against a call to a plain service that comes again and crashes instance after instance,
// at any VM, with and without a body and on both kinds of route, and against a refusal of other callers' calls to the same path.
func TestCallThatCrashesInstancesIsRefused(t *testing.T) {
	const (
		calls       = 20
		maxCrashes  = 5 // three, and what is in flight until all VMs know of them
		callPause   = 2500 * time.Millisecond
		restartTime = 200 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		call fleetCall
	}{
		{"repeatable", fleetCall{method: http.MethodGet, path: "/portal/x?page=3"}},
		{"at most once", fleetCall{method: http.MethodPost, path: "/portal/bookings", key: "k"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, 0, 3, func(t *testing.T, f *fleet) {
				is := is.New(t)
				for _, s := range f.servers {
					s.setRespond(func(_ http.ResponseWriter, r *http.Request) bool {
						if r.Header.Get("Crash") == "" {
							return false
						}
						f.group.Go(func() error {
							f.restart(s, restartTime)
							return nil
						})
						panic(http.ErrAbortHandler)
					})
				}
				crashing, sound := tc.call, tc.call
				crashing.header, sound.header = []string{"Crash", "1"}, []string{"Authorization", "Bearer other"}
				last := 0
				for n := range calls {
					last = f.send(n%len(f.vms), crashing).Code
					time.Sleep(callPause)
					is.Equal(f.send((n+1)%len(f.vms), sound).Code, http.StatusOK)
				}
				is.Equal(last, http.StatusUnprocessableEntity)
				crashes := 0
				for _, s := range f.servers {
					crashes += s.bootID - 1
				}
				is.True(crashes <= maxCrashes)
			})
		})
	}
}

// TestCallThatCrashesInstancesIsRefusedWhoeverMakesIt guards against a call to a plain service that crashes instance after instance and
// comes from another caller each time.
func TestCallThatCrashesInstancesIsRefusedWhoeverMakesIt(t *testing.T) {
	const (
		calls       = 20
		maxCrashes  = 5 // three, and what is in flight until all VMs know of them
		callPause   = 2500 * time.Millisecond
		restartTime = 200 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		call fleetCall
	}{
		{"repeatable", fleetCall{method: http.MethodGet, path: "/portal/x?page=3"}},
		{"at most once", fleetCall{method: http.MethodPost, path: "/portal/bookings", key: "k", body: `{"stand": 7}`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 3, 0, 3, func(t *testing.T, f *fleet) {
				is := is.New(t)
				for _, s := range f.servers {
					s.setRespond(func(_ http.ResponseWriter, r *http.Request) bool {
						if r.Header.Get("Crash") == "" {
							return false
						}
						f.group.Go(func() error {
							f.restart(s, restartTime)
							return nil
						})
						panic(http.ErrAbortHandler)
					})
				}
				last := 0
				for n := range calls {
					crashing := tc.call
					crashing.header = []string{"Crash", "1", "Authorization", "Bearer " + strconv.Itoa(n)}
					last = f.send(n%len(f.vms), crashing).Code
					time.Sleep(callPause)
				}
				is.Equal(last, http.StatusUnprocessableEntity)
				crashes := 0
				for _, s := range f.servers {
					crashes += s.bootID - 1
				}
				is.True(crashes <= maxCrashes)
			})
		})
	}
}
