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
	testCrashingCall(t, func(t *testing.T, f *fleet, n int, call fleetCall) int {
		crashing, sound := call, call
		crashing.header, sound.header = []string{"Crash", "1"}, []string{"Authorization", "Bearer other"}
		status := f.send(n%len(f.vms), crashing).Code
		time.Sleep(crashingCallPause)
		is.New(t).Equal(f.send((n+1)%len(f.vms), sound).Code, http.StatusOK)
		return status
	})
}

// TestCallThatCrashesInstancesIsRefusedWhoeverMakesIt guards against a call to a plain service that crashes instance after instance and
// comes from another caller each time.
func TestCallThatCrashesInstancesIsRefusedWhoeverMakesIt(t *testing.T) {
	testCrashingCall(t, func(_ *testing.T, f *fleet, n int, call fleetCall) int {
		call.header = []string{"Crash", "1", "Authorization", "Bearer " + strconv.Itoa(n)}
		status := f.send(n%len(f.vms), call).Code
		time.Sleep(crashingCallPause)
		return status
	})
}

const crashingCallPause = 2500 * time.Millisecond

// testCrashingCall calls send 20 times for each kind of call; calls with the header Crash end the instance. It checks that few do, and that
// send returns a refusal in the end.
func testCrashingCall(t *testing.T, send func(t *testing.T, f *fleet, n int, call fleetCall) (status int)) {
	t.Helper()
	const (
		calls       = 20
		maxCrashes  = 5 // three, and what is in flight until all VMs know of them
		restartTime = 200 * time.Millisecond
	)
	for name, call := range map[string]fleetCall{
		"repeatable":             {method: http.MethodGet, path: "/portal/x?page=3"},
		"at most once":           {method: http.MethodPost, path: "/portal/bookings", key: "k"},
		"at most once with body": {method: http.MethodPost, path: "/portal/bookings", key: "k", body: `{"stand": 7}`},
	} {
		t.Run(name, func(t *testing.T) {
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
					last = send(t, f, n, call)
				}
				is.Equal(last, http.StatusUnprocessableEntity)
				crashes := 0
				for _, s := range f.servers {
					crashes += s.restarts()
				}
				is.True(crashes <= maxCrashes)
			})
		})
	}
}
