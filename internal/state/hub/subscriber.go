package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

const (
	minPollWait        = 500 * time.Millisecond // minimum time that the leader holds a request if nothing changes
	leaderRequestRate  = 240.0                  // requests per second that all entry VMs together send to the leader
	answerMargin       = 600 * time.Millisecond // added to the wait: a round trip between regions, with a margin for a slow VM
	searchInterval     = 100 * time.Millisecond // between requests to VMs that do not lead
	searchTimeout      = 400 * time.Millisecond // timeout of a request to a VM that is not known to lead
	staleAfter         = 2 * time.Second        // without an answer of a leader for this time, the platform's own list is read
	staleCheckInterval = 200 * time.Millisecond
	directInterval     = 1 * time.Second // between two reads of the platform's own list

	// anyConfigAfter is how long a process that never had an answer of a leader waits before it accepts a configuration from
	// a replica that may be behind although it knows a leader.
	anyConfigAfter = 1 * time.Second
)

// SubscriberOptions configure a Follower. Seeds, Report, Config, VMs, Calls and Crashes are called by Run only, Servers by Run
// and RunDirect.
type SubscriberOptions struct {
	Self       deck.VMName
	DataCentre deck.DataCentre
	Seeds      func() []deck.VMName
	Client     deck.ViewClient
	List       deck.ServerList // the platform's own list
	Logger     logr.Logger

	Report  func(*deck.ViewRequest)    // adds this VM's report to a request
	Config  func(deck.RoutingDocument) // takes a new configuration
	Servers func([]deck.Server)        // takes the whole list after a change
	VMs     func(int)                  // takes the number of entry VMs
	Calls   func([]deck.ServerCalls)   // takes the calls of all entry VMs
	Crashes func([]deck.Crash)         // takes the crashes that entry VMs reported
}

// A Subscriber keeps an entry VM's routing configuration and list of backend servers up to date by long polls to the leader.
type Subscriber struct {
	o    SubscriberOptions
	done chan struct{}

	mu            sync.Mutex
	leader        deck.VMName          // empty if unknown
	leaderHeardAt time.Time            // when the last answer of a leader arrived; zero if there was none
	doc           deck.RoutingDocument // the configuration in force
	viewVersion   deck.ViewVersion
	servers       map[deck.BackendName]deck.Server

	members     []deck.VMName
	started     time.Time
	targetIndex int
	entryVMs    int // entry VMs that ask the leader
}

// NewSubscriber returns a follower that is ready to run.
func NewSubscriber(o SubscriberOptions) *Subscriber {
	return &Subscriber{
		o: o, done: make(chan struct{}), servers: make(map[deck.BackendName]deck.Server), started: time.Now(),
	}
}

// Done returns a channel that is closed when Run has returned.
func (f *Subscriber) Done() <-chan struct{} {
	return f.done
}

// Leader returns the VM that leads, if it is known.
func (f *Subscriber) Leader() (deck.VMName, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.leader != ""
}

// Age returns the time since a leader last confirmed the list of backend servers, or since the start if none has yet.
func (f *Subscriber) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaderHeardAt.IsZero() {
		return time.Since(f.started)
	}
	return time.Since(f.leaderHeardAt)
}

// Run polls the leader, and searches for it while it is unknown, until ctx ends.
func (f *Subscriber) Run(ctx context.Context) error {
	defer close(f.done)
	for ctx.Err() == nil {
		if leader, ok := f.Leader(); ok {
			pollWait := f.pollWait()
			f.poll(ctx, leader, pollWait, pollWait+answerMargin)
			continue
		}
		to, ok := f.nextTarget()
		if ok {
			f.poll(ctx, to, 0, searchTimeout)
		}
		if _, found := f.Leader(); !found {
			deck.Sleep(ctx, searchInterval)
		}
	}
	return nil
}

// RunDirect reads the platform's own list of backend servers while no leader answers, until ctx ends.
func (f *Subscriber) RunDirect(ctx context.Context) error {
	var last time.Time
	for ctx.Err() == nil {
		deck.Sleep(ctx, staleCheckInterval)
		f.mu.Lock()
		stale := time.Since(f.leaderHeardAt) > staleAfter
		f.mu.Unlock()
		if !stale || time.Since(last) < directInterval {
			continue
		}
		last = time.Now()
		list, err := f.o.List.ListServers(ctx)
		if err != nil {
			f.o.Logger.Info("platform's list of backend servers could not be read", "reason", err.Error())
			continue
		}
		f.replaceServers(list)
	}
	return nil
}

// pollWait returns how long the leader may hold a request, so that all entry VMs together keep to leaderRequestRate.
func (f *Subscriber) pollWait() time.Duration {
	return max(minPollWait, time.Duration(float64(f.entryVMs)/leaderRequestRate*float64(time.Second)))
}

// nextTarget returns the next VM, in turn, of those that may know the leader; ok is false if there is none.
func (f *Subscriber) nextTarget() (deck.VMName, bool) {
	targets := slices.Clone(f.members)
	for _, s := range f.o.Seeds() {
		if !slices.Contains(targets, s) {
			targets = append(targets, s)
		}
	}
	if len(targets) == 0 {
		return "", false
	}
	f.targetIndex++
	return targets[f.targetIndex%len(targets)], true
}

// poll sends one request and processes the answer; wait is 0 if the VM is not known to lead.
func (f *Subscriber) poll(ctx context.Context, to deck.VMName, wait, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := deck.ViewRequest{VM: f.o.Self, DataCentre: f.o.DataCentre, Wait: wait}
	f.mu.Lock()
	r.Config, r.View = f.doc.Version, f.viewVersion
	r.AnyConfig = f.leaderHeardAt.IsZero() && time.Since(f.started) > anyConfigAfter
	f.mu.Unlock()
	if wait > 0 {
		f.o.Report(&r)
	}
	a, err := f.o.Client.AskView(ctx, to, r)
	if err != nil {
		f.forgetLeader(to, err.Error())
		return
	}
	f.handleAnswer(to, a)
}

// forgetLeader marks the leader as unknown if the given VM, which failed to answer or does not lead, was the leader.
func (f *Subscriber) forgetLeader(vm deck.VMName, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == vm {
		f.leader = ""
		f.o.Logger.Info("leader lost", "leader", string(vm), "reason", reason, "config", f.doc.Version)
	}
}

// handleAnswer processes the answer of a VM.
func (f *Subscriber) handleAnswer(from deck.VMName, a deck.ViewAnswer) {
	if len(a.Members) > 0 {
		f.members = a.Members
	}
	if !a.Leading {
		f.forgetLeader(from, "the VM no longer leads")
		if a.Config != nil && f.mayUseReplicaConfig(a.Leader) {
			f.installConfig(*a.Config)
		}
		f.askNext(a.Leader, from)
		return
	}
	f.mu.Lock()
	if f.leader != from {
		f.leader = from
		f.o.Logger.Info("leader found", "leader", string(from), "config", f.doc.Version)
	}
	f.leaderHeardAt = time.Now()
	f.mu.Unlock()
	if a.Config != nil {
		f.installConfig(*a.Config)
	}
	f.entryVMs = a.VMs
	f.o.VMs(a.VMs)
	f.o.Crashes(a.Crashes)
	f.applyServers(a)
	f.o.Calls(a.Calls)
}

// mayUseReplicaConfig reports whether to accept the configuration of a replica that does not lead: no leader has answered
// this process yet, and the replica knows no leader either or the leader was unreachable for anyConfigAfter.
func (f *Subscriber) mayUseReplicaConfig(leader deck.VMName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderHeardAt.IsZero() && (leader == "" || time.Since(f.started) > anyConfigAfter)
}

// askNext makes the VM that another one named as the leader the next target.
func (f *Subscriber) askNext(leader, from deck.VMName) {
	if leader == "" || leader == from {
		return
	}
	f.members = slices.DeleteFunc(f.members, func(v deck.VMName) bool { return v == leader })
	f.members = append([]deck.VMName{leader}, f.members...)
	f.targetIndex = -1
}

// installConfig puts a configuration into force unless it is not newer than the one in force.
func (f *Subscriber) installConfig(p deck.PackedDocument) {
	f.mu.Lock()
	base := f.doc
	f.mu.Unlock()
	if p.Version <= base.Version {
		return
	}
	doc, err := routing.Unpack(p, base)
	if err != nil {
		f.o.Logger.Error(err, "failed to unpack the routing configuration", "version", p.Version)
		return
	}
	f.mu.Lock()
	f.doc = doc
	f.mu.Unlock()
	f.o.Config(doc)
}

// applyServers applies the changes of the list of backend servers that an answer carries.
func (f *Subscriber) applyServers(a deck.ViewAnswer) {
	f.mu.Lock()
	changed := a.Whole || len(a.Servers) > 0 || len(a.Gone) > 0
	if a.Whole {
		f.servers = make(map[deck.BackendName]deck.Server, len(a.Servers))
	}
	for _, s := range a.Servers {
		f.servers[s.ID] = s
	}
	for _, id := range a.Gone {
		delete(f.servers, id)
	}
	f.viewVersion = a.View
	f.mu.Unlock()
	if changed {
		f.publishServers()
	}
}

// replaceServers replaces the list by the platform's own; the next answer of a leader replaces it as a whole.
func (f *Subscriber) replaceServers(list []deck.Server) {
	f.mu.Lock()
	f.viewVersion = deck.ViewVersion{}
	f.servers = make(map[deck.BackendName]deck.Server, len(list))
	for _, s := range list {
		f.servers[s.ID] = s
	}
	f.mu.Unlock()
	f.publishServers()
}

// publishServers passes the whole list, sorted by ID, to Servers.
func (f *Subscriber) publishServers() {
	f.mu.Lock()
	list := make([]deck.Server, 0, len(f.servers))
	for _, s := range f.servers {
		list = append(list, s)
	}
	f.mu.Unlock()
	slices.SortFunc(list, func(a, b deck.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.o.Servers(list)
}
