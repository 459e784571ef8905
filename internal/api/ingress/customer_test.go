package ingress_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

// customersConfig returns a configuration with a public route and one that needs a key.
func customersConfig(version uint64, customers ...deck.Customer) *deck.RoutingConfig {
	route := deck.Route{
		Name: "keyed", Host: "a.example", Prefix: "/", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxAttempts: 1,
		Targets: []deck.RouteTarget{{Service: "svc", Weight: 1}},
	}
	public := route
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	batch := route
	batch.Name, batch.Prefix, batch.LatencyTarget = "batch", "/batch/", 3*time.Second
	return &deck.RoutingConfig{
		Version: version, Routes: []deck.Route{route, public, batch}, Customers: customers,
		Services: []deck.RoutedService{{Name: "svc", Engine: &deck.EngineSpec{}}},
	}
}

// secret is a prefix of all keys of callers; no log may contain it.
const secret = "s3cret"

var (
	gold   = deck.Customer{Name: "gold", Keys: []deck.APIKey{secret + "-gold", secret + "-gold-2"}, HasPriority: true}
	silver = deck.Customer{Name: "silver", Keys: []deck.APIKey{secret + "-silver"}, HasPriority: true, Priority: 2}
)

// A capturedLog collects log lines.
type capturedLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *capturedLog) write(prefix, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, prefix+args)
}

func (l *capturedLog) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(strings.Join(l.lines, "\n"), text)
}

// newCustomersHarness returns a harness with customers, its backend server and its log.
func newCustomersHarness(t *testing.T) (*harness, *backend, *capturedLog) {
	t.Helper()
	b := newBackend(t, "i-1", answerWith("ok"))
	h := newHarness(t, []deck.Route{{Prefix: "/"}}, b)
	log := &capturedLog{}
	h.handler.Log = funcr.New(log.write, funcr.Options{Verbosity: 9})
	h.handler.SetRoutes(table.New(customersConfig(1, gold, silver)))
	return h, b, log
}

// callWithKeys sends a call with the given keys, and a customer that the caller chose.
func (h *harness) callWithKeys(t *testing.T, path string, keys ...string) result {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+path, nil)
	is.NoErr(err)
	r.Host = "a.example"
	r.Header = http.Header{
		"Call-Id": {"id-1"}, "Call-Deadline-Ms": {"2000"}, "Call-Customer": {"chosen"}, "Connection": {"Call-Customer"},
		"Call-Key": keys,
	}
	resp, err := h.server.Client().Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	body := make([]byte, 200)
	n, _ := resp.Body.Read(body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body[:n])}
}

// Guards against calls whose customer the caller chooses, and against keys that reach a backend server, a log or an answer.
func TestKeysDecideTheCustomer(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		keys     []string
		status   int
		customer string // that the backend server is told
	}{
		{"first key", "/x", []string{secret + "-gold"}, 200, "gold"},
		{"second key", "/x", []string{secret + "-gold-2"}, 200, "gold"},
		{"other customer", "/x", []string{secret + "-silver"}, 200, "silver"},
		{"none", "/x", nil, 401, ""},
		{"unknown", "/x", []string{secret + "-lead"}, 401, ""},
		{"part of a key", "/x", []string{secret}, 401, ""},
		{"longer than a key", "/x", []string{secret + "-gold "}, 200, "gold"}, // spaces around a value are not part of it
		{"with a space", "/x", []string{secret + "- gold"}, 401, ""},
		{"two in one", "/x", []string{secret + "-gold," + secret + "-gold"}, 401, ""},
		{"empty", "/x", []string{""}, 401, ""},
		{"repeated", "/x", []string{secret + "-gold", secret + "-gold"}, 401, ""},
		{"of two customers", "/x", []string{secret + "-gold", secret + "-silver"}, 401, ""},
		{"large", "/x", []string{secret + strings.Repeat("x", 16<<10)}, 401, ""},
		{"not ASCII", "/x", []string{secret + "\xff\xfe"}, 401, ""},
		{"public route", "/public/x", nil, 200, ""},
		{"public route with a key", "/public/x", []string{secret + "-gold"}, 200, ""},
		{"public route with an unknown key", "/public/x", []string{secret}, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, b, log := newCustomersHarness(t)
			got := h.callWithKeys(t, c.path, c.keys...)
			is.Equal(got.status, c.status)
			is.True(!strings.Contains(got.body, secret))
			is.True(!log.contains(secret))
			requests := b.requests()
			is.Equal(len(requests), map[int]int{200: 1, 401: 0}[c.status])
			for _, r := range requests {
				is.Equal(strings.Join(r.Header.Values("Call-Customer"), " "), c.customer)
				is.Equal(len(r.Header.Values("Call-Key")), 0)
			}
		})
	}
}

// Guards against deployments without customers that are served otherwise than before.
func TestConfigurationWithoutCustomersAsksForNoKey(t *testing.T) {
	is := is.New(t)
	h, b, _ := newCustomersHarness(t)
	h.handler.SetRoutes(table.New(customersConfig(2)))
	h.handler.TrustsKeys = func() bool { return false }
	is.True(!h.handler.RefusesKeys())
	is.Equal(h.callWithKeys(t, "/x", "of the backend server").status, 200)
	is.Equal(b.requests()[0].Header.Get("Call-Key"), "of the backend server")
}

// Guards against a 401 for a key that a newer configuration may have, and against a key that a newer one may have taken away.
func TestKeysThatCannotBeVerified(t *testing.T) {
	for _, c := range []struct {
		name    string
		key     string
		viewAge time.Duration
		trusted bool
		status  int
	}{
		{"known", secret + "-gold", 0, true, 200},
		{"known, old view", secret + "-gold", 4 * time.Second, true, 200},
		{"known, not trusted", secret + "-gold", 0, false, 503},
		{"unknown", secret, 0, true, 401},
		{"unknown, not trusted", secret, 0, false, 503},
		{"unknown, old view", secret, 4 * time.Second, true, 503},
		{"malformed, old view", "", 4 * time.Second, true, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, b, log := newCustomersHarness(t)
			var refused []ingress.KeyRefusal
			h.handler.OnKeyRefused = func(r ingress.KeyRefusal) { refused = append(refused, r) }
			h.handler.ViewAge = func() time.Duration { return c.viewAge }
			h.handler.TrustsKeys = func() bool { return c.trusted }
			is.Equal(h.handler.RefusesKeys(), !c.trusted)
			got := h.callWithKeys(t, "/x", c.key)
			is.Equal(got.status, c.status)
			is.Equal(len(refused), map[bool]int{true: 0, false: 1}[c.status == 200])
			is.Equal(got.header.Get("Retry-After") != "", c.status == 503)
			is.Equal(len(b.requests()) > 0, c.status == 200)
			is.True(!log.contains(secret))
		})
	}
}

// Guards against a call that waits in this VM while its key is taken away, or while the VM is suspended, and is sent to a backend server
// afterwards.
func TestKeyIsCheckedAgainBeforeACallIsSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		during func(h *harness, untrust func())
		status int
	}{
		{"nothing changes", func(*harness, func()) {}, 200},
		{"key is taken away", func(h *harness, _ func()) { h.handler.SetRoutes(table.New(customersConfig(2, silver))) }, 401},
		{"key has another customer", func(h *harness, _ func()) {
			lead := gold
			lead.Name = "lead"
			h.handler.SetRoutes(table.New(customersConfig(2, lead)))
		}, 401},
		{"customer has another key too", func(h *harness, _ func()) {
			more := gold
			more.Keys = append([]deck.APIKey{"more"}, gold.Keys...)
			h.handler.SetRoutes(table.New(customersConfig(2, more)))
		}, 200},
		{"this VM is suspended", func(_ *harness, untrust func()) { untrust() }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, b, log := newCustomersHarness(t)
			var mu sync.Mutex
			trusted := true
			h.handler.TrustsKeys = func() bool {
				mu.Lock()
				defer mu.Unlock()
				return trusted
			}
			h.setServers() // the model is loaded while the call waits
			h.placer.place = func() deck.Placement {
				c.during(h, func() {
					mu.Lock()
					defer mu.Unlock()
					trusted = false
				})
				h.balancer.SetServers(time.Now(), []deck.Server{{
					ID: b.id, Service: "svc", Address: b.addr, Slots: 8, Models: []deck.HeldModel{{Name: "m1", Version: 1}},
				}})
				return deck.Placement{ReadyIn: 20 * time.Millisecond}
			}
			h.balancer.SetServers(time.Now(), []deck.Server{{ID: b.id, Service: "svc", Address: b.addr, Slots: 8}})
			is.Equal(h.callWithKeys(t, "/x?model=m1", secret+"-gold").status, c.status)
			is.Equal(len(b.requests()) > 0, c.status == 200)
			is.True(!log.contains(secret))
		})
	}
}

// Guards against a customer's priority that reorders interactive calls, which preempt each other at engines, or is lost for batch work.
func TestCustomersPriorityDecidesAmongBatchCalls(t *testing.T) {
	for _, c := range []struct{ path, key, priority string }{
		{"/x?model=m1", secret + "-gold", "2"},
		{"/x?model=m1", secret + "-silver", "2"},
		{"/batch/x?model=m1", secret + "-gold", "6"},
		{"/batch/x?model=m1", secret + "-silver", "8"},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			h, b, _ := newCustomersHarness(t)
			h.balancer.SetServers(time.Now(), []deck.Server{{
				ID: b.id, Service: "svc", Address: b.addr, Slots: 8, Models: []deck.HeldModel{{Name: "m1", Version: 1}},
			}})
			is.Equal(h.callWithKeys(t, c.path, c.key).status, 200)
			is.Equal(b.requests()[0].Header.Get("Call-Priority"), c.priority)
		})
	}
}
