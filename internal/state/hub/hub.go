package hub

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

const (
	vmForgotten = 5 * time.Second // an entry VM that has not asked for this time no longer counts
	// adapterPeriod is the least time between two rows of a server that differ in adapters only. Adapters change many times
	// a second over all engines, and an entry VM asks the placement leader for one that it does not know of.
	adapterPeriod = 4 * time.Second

	maxDocs     = 16   // versions that entry VMs may have for a short difference
	maxGone     = 4096 // removed servers that are remembered for deltas
	maxCrashes  = 64   // each answer carries them
	crashMemory = 60 * time.Second
)

// Options are what a hub needs.
type Options struct {
	Log    deck.Log
	Watch  deck.ReplicaWatch
	Clock  deck.Clock
	Fresh  time.Duration // how old the check may be that this replica leads
	Logger logr.Logger
	Report func(deck.ViewRequest) // takes what an entry VM reports; nil for none
}

// A Hub implements deck.ViewSource.
type Hub struct {
	o Options

	mu      sync.Mutex
	changed chan struct{}                   // closed at the next change
	docs    []deck.RoutingDocument          // the newest last
	packed  map[uint64]*deck.PackedDocument // the newest, by the version that the receiver has
	term    uint64
	number  uint64
	servers map[deck.BackendName]versioned
	gone    map[deck.BackendName]uint64
	vms     map[deck.VMName]vmReport
	calls   map[deck.BackendName]int // of all VMs
	crashes []seenCrash
	breaks  breaks
}

type versioned struct {
	deck.Server
	number uint64
	at     time.Time // when the row was last handed on
}

// A vmReport is what an entry VM reported last.
type vmReport struct {
	at    time.Time
	calls []deck.ServerCalls
}

type seenCrash struct {
	deck.Crash
	at time.Time
}

var _ deck.ViewSource = (*Hub)(nil)

// New returns a hub without configuration and servers.
func New(o Options) *Hub {
	return &Hub{o: o, changed: make(chan struct{}), vms: make(map[deck.VMName]vmReport), calls: make(map[deck.BackendName]int)}
}

// SetConfig takes a newer routing document.
func (h *Hub) SetConfig(doc deck.RoutingDocument) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Version <= h.newest().Version {
		return
	}
	h.docs = append(h.docs, doc)
	if len(h.docs) > maxDocs {
		h.docs = h.docs[1:]
	}
	h.packed = make(map[uint64]*deck.PackedDocument)
	h.wake()
}

// newest returns the newest document; the caller holds the lock.
func (h *Hub) newest() deck.RoutingDocument {
	if len(h.docs) == 0 {
		return deck.RoutingDocument{}
	}
	return h.docs[len(h.docs)-1]
}

// pack returns the newest document for a VM that has the version; the caller holds the lock.
func (h *Hub) pack(has uint64) *deck.PackedDocument {
	if p, ok := h.packed[has]; ok {
		return p
	}
	var base deck.RoutingDocument
	for _, d := range h.docs {
		if d.Version == has {
			base = d
		}
	}
	p, err := routing.Pack(h.newest(), base)
	if err != nil {
		h.o.Logger.Error(err, "routing configuration can't be handed on", "version", h.newest().Version)
		return nil
	}
	h.packed[has] = &p
	return &p
}

// SetServers takes the list of backend servers as the leader of the term knows it.
func (h *Hub) SetServers(term uint64, list []deck.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term != h.term || h.servers == nil {
		h.term, h.number = term, 0
		h.servers = make(map[deck.BackendName]versioned)
		h.gone = make(map[deck.BackendName]uint64)
	}
	next := h.number + 1
	if h.update(list, next) {
		h.number = next
		h.wake()
	}
}

func (h *Hub) update(list []deck.Server, next uint64) bool {
	changed := false
	now := h.o.Clock.Now()
	listed := make(map[deck.BackendName]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		s.Broken = h.breaks.avoided(now, s.ID)
		old, ok := h.servers[s.ID]
		if ok && (old.Equal(s) || old.SameModels(s) && now.Sub(old.at) < adapterPeriod) {
			continue
		}
		h.servers[s.ID] = versioned{s, next, now}
		delete(h.gone, s.ID)
		changed = true
	}
	h.breaks.keep(listed)
	for id := range h.servers {
		if !listed[id] {
			delete(h.servers, id)
			h.gone[id] = next
			changed = true
		}
	}
	if len(h.gone) > maxGone {
		h.term, h.gone = 0, nil // the next list starts a new numbering, so that nobody misses a removal
		h.servers = nil
	}
	return changed
}

// wake ends the waiting of all requests; the caller holds the lock.
func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// View implements deck.ViewSource.View.
func (h *Hub) View(ctx context.Context, r deck.ViewRequest) deck.ViewAnswer {
	if _, leading := h.leads(); leading {
		h.take(r)
	}
	deadline := time.NewTimer(r.Wait)
	defer deadline.Stop()
	for {
		term, leading := h.leads()
		a, news, changed := h.answer(r, term, leading)
		if !leading || news {
			return a
		}
		select {
		case <-changed:
		case <-deadline.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

func (h *Hub) leads() (uint64, bool) {
	return h.o.Watch.Leads(h.o.Clock.Now(), h.o.Fresh)
}

// take notes what the VM reports.
func (h *Hub) take(r deck.ViewRequest) {
	if h.o.Report != nil {
		h.o.Report(r)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	h.count(h.vms[r.VM].calls, -1)
	h.vms[r.VM] = vmReport{now, r.Calls}
	h.count(r.Calls, 1)
	for vm, last := range h.vms {
		if now.Sub(last.at) > vmForgotten {
			h.count(last.calls, -1)
			delete(h.vms, vm)
		}
	}
	for _, id := range r.Answered {
		h.breaks.answered(id)
	}
	for _, id := range r.Broke {
		h.sawBroken(now, r.VM, id)
	}
	for _, c := range r.Crashes {
		h.crashes = append(h.crashes, seenCrash{c, now})
	}
	for len(h.crashes) > 0 && (len(h.crashes) > maxCrashes || now.Sub(h.crashes[0].at) > crashMemory) {
		h.crashes = h.crashes[1:]
	}
}

// count adds calls to those of all VMs, or takes them away; the caller holds the lock.
func (h *Hub) count(calls []deck.ServerCalls, sign int) {
	for _, c := range calls {
		h.calls[c.Server] += sign * c.Calls
		if h.calls[c.Server] <= 0 {
			delete(h.calls, c.Server)
		}
	}
}

// sawBroken takes a VM's word on a server, and tells all VMs if the server is to be avoided; the caller holds the lock.
func (h *Hub) sawBroken(now time.Time, vm deck.VMName, id deck.BackendName) {
	s, ok := h.servers[id]
	if !ok || s.Broken || h.avoidedShare(s.Service) >= maxAvoidedShare || !h.breaks.saw(now, vm, id) {
		return
	}
	h.o.Logger.Info("server breaks connections of several VMs and is avoided", "server", string(id))
	s.Broken = true
	h.number++
	h.servers[id] = versioned{s.Server, h.number, now}
	h.wake()
}

// avoidedShare returns the share of a service's servers that are avoided; the caller holds the lock.
func (h *Hub) avoidedShare(name deck.ServiceName) float64 {
	all, avoided := 0, 0
	for _, s := range h.servers {
		if s.Service == name {
			all++
			if s.Broken {
				avoided++
			}
		}
	}
	return float64(avoided) / float64(max(1, all))
}

// Calls returns how many calls of all entry VMs are at a server, as they reported last.
func (h *Hub) Calls(id deck.BackendName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[id]
}

// answer returns what has changed for the VM and whether that is worth an answer before the wait ends.
func (h *Hub) answer(r deck.ViewRequest, term uint64, leading bool) (a deck.ViewAnswer, news bool, changed <-chan struct{}) {
	s := h.o.Log.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	a = deck.ViewAnswer{Leading: leading, Leader: s.Leader.VM, VMs: len(h.vms)}
	for _, id := range append(s.Voters[:len(s.Voters):len(s.Voters)], s.Learners...) {
		a.Members = append(a.Members, id.VM)
	}
	// A replica that does not lead may be behind, and is asked again and again until the leader is found.
	if h.newest().Version > r.Config && (leading || r.Config == 0 && (s.Leader.IsZero() || r.AnyConfig)) {
		a.Config, news = h.pack(r.Config), true
	}
	if leading && h.term == term && h.servers != nil {
		news = h.addServers(&a, r) || news
	} else {
		a.View = r.View
	}
	if leading {
		for id, n := range h.calls {
			a.Calls = append(a.Calls, deck.ServerCalls{Server: id, Calls: n})
		}
	}
	for _, c := range h.crashes {
		a.Crashes = append(a.Crashes, c.Crash)
	}
	return a, news, h.changed
}

func (h *Hub) addServers(a *deck.ViewAnswer, r deck.ViewRequest) bool {
	a.View = deck.ViewVersion{Term: h.term, Number: h.number}
	a.Whole = r.View.Term != h.term || r.View.Number > h.number
	after := r.View.Number
	if a.Whole {
		after = 0
	}
	for _, s := range h.servers {
		if a.Whole || s.number > after {
			a.Servers = append(a.Servers, s.Server)
		}
	}
	if !a.Whole {
		for id, number := range h.gone {
			if number > after {
				a.Gone = append(a.Gone, id)
			}
		}
	}
	return a.Whole || len(a.Servers) > 0 || len(a.Gone) > 0
}
