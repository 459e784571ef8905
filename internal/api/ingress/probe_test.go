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

// newEngineHarness returns a harness whose servers are engines that report their load in liveness answers.
func newEngineHarness(t *testing.T, backends ...*backend) *harness {
	t.Helper()
	routes := stream(false)
	h := newHarness(t, routes, backends...)
	h.handler.SetRoutes(table.New(&deck.RoutingConfig{
		Version: 1, Routes: routes,
		Services: []deck.RoutedService{{Name: "svc", HealthPath: healthPath, Engine: &deck.EngineSpec{}}},
	}))
	return h
}

// engineAnswer answers calls with the name, and liveness checks by the function.
func engineAnswer(name string, health func(c net.Conn, r *http.Request) bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == healthPath {
			return health(c, r)
		}
		return answerWith(name)(c, r)
	}
}

// healthWithSlowdown answers a liveness check with the engine's name and slowdown.
func healthWithSlowdown(name, slowdown string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "200 OK", "Pace: "+slowdown+"\r\nServer-Name: "+name+"\r\nContent-Length: 0\r\n", "")
	}
}

// Load pattern: some engine VMs are busy with other work for half a second at a time, and the next prompt that is read there
// delays all streams beyond their targets.
func TestCallsAvoidEnginesOnBusyVMs(t *testing.T) {
	is := is.New(t)
	slow := newBackend(t, "e1", engineAnswer("e1", healthWithSlowdown("e1", "2.5")))
	usual := newBackend(t, "e2", engineAnswer("e2", healthWithSlowdown("e2", "1")))
	h := newEngineHarness(t, slow, usual)
	for range 3 {
		res := h.call(t, http.MethodPost, "/p/x", "b")
		is.Equal(res.body, "e2")
	}
	for _, r := range slow.requests() {
		is.Equal(r.URL.Path, healthPath)
	}
}

// Guards against a call that is not served because every engine is slow, fails its probe or wrongly reports that it is unhealthy.
func TestCallIsServedDespiteBadProbes(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request) bool {
		<-make(chan struct{})
		return false
	}
	sick := func(c net.Conn, r *http.Request) bool {
		return reply(c, r, "503 Sick", "Content-Length: 0\r\n", "")
	}
	for name, health := range map[string]func(net.Conn, *http.Request) bool{
		"slow": healthWithSlowdown("e1", "2.5"), "reset": resetConnection, "sick": sick, "silent": silent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newEngineHarness(t, newBackend(t, "e1", engineAnswer("e1", health)))
			res := h.call(t, http.MethodPost, "/p/x", "b")
			is.NoErr(res.err)
			is.Equal(res.body, "e1")
		})
	}
}

// Guards against a call that is sent to an engine whose address now belongs to another engine.
func TestEngineWithWrongIdentityGetsNoCall(t *testing.T) {
	is := is.New(t)
	other := newBackend(t, "e1", engineAnswer("e9", healthWithSlowdown("e9", "1")))
	right := newBackend(t, "e2", engineAnswer("e2", healthWithSlowdown("e2", "1")))
	h := newEngineHarness(t, other, right)
	is.Equal(h.call(t, http.MethodPost, "/p/x", "b").body, "e2")
}
