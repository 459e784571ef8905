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
	vmTimeout = 5 * time.Second // an entry VM that has not asked for this time no longer counts
	// minAdapterInterval is the least time between two rows of a server that differ in adapters only. Adapters change many times
	// a second over all engines, and an entry VM asks the placement leader for one that it does not know of.
	minAdapterInterval = 4 * time.Second

	maxDocuments   = 16   // versions that entry VMs may have for a short difference
	maxRemoved     = 4096 // removed servers that are remembered for deltas
	maxCrashes     = 64   // each answer carries them
	crashRetention = 60 * time.Second
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

	mu        sync.Mutex
	changed   chan struct{}                   // closed at the next change
	documents []deck.RoutingDocument          // the newest last
	packed    map[uint64]*deck.PackedDocument // the newest, by the version that the receiver has
	term      uint64
	revision  uint64
	servers   map[deck.BackendName]serverEntry
	removed   map[deck.BackendName]uint64
	reports   map[deck.VMName]vmReport
	calls     map[deck.BackendName]int // of all VMs
	crashes   []crashReport
	outliers  outlierDetector
}

type serverEntry struct {
	deck.Server
	revision  uint64
	changedAt time.Time // when the row was last handed on
}

// A vmReport is what an entry VM reported last.
type vmReport struct {
	receivedAt time.Time
	calls      []deck.ServerCalls
}

type crashReport struct {
	deck.Crash
	receivedAt time.Time
}

var _ deck.ViewSource = (*Hub)(nil)

// New returns a hub without configuration and servers.
func New(o Options) *Hub {
	return &Hub{o: o, changed: make(chan struct{}), reports: make(map[deck.VMName]vmReport), calls: make(map[deck.BackendName]int)}
}

// SetConfig takes a newer routing document.
func (h *Hub) SetConfig(doc deck.RoutingDocument) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Version <= h.newest().Version {
		return
	}
	h.documents = append(h.documents, doc)
	if len(h.documents) > maxDocuments {
		h.documents = h.documents[1:]
	}
	h.packed = make(map[uint64]*deck.PackedDocument)
	h.notifyWaiters()
}

// newest returns the newest document; the caller holds the lock.
func (h *Hub) newest() deck.RoutingDocument {
	if len(h.documents) == 0 {
		return deck.RoutingDocument{}
	}
	return h.documents[len(h.documents)-1]
}

// packFor returns the newest document for a VM that has the version; the caller holds the lock.
func (h *Hub) packFor(has uint64) *deck.PackedDocument {
	if p, ok := h.packed[has]; ok {
		return p
	}
	var base deck.RoutingDocument
	for _, d := range h.documents {
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
		h.term, h.revision = term, 0
		h.servers = make(map[deck.BackendName]serverEntry)
		h.removed = make(map[deck.BackendName]uint64)
	}
	next := h.revision + 1
	if h.applyList(list, next) {
		h.revision = next
		h.notifyWaiters()
	}
}

func (h *Hub) applyList(list []deck.Server, next uint64) bool {
	changed := false
	now := h.o.Clock.Now()
	listed := make(map[deck.BackendName]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		s.Broken = h.outliers.isEjected(now, s.ID)
		old, ok := h.servers[s.ID]
		if ok && (old.Equal(s) || old.SameModels(s) && now.Sub(old.changedAt) < minAdapterInterval) {
			continue
		}
		h.servers[s.ID] = serverEntry{s, next, now}
		delete(h.removed, s.ID)
		changed = true
	}
	h.outliers.retain(listed)
	for id := range h.servers {
		if !listed[id] {
			delete(h.servers, id)
			h.removed[id] = next
			changed = true
		}
	}
	if len(h.removed) > maxRemoved {
		h.term, h.removed = 0, nil // the next list starts a new numbering, so that nobody misses a removal
		h.servers = nil
	}
	return changed
}

// notifyWaiters ends the waiting of all requests; the caller holds the lock.
func (h *Hub) notifyWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// View implements deck.ViewSource.View.
func (h *Hub) View(ctx context.Context, r deck.ViewRequest) deck.ViewAnswer {
	if _, leading := h.leads(); leading {
		h.recordReport(r)
	}
	deadline := time.NewTimer(r.Wait)
	defer deadline.Stop()
	for {
		term, leading := h.leads()
		a, news, changed := h.buildAnswer(r, term, leading)
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

// recordReport notes what the VM reports.
func (h *Hub) recordReport(r deck.ViewRequest) {
	if h.o.Report != nil {
		h.o.Report(r)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	h.addCalls(h.reports[r.VM].calls, -1)
	h.reports[r.VM] = vmReport{now, r.Calls}
	h.addCalls(r.Calls, 1)
	for vm, last := range h.reports {
		if now.Sub(last.receivedAt) > vmTimeout {
			h.addCalls(last.calls, -1)
			delete(h.reports, vm)
		}
	}
	for _, id := range r.Answered {
		h.outliers.recordAnswer(id)
	}
	for _, id := range r.Broke {
		h.recordBrokenConnection(now, r.VM, id)
	}
	for _, c := range r.Crashes {
		h.crashes = append(h.crashes, crashReport{c, now})
	}
	for len(h.crashes) > 0 && (len(h.crashes) > maxCrashes || now.Sub(h.crashes[0].receivedAt) > crashRetention) {
		h.crashes = h.crashes[1:]
	}
}

// addCalls adds calls to those of all VMs, or takes them away; the caller holds the lock.
func (h *Hub) addCalls(calls []deck.ServerCalls, sign int) {
	for _, c := range calls {
		h.calls[c.Server] += sign * c.Calls
		if h.calls[c.Server] <= 0 {
			delete(h.calls, c.Server)
		}
	}
}

// recordBrokenConnection takes a VM's word on a server, and tells all VMs if the server is to be avoided; the caller holds the lock.
func (h *Hub) recordBrokenConnection(now time.Time, vm deck.VMName, id deck.BackendName) {
	s, ok := h.servers[id]
	if !ok || s.Broken || h.ejectedShare(s.Service) >= maxEjectedShare || !h.outliers.recordBrokenConnection(now, vm, id) {
		return
	}
	h.o.Logger.Info("server breaks connections of several VMs and is avoided", "server", string(id))
	s.Broken = true
	h.revision++
	h.servers[id] = serverEntry{s.Server, h.revision, now}
	h.notifyWaiters()
}

// ejectedShare returns the share of a service's servers that are avoided; the caller holds the lock.
func (h *Hub) ejectedShare(name deck.ServiceName) float64 {
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

// buildAnswer returns what has changed for the VM and whether that is worth an buildAnswer before the wait ends.
func (h *Hub) buildAnswer(r deck.ViewRequest, term uint64, leading bool) (a deck.ViewAnswer, news bool, changed <-chan struct{}) {
	s := h.o.Log.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	a = deck.ViewAnswer{Leading: leading, Leader: s.Leader.VM, VMs: len(h.reports)}
	for _, id := range append(s.Voters[:len(s.Voters):len(s.Voters)], s.Learners...) {
		a.Members = append(a.Members, id.VM)
	}
	// A replica that does not lead may be behind, and is asked again and again until the leader is found.
	if h.newest().Version > r.Config && (leading || r.Config == 0 && (s.Leader.IsZero() || r.AnyConfig)) {
		a.Config, news = h.packFor(r.Config), true
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
	a.View = deck.ViewVersion{Term: h.term, Number: h.revision}
	a.Whole = r.View.Term != h.term || r.View.Number > h.revision
	after := r.View.Number
	if a.Whole {
		after = 0
	}
	for _, s := range h.servers {
		if a.Whole || s.revision > after {
			a.Servers = append(a.Servers, s.Server)
		}
	}
	if !a.Whole {
		for id, number := range h.removed {
			if number > after {
				a.Gone = append(a.Gone, id)
			}
		}
	}
	return a.Whole || len(a.Servers) > 0 || len(a.Gone) > 0
}
