package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

const (
	minPollWait       = 500 * time.Millisecond // minimum time that the leader holds a request if nothing changes
	leaderRequestRate = 240.0                  // requests per second that all entry VMs together send to the leader
	answerMargin      = 600 * time.Millisecond // added to the wait: a round trip between regions, with a margin for a slow VM
	searchInterval    = 100 * time.Millisecond // between requests to VMs that do not lead
	searchTimeout     = 400 * time.Millisecond // timeout of a request to a VM that is not known to lead

	// minRenewAge is the age from which a request to the leader is renewed for the sake of what is to be reported; the leader has it by then.
	// It doubles with each further one that isn't answered.
	minRenewAge = 100 * time.Millisecond
	maxRenewals = 5 // after which it doubles no more

	// acceptStaleAfter is how long a process that never had an answer of a leader waits before it accepts a document from
	// a replica that may be behind although it knows a leader.
	acceptStaleAfter = 1 * time.Second
)

// SubscriberOptions configure a Subscriber. Seeds, Report, Config, VMs, Calls and Blame are called by Run only, Servers by Run
// and RunDirect.
type SubscriberOptions struct {
	Self       deck.VMName
	DataCentre deck.DataCentre
	Seeds      func() []deck.VMName
	FirstStart bool // of the whole system: calls come only after there is a leader
	Client     deck.ViewClient
	List       deck.ServerList // the platform's list of backend servers, which lags behind
	Logger     logr.Logger

	Report  func(*deck.ViewRequest)    // adds this VM's report to a request
	Config  func(deck.RoutingDocument) // takes a new routing document
	Servers func([]deck.Server)        // takes the whole list after a change
	VMs     func(int)                  // takes the number of entry VMs
	Calls   func([]deck.ServerCalls)   // takes the calls of all entry VMs
	Blame   func(deck.BlameView)       // takes the requests that crash backend servers

	Clock   deck.Clock    // counts the time in which the VM is suspended; nil for deck.BootClock
	MaxHold time.Duration // longest time that the leader may hold a request; 0 for no limit but that of the number of VMs

	// Confirmed is called by Run once the document with the version, or a newer one, has been passed to Config: it contains every change
	// that was acknowledged before the given time of Clock. It may be nil.
	Confirmed func(version uint64, at time.Time)
}

// A Subscriber keeps an entry VM's routing document and list of backend servers up to date by long polls to the leader.
type Subscriber struct {
	o    SubscriberOptions
	done chan struct{}

	mu                sync.Mutex
	leader            deck.VMName          // empty if unknown
	lastLeaderContact time.Time            // when the last answer of a leader arrived; zero if there was none
	doc               deck.RoutingDocument // the document in force
	viewVersion       deck.ViewVersion
	servers           map[deck.BackendName]deck.Server
	replicas          []deck.VMName // control VMs that hold the log, as the last answer named them
	entryVMs          int           // entry VMs that ask the leader; 0 if unknown

	members     []deck.VMName
	started     time.Time
	targetIndex int
	renewals    int // requests in a row that were renewed; only for Run

	urgent chan struct{} // has room for one: something is to be reported at once
}

// NewSubscriber returns a subscriber that is ready to run.
func NewSubscriber(o SubscriberOptions) *Subscriber {
	if o.Clock == nil {
		o.Clock = deck.BootClock{}
	}
	return &Subscriber{
		o: o, done: make(chan struct{}), servers: make(map[deck.BackendName]deck.Server), started: time.Now(),
		urgent: make(chan struct{}, 1),
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Subscriber) Done() <-chan struct{} {
	return s.done
}

// Leader returns the VM that leads, if it is known.
func (s *Subscriber) Leader() (deck.VMName, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, s.leader != ""
}

// ControlVMs returns all control VMs that are known: the leader, those that hold the log, and the seeds.
func (s *Subscriber) ControlVMs() []deck.VMName {
	s.mu.Lock()
	all := slices.Clone(s.replicas)
	if s.leader != "" {
		all = append(all, s.leader)
	}
	s.mu.Unlock()
	all = append(all, s.o.Seeds()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Age returns the time since a leader last confirmed the list of backend servers, or since the start if none has yet.
func (s *Subscriber) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastLeaderContact.IsZero() {
		return time.Since(s.started)
	}
	return time.Since(s.lastLeaderContact)
}

// Run polls the leader, and searches for it while it is unknown, until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	defer close(s.done)
	for ctx.Err() == nil {
		if leader, ok := s.Leader(); ok {
			pollWait := s.pollWait()
			s.poll(ctx, leader, pollWait, pollWait+answerMargin)
			continue
		}
		to, ok := s.nextTarget()
		if ok {
			s.poll(ctx, to, 0, searchTimeout)
		}
		if _, found := s.Leader(); !found {
			deck.Sleep(ctx, searchInterval)
		}
	}
	return nil
}

// pollWait returns how long the leader may hold a request, so that all entry VMs together keep to leaderRequestRate.
func (s *Subscriber) pollWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.MaxHold > 0 {
		return min(s.o.MaxHold, pollWait(s.entryVMs))
	}
	return pollWait(s.entryVMs)
}

// pollWait returns how long the leader may hold each request of the given number of entry VMs.
func pollWait(entryVMs int) time.Duration {
	return max(minPollWait, time.Duration(float64(entryVMs)/leaderRequestRate*float64(time.Second)))
}

// nextTarget returns the next VM, in turn, of those that may know the leader; ok is false if there is none.
func (s *Subscriber) nextTarget() (deck.VMName, bool) {
	targets := slices.Clone(s.members)
	for _, seed := range s.o.Seeds() {
		if !slices.Contains(targets, seed) {
			targets = append(targets, seed)
		}
	}
	if len(targets) == 0 {
		return "", false
	}
	s.targetIndex++
	return targets[s.targetIndex%len(targets)], true
}

// poll sends one request and processes the answer; wait is 0 if the VM is not known to lead.
func (s *Subscriber) poll(ctx context.Context, to deck.VMName, wait, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := deck.ViewRequest{VM: s.o.Self, DataCentre: s.o.DataCentre, MaxWait: wait}
	s.mu.Lock()
	r.ConfigVersion, r.View = s.doc.Version, s.viewVersion
	r.AcceptStaleConfig = s.lastLeaderContact.IsZero() && time.Since(s.started) > acceptStaleAfter
	s.mu.Unlock()
	if wait > 0 {
		select {
		case <-s.urgent: // in this report
		default:
		}
		s.o.Report(&r)
	}
	sent := s.o.Clock.Now()
	a, renew, err := s.requestView(ctx, to, r)
	if renew {
		s.renewals++
		return
	}
	s.renewals = 0
	if err != nil {
		s.forgetLeader(to, err.Error())
		return
	}
	s.handleBlame(a, wait > 0) // before a document with which this VM begins to serve
	s.handleAnswer(to, a)
	if a.IsLeader {
		s.handleConfirmation(sent, a.Confirmed)
	}
}

// ReportNow lets the next report to the leader begin as soon as possible.
func (s *Subscriber) ReportNow() {
	select {
	case s.urgent <- struct{}{}:
	default: // already asked for
	}
}

// requestView sends a request. If something is to be reported at once and the answer takes some time, it gives up and returns renew.
func (s *Subscriber) requestView(ctx context.Context, to deck.VMName, r deck.ViewRequest) (a deck.ViewAnswer, renew bool, err error) {
	if r.MaxWait <= 0 {
		a, err = s.o.Client.RequestView(ctx, to, r)
		return a, false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	due := time.After(minRenewAge << min(s.renewals, maxRenewals))
	answered := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		select {
		case <-answered:
			return nil
		case <-s.urgent:
		}
		select {
		case <-answered:
		case <-due:
			renew = true
			cancel()
		}
		return nil
	})
	a, err = s.o.Client.RequestView(ctx, to, r)
	close(answered)
	_ = g.Wait() // never returns an error
	return a, renew, err
}

// handleBlame passes on what an answer says about requests that crash backend servers. Of a VM that doesn't lead, and for a request without
// a report, that is its verdicts.
func (s *Subscriber) handleBlame(a deck.ViewAnswer, reported bool) {
	if !a.IsLeader && len(a.Blame.Verdicts) == 0 {
		return
	}
	if !a.IsLeader || !reported {
		a.Blame.Term = 0
	}
	s.o.Blame(a.Blame)
}

// forgetLeader marks the leader as unknown if the given VM, which failed to answer or does not lead, was the leader.
func (s *Subscriber) forgetLeader(vm deck.VMName, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == vm {
		s.leader = ""
		s.o.Logger.Info("leader lost", "leader", string(vm), "reason", reason, "config", s.doc.Version)
	}
}

// handleAnswer processes the answer of a VM.
func (s *Subscriber) handleAnswer(from deck.VMName, a deck.ViewAnswer) {
	if len(a.Members) > 0 {
		s.members = a.Members
		s.mu.Lock()
		s.replicas = slices.Clone(a.Members)
		s.mu.Unlock()
	}
	if !a.IsLeader {
		s.forgetLeader(from, "the VM no longer leads")
		if a.Config != nil && s.mayUseReplicaDocument(a.Leader) {
			s.installDocument(*a.Config)
		}
		s.askNext(a.Leader, from)
		return
	}
	if a.Config != nil {
		s.installDocument(*a.Config) // before the old one would count as recent
	}
	s.mu.Lock()
	if s.leader != from {
		s.leader = from
		s.o.Logger.Info("leader found", "leader", string(from), "config", s.doc.Version)
	}
	s.lastLeaderContact, s.entryVMs = time.Now(), a.EntryVMCount
	s.mu.Unlock()
	s.o.VMs(a.EntryVMCount)
	s.applyServers(a)
	s.o.Calls(a.CallsInFlight)
}

// handleConfirmation passes on a leader's confirmation of the document. The request had been sent when it arrived at the leader, so the
// time is not later than the one that the leader means.
func (s *Subscriber) handleConfirmation(sent time.Time, c deck.ConfigConfirmation) {
	if c.Version > 0 && s.o.Confirmed != nil {
		s.o.Confirmed(c.Version, sent.Add(c.After))
	}
}

// HeardLeader reports whether a leader has answered this process.
func (s *Subscriber) HeardLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastLeaderContact.IsZero()
}

// mayUseReplicaDocument reports whether to accept the document of a replica that does not lead: no leader has answered
// this process yet, and the replica knows no leader either or the leader was unreachable for acceptStaleAfter.
func (s *Subscriber) mayUseReplicaDocument(leader deck.VMName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLeaderContact.IsZero() && (leader == "" || time.Since(s.started) > acceptStaleAfter)
}

// askNext makes the VM that another one named as the leader the next target.
func (s *Subscriber) askNext(leader, from deck.VMName) {
	if leader == "" || leader == from {
		return
	}
	s.members = slices.DeleteFunc(s.members, func(v deck.VMName) bool { return v == leader })
	s.members = append([]deck.VMName{leader}, s.members...)
	s.targetIndex = -1
}

// installDocument puts a routing document into force unless it is not newer than the one in force.
func (s *Subscriber) installDocument(p deck.PackedDocument) {
	s.mu.Lock()
	base := s.doc
	s.mu.Unlock()
	if p.Version <= base.Version {
		return
	}
	doc, err := routing.Unpack(p, base)
	if err != nil {
		s.o.Logger.Error(err, "failed to unpack the routing document", "version", p.Version)
		return
	}
	s.mu.Lock()
	s.doc = doc
	s.mu.Unlock()
	s.o.Config(doc)
}

// applyServers applies the changes of the list of backend servers that an answer carries. Changes of another list than the one that the VM
// has are refused; the next request asks for the whole list then.
func (s *Subscriber) applyServers(a deck.ViewAnswer) {
	s.mu.Lock()
	if !a.FullList && a.BaseView != s.viewVersion {
		has := s.viewVersion
		s.mu.Unlock()
		s.o.Logger.Info("changes of another list of backend servers refused", "base-term", a.BaseView.Term,
			"base-revision", a.BaseView.Revision, "term", has.Term, "revision", has.Revision)
		return
	}
	changed := a.FullList || len(a.Servers) > 0 || len(a.RemovedServers) > 0
	if a.FullList {
		s.servers = make(map[deck.BackendName]deck.Server, len(a.Servers))
	}
	for _, server := range a.Servers {
		if server.Draining && !s.servers[server.ID].Draining {
			s.o.Logger.Info("backend server is listed as draining", "server", string(server.ID), "revision", a.View.Revision)
		}
		s.servers[server.ID] = server
	}
	for _, id := range a.RemovedServers {
		delete(s.servers, id)
	}
	s.viewVersion = a.View
	s.mu.Unlock()
	if changed {
		s.publishServers()
	}
}

// publishServers passes the whole list, sorted by ID, to Servers.
func (s *Subscriber) publishServers() {
	s.mu.Lock()
	list := make([]deck.Server, 0, len(s.servers))
	for _, server := range s.servers {
		list = append(list, server)
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b deck.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.o.Servers(list)
}
