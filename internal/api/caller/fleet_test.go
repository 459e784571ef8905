package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/service"
	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

const (
	fleetCallGap    = 20 * time.Millisecond // between calls, over all VMs
	maxRefusalDelay = 50 * time.Millisecond // of a refusal that needs no wait
)

// A fleet is several entry VMs of the inference API in front of the same backend servers: engines that hold the model m, and
// instances of the service portal.
type fleet struct {
	net     decktest.PipeNetwork
	vms     []*fleetVM
	servers []*fleetServer
	replica fleetReplicas
	poison  sharedPoison
	permits restraint.SharedPermits
	size    int          // number of VMs
	calls   atomic.Int64 // with an idempotency key
	group   errgroup.Group
}

// A fleetVM is one start of an entry VM.
type fleetVM struct {
	handler *Handler
	router  *router.Router
	stop    context.CancelFunc
}

// A fleetServer is an engine or an instance that records the requests that it gets.
type fleetServer struct {
	name   string
	engine bool

	mu       sync.Mutex
	bootID   int
	respond  func(w http.ResponseWriter, r *http.Request) bool // answers instead of the server if it returns true; may be nil
	requests []noticerules.Request
	http     *http.Server
}

// fleetReplicas are engines that hold the model m.
type fleetReplicas []deck.ModelReplica

func (r fleetReplicas) Replicas(deck.ModelName) []deck.ModelReplica      { return r }
func (fleetReplicas) HasAdapter(deck.BackendName, deck.AdapterName) bool { return true }

// A leadingReplica leads the replicated log.
type leadingReplica struct{}

func (leadingReplica) Health(context.Context) ([]deck.ReplicaHealth, error) { return nil, nil }

func (leadingReplica) LeaderTerm(time.Time, time.Duration) (term uint64, ok bool) { return 1, true }

// A sharedPoison is a poison store that all VMs share. It refuses a part as the replicated table does.
type sharedPoison struct {
	mu      sync.Mutex
	crashes map[uint64]map[string]*blame.PartCrash // by part and crashed process
}

func (*sharedPoison) IsRefused(string) bool { return false }

func (s *sharedPoison) IsPartRefused(part uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []blame.PartCrash
	for _, c := range s.crashes[part] {
		crashes = append(crashes, *c)
	}
	return blame.IsPartBlamed(crashes)
}

func (s *sharedPoison) ReportCrash(_ context.Context, r deck.CrashReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes == nil {
		s.crashes = make(map[uint64]map[string]*blame.PartCrash)
	}
	for _, part := range r.Parts {
		if s.crashes[part] == nil {
			s.crashes[part] = make(map[string]*blame.PartCrash)
		}
		process := string(r.Backend) + " " + r.BootID
		c := s.crashes[part][process]
		if c == nil {
			c = &blame.PartCrash{At: time.Now()}
			s.crashes[part][process] = c
		}
		if request := blame.Fingerprint(r.Digest); !slices.Contains(c.Requests, request) {
			c.Requests = append(c.Requests, request)
		}
	}
	return nil
}

func (s *sharedPoison) ReportSound(_ context.Context, part uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.crashes, part)
	return nil
}

// runFleet calls test with a fleet in a synctest bubble.
func runFleet(t *testing.T, vms, engines, instances int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{size: vms}
		f.permits = restraint.SharedPermits{
			Monitor: leadingReplica{}, Clock: deck.SystemClock{}, MaxLeadershipAge: time.Second, VMs: func() int { return vms },
		}
		ticket := deck.Ticket{Models: []deck.Model{{Name: "m", Active: "v1", Versions: []deck.ModelVersion{{Name: "v1"}}}}}
		portal := deck.Service{
			Name: "portal", Prefix: "/portal",
			Routes: []deck.ServiceRoute{{Path: "/", Repeatable: true}, {Path: "/bookings"}},
		}
		for i := range engines + instances {
			s := &fleetServer{name: "e" + strconv.Itoa(i), engine: true, bootID: 1}
			kind := deck.EngineBackend
			if i >= engines {
				s.name, s.engine, kind = "s"+strconv.Itoa(i-engines), false, deck.ServiceBackend
				portal.Backends = append(portal.Backends, deck.BackendName(s.name))
			} else {
				f.replica = append(f.replica, deck.ModelReplica{Backend: deck.BackendName(s.name), Version: "v1", Ready: true})
			}
			ticket.BackendServers = append(ticket.BackendServers, deck.BackendServer{
				Name: deck.BackendName(s.name), Kind: kind, Address: s.name + ":80", DataCentre: "here",
			})
			f.servers = append(f.servers, s)
			f.start(s)
		}
		ticket.Services = []deck.Service{portal}
		for i := range vms {
			f.vms = append(f.vms, f.startVM(ctx, "vm"+strconv.Itoa(i), ticket))
		}
		t.Cleanup(func() {
			cancel()
			for _, s := range f.servers {
				s.close()
			}
			time.Sleep(2 * time.Minute) // lets all timers expire inside the bubble
			_ = f.group.Wait()          // the parts end without errors
		})
		test(t, f)
	})
}

func (f *fleet) startVM(ctx context.Context, name string, ticket deck.Ticket) *fleetVM {
	restraints := &restraint.Table{Self: deck.VMName(name), Permits: &f.permits}
	restraints.SetVMs(time.Now(), f.size)
	clock := deck.SystemClock{}
	state := decktest.StateSource{Current: deck.State{}.WithTicket(ticket, 1)}
	clients := make(map[deck.BackendName]deck.Engine)
	for _, b := range ticket.BackendServers {
		c := engine.New(b.Address, clock, f.net.Dial)
		c.ReportNotices(b.Name, restraints)
		clients[b.Name] = c
	}
	r := router.New(router.Config{
		DataCentre: "here", Regions: map[deck.DataCentre]deck.Region{"here": "r"}, Clock: clock,
		Rand: rand.New(rand.NewPCG(1, 1)), State: state, Residency: f.replica, Poison: &f.poison, Restraints: restraints,
	})
	vm := &fleetVM{router: r}
	vm.handler = &Handler{
		Router: r, Engine: func(b deck.BackendServer) deck.Engine { return clients[b.Name] }, State: state, Residency: f.replica,
		Services: service.New(service.DialFunc(f.net.Dial)), Idempotency: &decktest.IdempotencyStore{}, Poison: &f.poison,
		Clock: clock, VM: deck.VMName(name), DataCentre: "here", Restraints: restraints, Leaving: r.IsListedAsLeaving,
	}
	ctx, vm.stop = context.WithCancel(ctx)
	r.Start(ctx, &f.group)
	return vm
}

// start serves a server's address.
func (f *fleet) start(s *fleetServer) {
	l := f.net.Listen(s.name + ":80")
	srv := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.http = srv
	s.mu.Unlock()
	f.group.Go(func() error {
		_ = srv.Serve(l) // returns once the server is closed
		return nil
	})
}

// restart ends a server with all its requests and starts it again after the given time.
func (f *fleet) restart(s *fleetServer, after time.Duration) {
	s.close()
	time.Sleep(after)
	s.mu.Lock()
	s.bootID++
	s.mu.Unlock()
	f.start(s)
}

func (s *fleetServer) close() {
	s.mu.Lock()
	srv := s.http
	s.mu.Unlock()
	_ = srv.Close()
}

// restarts returns how often the server was started again.
func (s *fleetServer) restarts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID - 1
}

// setRespond changes how the server answers.
func (s *fleetServer) setRespond(respond func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

// seen returns the callers' requests that the server got so far.
func (s *fleetServer) seen() []noticerules.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// ServeHTTP implements http.Handler.ServeHTTP.
func (s *fleetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // fails if the VM has disconnected
	s.mu.Lock()
	w.Header().Set("Boot-ID", "b"+strconv.Itoa(s.bootID))
	if strings.HasPrefix(r.URL.Path, "/engine/") {
		s.mu.Unlock()
		return
	}
	vm, _, _ := strings.Cut(r.Header.Get("Request-Id"), "-")
	if !s.engine {
		vm = r.Header.Get("Sent-By")
	}
	s.requests = append(s.requests, noticerules.Request{At: time.Now(), VM: vm})
	n, respond := len(s.requests)-1, s.respond
	s.mu.Unlock()
	switch {
	case respond != nil && respond(w, r):
	case s.engine:
		(&fakeEngine{}).answer(w, r, "")
	default:
		_, _ = io.WriteString(w, "answer") // fails if the VM has disconnected
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[n].Answered, s.requests[n].Header = time.Now(), w.Header().Clone()
}

// A fleetCall is a call of a caller: a chat completion if the path is empty.
type fleetCall struct {
	method, path, key string   // the key gets a number of its own in each call
	body              string   // only with a path
	header            []string // names and values in turn
}

// send sends a call to a VM and returns the answer; its status is 0 if the connection was broken.
func (f *fleet) send(vm int, c fleetCall) *httptest.ResponseRecorder {
	method, path, body := http.MethodPost, chatPath, streamBody
	if c.path != "" {
		method, path, body = c.method, c.path, c.body
	}
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Sent-By", "vm"+strconv.Itoa(vm))
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key+strconv.FormatInt(f.calls.Add(1), 10))
	}
	for i := 0; i+1 < len(c.header); i += 2 {
		r.Header.Set(c.header[i], c.header[i+1])
	}
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil { // http.ErrAbortHandler
			w.Code = 0
		}
	}()
	f.vms[vm].handler.ServeHTTP(w, r)
	return w
}

// sendEvery sends a call to the VMs in turn, one in each fleetCallGap, beside each other, and counts the answers by status.
func (f *fleet) sendEvery(length time.Duration, c fleetCall) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var g errgroup.Group
	for n := 0; time.Duration(n)*fleetCallGap < length; n++ {
		g.Go(func() error {
			w := f.send(n%len(f.vms), c)
			mu.Lock()
			defer mu.Unlock()
			statuses[w.Code]++
			return nil
		})
		time.Sleep(fleetCallGap)
	}
	_ = g.Wait() // the calls return no errors
	return statuses
}

// other returns the other of two servers.
func (f *fleet) other(s *fleetServer) *fleetServer {
	if f.servers[0] == s {
		return f.servers[1]
	}
	return f.servers[0]
}
