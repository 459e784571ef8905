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

	// listAnswerRate is how many answers with changes of the list the leader sends per second at most, to all entry VMs together.
	// The list changes many times a second, and a VM that is answered at each change asks again at once.
	listAnswerRate = 300.0

	maxDocuments = 16   // kept as bases of deltas
	maxRemoved   = 4096 // removed servers kept for deltas of the list
)

// Options configure a Publisher.
type Options struct {
	Log              deck.Log
	Monitor          deck.ReplicaMonitor
	Clock            deck.Clock
	MaxLeadershipAge time.Duration // maximum age of the last check that this replica leads
	Logger           logr.Logger
	Report           func(deck.ViewRequest) // called with each request while this replica leads; may be nil
}

// A Publisher answers the requests of entry VMs for the routing document and the list of backend servers. It implements
// deck.ViewSource.
type Publisher struct {
	o Options

	mu        sync.Mutex
	newConfig chan struct{} // closed and replaced at each new document
	newList   chan struct{} // closed and replaced at each change of the list

	newBlame chan struct{} // closed and replaced when VMs should know of a verdict at once

	newConfirmation chan struct{} // closed and replaced at each confirmation
	confirmed       confirmation  // zero if there was none

	documents []deck.RoutingDocument          // oldest first
	packed    map[uint64]*deck.PackedDocument // newest document, by the version that the receiver has
	term      uint64                          // term of the leader that the list is of
	revision  uint64                          // number of the last change of the list in this term
	serial    uint64                          // number of the last change of the list in any term
	servers   map[deck.BackendName]serverEntry
	removed   map[deck.BackendName]uint64 // removed servers, with the revision of the removal
	reports   map[deck.VMName]vmReport
	listSent  map[deck.VMName]time.Time // when a VM was last sent a change of the list
	calls     callTable                 // calls in flight of all entry VMs
	blame     blameTable
	blameTerm uint64    // term of the reports in blame
	blameSent time.Time // when requests were last answered for the sake of it
	outliers  outlierDetector

	savedBlame   deck.BlameState // newest in the replicated log, or on the disk before there is a leader
	savedBlameAt time.Time       // when its ages were right
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
	dataCentre deck.DataCentre
	calls      []deck.ServerCalls
}

var _ deck.ViewSource = (*Publisher)(nil)

// NewPublisher returns a publisher without a document and without servers.
func NewPublisher(o Options) *Publisher {
	return &Publisher{
		o: o, newConfig: make(chan struct{}), newList: make(chan struct{}), newBlame: make(chan struct{}),
		newConfirmation: make(chan struct{}),
		reports:         make(map[deck.VMName]vmReport), listSent: make(map[deck.VMName]time.Time),
	}
}

// SetConfig publishes a routing document; one that is not newer than the last is ignored.
func (p *Publisher) SetConfig(doc deck.RoutingDocument) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if doc.Version <= p.newest().Version {
		return
	}
	p.documents = append(p.documents, doc)
	if len(p.documents) > maxDocuments {
		p.documents = p.documents[1:]
	}
	p.packed = make(map[uint64]*deck.PackedDocument)
	notify(&p.newConfig)
}

// newest returns the newest document; zero if there is none. The caller holds p.mu.
func (p *Publisher) newest() deck.RoutingDocument {
	if len(p.documents) == 0 {
		return deck.RoutingDocument{}
	}
	return p.documents[len(p.documents)-1]
}

// packFor returns the newest document as a delta from the version that the receiver has; nil if it cannot be packed.
// The caller holds p.mu.
func (p *Publisher) packFor(version uint64) *deck.PackedDocument {
	if packedDoc, ok := p.packed[version]; ok {
		return packedDoc
	}
	var base deck.RoutingDocument
	for _, d := range p.documents {
		if d.Version == version {
			base = d
		}
	}
	packedDoc, err := routing.Pack(p.newest(), base)
	if err != nil {
		p.o.Logger.Error(err, "failed to pack the routing document for entry VMs", "version", p.newest().Version)
		return nil
	}
	p.packed[version] = &packedDoc
	return &packedDoc
}

// SetServers publishes the list of backend servers as the leader of the given term knows it.
func (p *Publisher) SetServers(term uint64, list []deck.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term != p.term || p.servers == nil {
		p.term, p.revision = term, 0
		p.servers = make(map[deck.BackendName]serverEntry)
		p.removed = make(map[deck.BackendName]uint64)
	}
	next := p.revision + 1
	if p.applyList(list, next) {
		p.revision = next
		p.serial++
		notify(&p.newList)
	}
}

// applyList applies a new list with the given revision and reports whether it changed anything. The caller holds p.mu.
func (p *Publisher) applyList(list []deck.Server, revision uint64) bool {
	changed := false
	now := p.o.Clock.Now()
	listed := make(map[deck.BackendName]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		s.Ejected = p.outliers.isEjected(now, s.ID)
		old, ok := p.servers[s.ID]
		if ok && (old.Equal(s) || old.SameModels(s) && now.Sub(old.changedAt) < minAdapterInterval) {
			continue
		}
		if s.Draining && !old.Draining {
			p.o.Logger.Info("backend server is listed as draining", "server", string(s.ID), "revision", revision)
		}
		p.servers[s.ID] = serverEntry{s, revision, now}
		delete(p.removed, s.ID)
		changed = true
	}
	p.outliers.retain(listed)
	for id := range p.servers {
		if !listed[id] {
			delete(p.servers, id)
			p.removed[id] = revision
			changed = true
		}
	}
	if len(p.removed) > maxRemoved {
		p.term, p.removed = 0, nil // the next list restarts the numbering and is sent whole, so that no VM misses a removal
		p.servers = nil
	}
	return changed
}

// notify wakes all requests that wait for the channel, and replaces it. The caller holds the publisher's lock.
func notify(changed *chan struct{}) {
	close(*changed)
	*changed = make(chan struct{})
}

// View implements deck.ViewSource.View.
func (p *Publisher) View(ctx context.Context, r deck.ViewRequest) deck.ViewAnswer {
	arrived := p.o.Clock.Now()
	reportTerm := uint64(0)
	if term, leading := p.leads(); leading {
		reportTerm = term
		if p.recordReport(r, term) {
			return p.buildAnswer(r, arrived, term, leading, p.o.Log.Status(), reportTerm)
		}
	}
	end := time.NewTimer(r.MaxWait)
	defer end.Stop()
	for {
		term, leading := p.leads()
		status := p.o.Log.Status()
		w := p.pending(r, arrived, term, leading, status)
		if !leading || w.ready {
			return p.buildAnswer(r, arrived, term, leading, status, reportTerm)
		}
		select {
		case <-w.newConfig:
		case <-w.newList:
		case <-w.due:
		case <-w.newBlame:
			return p.buildAnswer(r, arrived, term, leading, status, reportTerm)
		case <-w.newConfirmation:
			return p.buildAnswer(r, arrived, term, leading, status, reportTerm)
		case <-end.C:
			return p.buildAnswer(r, arrived, term, leading, status, reportTerm)
		case <-ctx.Done():
			return deck.ViewAnswer{} // nobody reads it, so that it must not use up a trial
		}
	}
}

// A pendingAnswer says whether a request can be answered now, and otherwise what it waits for.
type pendingAnswer struct {
	ready              bool
	newConfig, newList <-chan struct{}
	newBlame           <-chan struct{}
	newConfirmation    <-chan struct{}  // nil unless the request is answered as soon as the document is confirmed
	due                <-chan time.Time // when changes of the list may be sent to the VM; nil if there are none
}

// pending returns whether there are changes to send to the VM now. A new document and a whole list don't wait; between two changes
// of the list, a VM waits the longer the more VMs there are.
func (p *Publisher) pending(
	r deck.ViewRequest, arrived time.Time, term uint64, leading bool, status deck.LogStatus,
) pendingAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := pendingAnswer{
		ready: p.hasDocument(r, leading, status), newConfig: p.newConfig, newList: p.newList, newBlame: p.newBlame,
		newConfirmation: p.awaitConfirmation(arrived),
	}
	if w.ready || !leading || p.term != term || p.servers == nil {
		return w
	}
	if p.needsWholeList(r) {
		w.ready = true
		return w
	}
	if r.View.Revision == p.revision {
		return w
	}
	interval := time.Duration(float64(len(p.reports)) / listAnswerRate * float64(time.Second))
	wait := p.listSent[r.VM].Add(interval).Sub(p.o.Clock.Now())
	if wait <= 0 {
		w.ready = true
		return w
	}
	w.newList = nil // the answer will carry further changes as well
	w.due = time.After(wait)
	return w
}

// hasDocument reports whether there is a newer document for the VM. The leader sends the newest document. Another replica may be
// behind, and a VM may ask it many times before it finds the leader: it sends its document only to a VM that has none, and only
// if no leader is known or the VM accepts a stale one. The caller holds p.mu.
func (p *Publisher) hasDocument(r deck.ViewRequest, leading bool, status deck.LogStatus) bool {
	if p.newest().Version <= r.ConfigVersion {
		return false
	}
	return leading || r.ConfigVersion == 0 && (r.AcceptStaleConfig || status.Leader.IsZero())
}

// needsWholeList reports whether the VM has no list that changes could be applied to. The caller holds p.mu.
func (p *Publisher) needsWholeList(r deck.ViewRequest) bool {
	return r.View.Term != p.term || r.View.Revision > p.revision
}

// leads returns the term that this replica leads, and whether it leads.
func (p *Publisher) leads() (uint64, bool) {
	return p.o.Monitor.LeaderTerm(p.o.Clock.Now(), p.o.MaxLeadershipAge)
}

// recordReport records the calls, answers, broken connections and crashes that an entry VM reports. It returns whether the VM should know of
// a verdict at once; the others that wait for an answer are told as well.
func (p *Publisher) recordReport(r deck.ViewRequest, term uint64) (newBlame bool) {
	if p.o.Report != nil {
		p.o.Report(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock.Now()
	p.calls.remove(p.reports[r.VM])
	p.reports[r.VM] = vmReport{now, r.DataCentre, r.CallsInFlight}
	p.calls.add(p.reports[r.VM])
	for vm, last := range p.reports {
		if now.Sub(last.receivedAt) > vmTimeout {
			p.calls.remove(last)
			delete(p.reports, vm)
			delete(p.listSent, vm)
		}
	}
	for _, id := range r.Answered {
		p.outliers.recordAnswer(id)
	}
	for _, id := range r.BrokenConnections {
		p.handleBrokenConnection(now, r.VM, id)
	}
	p.enterBlameTerm(term)
	wait := pollWait(len(p.reports))
	p.blame.record(now, r.VM, r.Blame, p.o.Logger)
	p.blame.decide(now, wait, p.o.Logger)
	if !p.blame.hasNewVerdict(now) || now.Sub(p.blameSent) < wait/2 {
		return false
	}
	p.blameSent = now
	notify(&p.newBlame)
	return true
}

// EntryVMs returns the number of entry VMs that poll this VM.
func (p *Publisher) EntryVMs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reports)
}

// Calls returns the number of calls in flight at a server, summed over the last reports of all entry VMs.
func (p *Publisher) Calls(id deck.BackendName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.total(id)
}

// buildAnswer returns the answer to a request; reportTerm is the term in which its report was recorded, 0 if it was not.
func (p *Publisher) buildAnswer(
	r deck.ViewRequest, arrived time.Time, term uint64, leading bool, status deck.LogStatus, reportTerm uint64,
) deck.ViewAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := deck.ViewAnswer{IsLeader: leading, Leader: status.Leader.VM, BaseView: r.View, EntryVMCount: len(p.reports)}
	for _, id := range append(status.Voters[:len(status.Voters):len(status.Voters)], status.Learners...) {
		a.Members = append(a.Members, id.VM)
	}
	if p.hasDocument(r, leading, status) {
		a.Config = p.packFor(r.ConfigVersion)
	}
	if leading && p.term == term && p.servers != nil {
		p.addServers(&a, r)
	} else {
		a.View = r.View
	}
	if !leading && a.Config != nil {
		a.Blame.Verdicts = p.savedVerdicts() // the VM may serve with the document before it finds a leader
	}
	if leading {
		a.Confirmed = p.confirmationFor(arrived)
		if reportTerm != p.blameTerm {
			reportTerm = 0 // another leader's term has passed since, and the report is forgotten
		}
		a.Blame = p.blame.view(p.o.Clock.Now(), reportTerm, r.Blame)
		a.CallsInFlight = p.calls.view(r.DataCentre)
	}
	return a
}

// addServers adds the changes of the list since the request's version to the answer, or the whole list if the version is
// of another term. The caller holds p.mu.
func (p *Publisher) addServers(a *deck.ViewAnswer, r deck.ViewRequest) {
	a.View = deck.ViewVersion{Term: p.term, Revision: p.revision}
	a.FullList = p.needsWholeList(r)
	a.ListSerial = p.serial
	if !a.FullList && r.View.Revision == p.revision {
		return
	}
	p.listSent[r.VM] = p.o.Clock.Now()
	after := r.View.Revision
	if a.FullList {
		after = 0
	}
	for _, s := range p.servers {
		if a.FullList || s.revision > after {
			a.Servers = append(a.Servers, s.Server)
		}
	}
	if a.FullList {
		return
	}
	for id, revision := range p.removed {
		if revision > after {
			a.RemovedServers = append(a.RemovedServers, id)
		}
	}
}
