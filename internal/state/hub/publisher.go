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
	vmTimeout = 5 * time.Second // an entry VM that sent no request for this time no longer counts

	// minAdapterInterval is the least time between two changes of a server that differ in adapters only. Adapters change
	// many times a second over all engines, and an entry VM asks the placement leader for an adapter that it has no server
	// for.
	minAdapterInterval = 4 * time.Second

	maxDocuments   = 16   // configuration versions kept as the base of differences
	maxRemoved     = 4096 // removed servers kept for deltas of the list
	maxCrashes     = 64   // every answer carries them all
	crashRetention = 60 * time.Second
)

// Options configure a Hub.
type Options struct {
	Log              deck.Log
	Watch            deck.ReplicaWatch
	Clock            deck.Clock
	MaxLeadershipAge time.Duration // maximum age of the last check that this replica leads
	Logger           logr.Logger
	Report           func(deck.ViewRequest) // called with each request while this replica leads; may be nil
}

// A Publisher answers the requests of entry VMs for the routing configuration and the list of backend servers. It implements
// deck.ViewSource.
type Publisher struct {
	o Options

	mu        sync.Mutex
	changed   chan struct{}                   // closed and replaced at each change
	documents []deck.RoutingDocument          // oldest first
	packed    map[uint64]*deck.PackedDocument // newest document, by the version that the receiver has
	term      uint64                          // term of the leader that the list is of
	revision  uint64                          // number of the last change of the list in this term
	servers   map[deck.BackendName]serverEntry
	removed   map[deck.BackendName]uint64 // removed servers, with the revision of the removal
	reports   map[deck.VMName]vmReport
	calls     map[deck.BackendName]int // calls in flight of all entry VMs
	crashes   []crashReport
	outliers  outlierDetector
}

// A serverEntry is a backend server with its last change.
type serverEntry struct {
	deck.Server
	revision  uint64
	changedAt time.Time
}

// A vmReport is the last report of an entry VM.
type vmReport struct {
	receivedAt time.Time
	calls      []deck.ServerCalls
}

// A crashReport is a crash with the time of its report.
type crashReport struct {
	deck.Crash
	receivedAt time.Time
}

var _ deck.ViewSource = (*Publisher)(nil)

// NewPublisher returns a hub without a configuration and without servers.
func NewPublisher(o Options) *Publisher {
	return &Publisher{o: o, changed: make(chan struct{}), reports: make(map[deck.VMName]vmReport), calls: make(map[deck.BackendName]int)}
}

// SetConfig publishes a routing document; one that is not newer than the last is ignored.
func (h *Publisher) SetConfig(doc deck.RoutingDocument) {
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

// newest returns the newest document; zero if there is none. The caller holds h.mu.
func (h *Publisher) newest() deck.RoutingDocument {
	if len(h.documents) == 0 {
		return deck.RoutingDocument{}
	}
	return h.documents[len(h.documents)-1]
}

// packFor returns the newest document as a difference from the version that the receiver has; nil if it cannot be packed.
// The caller holds h.mu.
func (h *Publisher) packFor(version uint64) *deck.PackedDocument {
	if p, ok := h.packed[version]; ok {
		return p
	}
	var base deck.RoutingDocument
	for _, d := range h.documents {
		if d.Version == version {
			base = d
		}
	}
	p, err := routing.Pack(h.newest(), base)
	if err != nil {
		h.o.Logger.Error(err, "failed to pack the routing configuration for entry VMs", "version", h.newest().Version)
		return nil
	}
	h.packed[version] = &p
	return &p
}

// SetServers publishes the list of backend servers as the leader of the given term knows it.
func (h *Publisher) SetServers(term uint64, list []deck.Server) {
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

// applyList applies a new list with the given revision and reports whether it changed anything. The caller holds h.mu.
func (h *Publisher) applyList(list []deck.Server, revision uint64) bool {
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
		h.servers[s.ID] = serverEntry{s, revision, now}
		delete(h.removed, s.ID)
		changed = true
	}
	h.outliers.retain(listed)
	for id := range h.servers {
		if !listed[id] {
			delete(h.servers, id)
			h.removed[id] = revision
			changed = true
		}
	}
	if len(h.removed) > maxRemoved {
		h.term, h.removed = 0, nil // the next list restarts the numbering and is sent whole, so that no VM misses a removal
		h.servers = nil
	}
	return changed
}

// notifyWaiters wakes all waiting requests. The caller holds h.mu.
func (h *Publisher) notifyWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// View implements deck.ViewSource.View.
func (h *Publisher) View(ctx context.Context, r deck.ViewRequest) deck.ViewAnswer {
	if _, leading := h.leads(); leading {
		h.recordReport(r)
	}
	deadline := time.NewTimer(r.Wait)
	defer deadline.Stop()
	for {
		term, leading := h.leads()
		a, hasChanges, changed := h.buildAnswer(r, term, leading)
		if !leading || hasChanges {
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

// leads returns the term that this replica leads, and whether it leads.
func (h *Publisher) leads() (uint64, bool) {
	return h.o.Watch.Leads(h.o.Clock.Now(), h.o.MaxLeadershipAge)
}

// recordReport records the calls, answers, broken connections and crashes that an entry VM reports.
func (h *Publisher) recordReport(r deck.ViewRequest) {
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
		h.handleBrokenConnection(now, r.VM, id)
	}
	for _, c := range r.Crashes {
		h.crashes = append(h.crashes, crashReport{c, now})
	}
	for len(h.crashes) > 0 && (len(h.crashes) > maxCrashes || now.Sub(h.crashes[0].receivedAt) > crashRetention) {
		h.crashes = h.crashes[1:]
	}
}

// addCalls adds calls to the totals of all VMs, or subtracts them if sign is -1. The caller holds h.mu.
func (h *Publisher) addCalls(calls []deck.ServerCalls, sign int) {
	for _, c := range calls {
		h.calls[c.Server] += sign * c.Calls
		if h.calls[c.Server] <= 0 {
			delete(h.calls, c.Server)
		}
	}
}

// handleBrokenConnection records a VM's report that a server broke connections, and publishes the server as broken if the
// report ejects it. The caller holds h.mu.
func (h *Publisher) handleBrokenConnection(now time.Time, vm deck.VMName, id deck.BackendName) {
	s, ok := h.servers[id]
	if !ok || s.Broken || h.ejectedShare(s.Service) >= maxEjectedShare || !h.outliers.recordBrokenConnection(now, vm, id) {
		return
	}
	h.o.Logger.Info("backend server ejected: it broke connections of several entry VMs", "server", string(id))
	s.Broken = true
	h.revision++
	h.servers[id] = serverEntry{s.Server, h.revision, now}
	h.notifyWaiters()
}

// ejectedShare returns the share of a service's servers that are ejected. The caller holds h.mu.
func (h *Publisher) ejectedShare(name deck.ServiceName) float64 {
	all, ejected := 0, 0
	for _, s := range h.servers {
		if s.Service == name {
			all++
			if s.Broken {
				ejected++
			}
		}
	}
	return float64(ejected) / float64(max(1, all))
}

// Calls returns the number of calls in flight at a server, summed over the last reports of all entry VMs.
func (h *Publisher) Calls(id deck.BackendName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[id]
}

// buildAnswer returns the answer to a request, whether it has changes that must not wait for the end of the poll, and a
// channel that is closed at the next change.
func (h *Publisher) buildAnswer(
	r deck.ViewRequest, term uint64, leading bool,
) (a deck.ViewAnswer, hasChanges bool, changed <-chan struct{}) {
	s := h.o.Log.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	a = deck.ViewAnswer{Leading: leading, Leader: s.Leader.VM, VMs: len(h.reports)}
	for _, id := range append(s.Voters[:len(s.Voters):len(s.Voters)], s.Learners...) {
		a.Members = append(a.Members, id.VM)
	}
	// A replica that does not lead may be behind, and entry VMs ask it again and again until they find the leader.
	if h.newest().Version > r.Config && (leading || r.Config == 0 && (s.Leader.IsZero() || r.AnyConfig)) {
		a.Config, hasChanges = h.packFor(r.Config), true
	}
	if leading && h.term == term && h.servers != nil {
		hasChanges = h.addServers(&a, r) || hasChanges
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
	return a, hasChanges, h.changed
}

// addServers adds the changes of the list since the request's version to the answer, or the whole list if the version is
// of another term, and reports whether there are any. The caller holds h.mu.
func (h *Publisher) addServers(a *deck.ViewAnswer, r deck.ViewRequest) bool {
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
		for id, revision := range h.removed {
			if revision > after {
				a.Gone = append(a.Gone, id)
			}
		}
	}
	return a.Whole || len(a.Servers) > 0 || len(a.Gone) > 0
}
