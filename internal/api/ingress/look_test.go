package ingress_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

const healthPath = "/health"

// newEngineRig returns a rig whose servers are engines that tell their load in answers to liveness checks.
func newEngineRig(t *testing.T, backends ...*backend) *rig {
	t.Helper()
	routes := stream(false)
	rg := newRig(t, routes, backends...)
	rg.handler.SetRoutes(table.New(&deck.RoutingConfig{
		Version: 1, Routes: routes,
		Services: []deck.RoutedService{{Name: "svc", HealthPath: healthPath, Engine: &deck.EngineSpec{}}},
	}))
	return rg
}

// engineOf answers calls with its name, and liveness checks by the function.
func engineOf(name string, health func(c net.Conn, r *http.Request) bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == healthPath {
			return health(c, r)
		}
		return plain(name)(c, r)
	}
}

func paced(name, pace string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", "Pace: "+pace+"\r\nServer-Name: "+name+"\r\nContent-Length: 0\r\n", "")
	}
}

// Load pattern: some VMs of engines are busy with other work for half a second at a time, and the next prompt that is read there
// holds up all streams beyond their targets.
func TestCallsAvoidEnginesOnBusyVMs(t *testing.T) {
	is := is.New(t)
	slow := newBackend(t, "e1", engineOf("e1", paced("e1", "2.5")))
	usual := newBackend(t, "e2", engineOf("e2", paced("e2", "1")))
	rg := newEngineRig(t, slow, usual)
	for range 3 {
		res := rg.call(t, http.MethodPost, "/p/x", "b")
		is.Equal(res.body, "e2")
	}
	for _, r := range slow.requests() {
		is.Equal(r.URL.Path, healthPath)
	}
}

// A call is served although all engines are slow, or say wrong things of themselves.
func TestLivenessAnswersKeepNoCallFromBeingServed(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request) bool {
		<-make(chan struct{})
		return false
	}
	sick := func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "503 Sick", "Content-Length: 0\r\n", "")
	}
	for name, health := range map[string]func(net.Conn, *http.Request) bool{
		"slow": paced("e1", "2.5"), "reset": reset, "sick": sick, "silent": silent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rg := newEngineRig(t, newBackend(t, "e1", engineOf("e1", health)))
			res := rg.call(t, http.MethodPost, "/p/x", "b")
			is.NoErr(res.err)
			is.Equal(res.body, "e1")
		})
	}
}

// An engine that has another one's address gets no call.
func TestEngineAtAnothersAddressGetsNoCall(t *testing.T) {
	is := is.New(t)
	other := newBackend(t, "e1", engineOf("e9", paced("e9", "1")))
	right := newBackend(t, "e2", engineOf("e2", paced("e2", "1")))
	rg := newEngineRig(t, other, right)
	is.Equal(rg.call(t, http.MethodPost, "/p/x", "b").body, "e2")
}
