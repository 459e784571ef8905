package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

const engineStartTime = time.Second

// A fleet is several entry VMs in front of the same engines, with the control leader that they poll, on an in-memory network.
type fleet struct {
	net     decktest.PipeNetwork
	ctx     context.Context
	group   errgroup.Group
	leader  *hub.Publisher
	log     *leaderLog
	engines []*fleetEngine
	mu      sync.Mutex // guards the engines' entries in the list, the VMs that restart, and leaving
	vms     []*fleetVM
	calls   atomic.Int64

	permits  *restraint.SharedPermits
	noLeader atomic.Bool  // nobody grants permits
	asked    atomic.Int64 // requests for permits

	leaving map[string]string // servers that the VMs have reported as leaving in their last reports, by VM
}

// A leaderLog is the replicated log as the VM sees it that leads.
type leaderLog struct{}

func (leaderLog) Propose(context.Context, []byte) ([]byte, error)            { return nil, errors.New("unused") }
func (leaderLog) Barrier(context.Context) error                              { return errors.New("unused") }
func (leaderLog) Health(context.Context) ([]deck.ReplicaHealth, error)       { return nil, nil }
func (leaderLog) LeaderTerm(time.Time, time.Duration) (term uint64, ok bool) { return 1, true }

func (leaderLog) Status() deck.LogStatus {
	return deck.LogStatus{Self: deck.ReplicaID{VM: "leader"}, Leader: deck.ReplicaID{VM: "leader"}}
}

// recordReport is called with each report of a VM.
func (f *fleet) recordReport(r deck.ViewRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, l := range r.Leaving {
		names = append(names, string(l.Server)+" "+l.Incarnation)
	}
	if f.leaving == nil {
		f.leaving = make(map[string]string)
	}
	f.leaving[string(r.VM)] = strings.Join(names, ", ")
}

// reportedLeaving returns the servers that the VM has reported as leaving in its last report.
func (f *fleet) reportedLeaving(vm string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[vm]
}

// RequestView implements deck.ViewClient.RequestView.
func (f *fleet) RequestView(ctx context.Context, _ deck.VMName, r deck.ViewRequest) (deck.ViewAnswer, error) {
	return f.leader.View(ctx, r), nil
}

// TakePermit implements deck.PermitSource.TakePermit.
func (f *fleet) TakePermit(ctx context.Context, r deck.PermitRequest) (deck.PermitAnswer, error) {
	if f.noLeader.Load() {
		return deck.PermitAnswer{}, restraint.ErrNotLeading
	}
	f.asked.Add(1)
	return f.permits.TakePermit(ctx, r)
}

// A fleetVM is one start of an entry VM.
type fleetVM struct {
	name    string
	handler *ingress.Handler
	stop    context.CancelFunc
}

// A fleetEngine is an engine that records the requests that it gets.
type fleetEngine struct {
	server deck.Server
	answer func(w http.ResponseWriter, r *http.Request) // nil answers 200

	mu       sync.Mutex
	requests []noticerules.Request
	crashes  []time.Time
	http     *http.Server
}

// runFleet calls test with a fleet of the given size in a synctest bubble.
func runFleet(t *testing.T, vms, engines int, routes []deck.Route, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{ctx: ctx, log: &leaderLog{}}
		f.leader = hub.NewPublisher(hub.Options{
			Log: f.log, Monitor: f.log, Clock: deck.SystemClock{}, Logger: logr.Discard(), MaxLeadershipAge: time.Second,
			Report: f.recordReport,
		})
		f.permits = &restraint.SharedPermits{
			Monitor: f.log, Clock: deck.SystemClock{}, MaxLeadershipAge: time.Second, VMs: f.leader.EntryVMs,
		}
		for i := range engines {
			id := deck.BackendName("e" + strconv.Itoa(i))
			e := &fleetEngine{server: deck.Server{ID: id, Service: "svc", Address: string(id) + ":80", Slots: 8, StartUnixMs: 1}}
			f.engines = append(f.engines, e)
			f.startEngine(e)
		}
		f.publishServers()
		for i := range vms {
			f.vms = append(f.vms, f.startVM("vm"+strconv.Itoa(i), routes))
		}
		t.Cleanup(func() {
			cancel()
			for _, e := range f.engines {
				e.close()
			}
			time.Sleep(2 * time.Minute) // lets all timers expire inside the bubble
			_ = f.group.Wait()          // the parts end without errors
		})
		time.Sleep(2 * time.Second) // every VM has the list, and the number of VMs
		test(t, f)
	})
}

// publishServers publishes the engines as the platform lists them.
func (f *fleet) publishServers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []deck.Server
	for _, e := range f.engines {
		list = append(list, e.server)
	}
	f.leader.SetServers(1, list)
}

func (f *fleet) startVM(name string, routes []deck.Route) *fleetVM {
	restraints := &restraint.Table{Self: deck.VMName(name), Permits: f}
	balancer := balance.NewBalancer(func(deck.DataCentre) balance.Distance { return balance.SameDataCentre }, zeroRand{}, restraints)
	budget := &balance.RetryBudget{}
	budget.SetLimits(10*time.Second, 0.2, 20)
	vm := &fleetVM{name: name}
	vm.handler = &ingress.Handler{
		Codec: vmCodec{vm: name}, Balancer: balancer, Budget: budget, Placer: &fakePlacer{}, Demand: &ingress.DemandCounter{},
		Poison: &ingress.PoisonDetector{}, Random: zeroRand{}, Log: logr.Discard(), Restraints: restraints,
		Client: &http1.Client{
			Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return f.net.Dial(ctx, "tcp", addr) },
			DialTimeout: time.Second, IdleTimeout: time.Minute,
		},
	}
	vm.handler.SetRoutes(table.New(fleetConfig(routes)))
	s := hub.NewSubscriber(hub.SubscriberOptions{
		Self: deck.VMName(name), Seeds: func() []deck.VMName { return []deck.VMName{"leader"} }, Client: f, Logger: logr.Discard(),
		Report: vm.handler.FillReport, Config: func(deck.RoutingDocument) {},
		VMs: func(n int) {
			balancer.SetEntryVMs(n)
			restraints.SetVMs(time.Now(), n)
		},
		Servers: func(list []deck.Server) { balancer.SetServers(time.Now(), list) },
		Calls:   vm.handler.ApplyCalls, Blame: vm.handler.ApplyBlame,
	})
	ctx, cancel := context.WithCancel(f.ctx)
	vm.stop = cancel
	f.group.Go(func() error { return s.Run(ctx) })
	return vm
}

// restartVM replaces a VM by a new start of it, which remembers nothing.
func (f *fleet) restartVM(i int, routes []deck.Route) {
	old := f.vm(i)
	old.stop()
	started := f.startVM(old.name, routes)
	f.mu.Lock()
	f.vms[i] = started
	f.mu.Unlock()
	time.Sleep(time.Second)
}

// vm returns the present start of a VM.
func (f *fleet) vm(i int) *fleetVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

func fleetConfig(routes []deck.Route) *deck.RoutingConfig {
	cfg := &deck.RoutingConfig{
		Version: 1, Services: []deck.RoutedService{{Name: "svc"}}, Limits: deck.CallerLimits{MaxBodyBytes: 1 << 20},
	}
	for _, r := range routes {
		r.Host, r.Targets, r.Timeout = "a.example", []deck.RouteTarget{{Service: "svc", Weight: 1}}, 5*time.Second
		r.LatencyTarget, r.MaxAttempts = 200*time.Millisecond, max(1, r.MaxAttempts)
		cfg.Routes = append(cfg.Routes, r)
	}
	return cfg
}

// startEngine serves an engine's address.
func (f *fleet) startEngine(e *fleetEngine) {
	l := f.net.Listen(e.server.Address)
	e.mu.Lock()
	e.http = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	srv := e.http
	e.mu.Unlock()
	f.group.Go(func() error {
		_ = srv.Serve(l) // returns once the engine is closed
		return nil
	})
}

// crash ends an engine with all its calls; a new incarnation starts a moment later, which the list shows at once.
func (f *fleet) crash(e *fleetEngine) {
	e.mu.Lock()
	down := len(e.crashes) > 0 && time.Since(e.crashes[len(e.crashes)-1]) <= engineStartTime
	if !down {
		e.crashes = append(e.crashes, time.Now())
	}
	e.mu.Unlock()
	if down {
		return // by another call that was in flight
	}
	e.close()
	f.group.Go(func() error {
		time.Sleep(engineStartTime)
		if f.ctx.Err() == nil {
			f.mu.Lock()
			e.server.StartUnixMs = time.Now().UnixMilli()
			f.mu.Unlock()
			f.startEngine(e)
			f.publishServers()
		}
		return nil
	})
}

func (e *fleetEngine) close() {
	e.mu.Lock()
	srv := e.http
	e.mu.Unlock()
	_ = srv.Close()
}

// ServeHTTP implements http.Handler.ServeHTTP.
func (e *fleetEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.requests = append(e.requests, noticerules.Request{At: time.Now(), VM: r.Header.Get("Sent-By"), Path: r.URL.Path})
	n, answer := len(e.requests)-1, e.answer
	e.mu.Unlock()
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	w.Header().Set("Signed", "s1")
	if answer != nil {
		answer(w, r)
	} else {
		_, _ = io.WriteString(w, "answer") // fails if the VM has disconnected
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[n].Answered, e.requests[n].Header = time.Now(), w.Header().Clone()
}

// seen returns the requests that the engine got so far.
func (e *fleetEngine) seen() []noticerules.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requests)
}

// forget forgets the requests that the engine got so far.
func (e *fleetEngine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = nil
}

// A vmCodec is the testCodec of a VM that names itself to the engines.
type vmCodec struct {
	testCodec
	vm string
}

// SetHeaders implements deck.CallCodec.SetHeaders.
func (c vmCodec) SetHeaders(h http.Header, o deck.Offer) {
	c.testCodec.SetHeaders(h, o)
	h.Set("Sent-By", c.vm)
}

// A fleetCall is a call of a caller.
type fleetCall struct {
	method, path, body, caller string
	header                     []string // names and values in turn
}

// send sends a call to a VM and returns the answer; its status is 0 if the connection was broken.
func (f *fleet) send(vm int, c fleetCall) *httptest.ResponseRecorder {
	return f.sendBody(vm, c, bytes.NewReader([]byte(c.body)))
}

// sendBody is like send, with a body of its own.
func (f *fleet) sendBody(vm int, c fleetCall, body io.Reader) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequestWithContext(f.ctx, c.method, "http://a.example/", body)
	r.RequestURI = c.path
	r.RemoteAddr = c.caller + ":4000"
	r.Header.Set("Call-Id", fmt.Sprintf("call-%d", f.calls.Add(1)))
	r.Header.Set("Call-Deadline-Ms", "4000")
	for i := 0; i+1 < len(c.header); i += 2 {
		r.Header.Set(c.header[i], c.header[i+1])
	}
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil { // http.ErrAbortHandler
			w.Code = 0
		}
	}()
	f.vm(vm).handler.ServeHTTP(w, r)
	return w
}

// sendEvery sends a call to the VMs in turn in each interval, beside each other, and counts the answers by status.
func (f *fleet) sendEvery(interval, length time.Duration, c fleetCall) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var g errgroup.Group
	for n := 0; time.Duration(n)*interval < length; n++ {
		vm := n % len(f.vms)
		g.Go(func() error {
			w := f.send(vm, c)
			mu.Lock()
			defer mu.Unlock()
			statuses[w.Code]++
			return nil
		})
		time.Sleep(interval)
	}
	_ = g.Wait() // the calls return no errors
	return statuses
}

// setAnswer changes how the engine answers.
func (e *fleetEngine) setAnswer(answer func(w http.ResponseWriter, r *http.Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}
