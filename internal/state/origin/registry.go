package origin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	maxOwnRecords       = 50_000
	copies              = 3 // control VMs that get each record
	targetCheckInterval = 500 * time.Millisecond

	// findTimeout covers the round trips between regions of a new connection and of a question that waits for the previous one.
	findTimeout = 400 * time.Millisecond

	// standbyDelay is how long a control VM fails to take records until another one gets them as well.
	standbyDelay = 1 * time.Second
)

// A Registry shares origins of streams between this entry VM and others, by way of control VMs. Records are sent and control VMs are asked
// only while Run runs.
type Registry struct {
	Self   deck.VMName
	Peers  func() []deck.VMName // control VMs; none if nil
	Client deck.OriginClient
	Clock  deck.Clock // BootClock if nil
	Log    logr.Logger

	mu         sync.Mutex
	own        table // what this VM has recorded
	senders    map[deck.VMName]*sender
	askers     map[deck.VMName]*asker
	announcers map[deck.VMName]*announcer
	listed     map[deck.StreamOrigin]*announcement // of the servers in the list
	counts     Counts
}

var _ deck.StreamOrigins = (*Registry)(nil)

// Counts are totals since the start.
type Counts struct {
	Recorded int64 // records of this VM
	Lost     int64 // times that a record was not delivered to a control VM before it expired
	Found    int64 // streams whose origin was found
	NotFound int64 // streams whose origin was unknown
}

// Counts returns the totals.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Record implements deck.StreamOrigins.Record. Invalid records are logged and dropped.
func (r *Registry) Record(record deck.StreamRecord) {
	if err := checkOrigin(record.Origin); err != nil {
		r.Log.Error(err, "origin of a stream not recorded")
		return
	}
	now := bootTime(r.Clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.max = maxOwnRecords
	switch r.own.put(now, record) {
	case changed:
		r.counts.Recorded++
	case conflicting:
		logConflict(r.Log, now, &r.own, record)
		return
	default:
		return
	}
	for _, s := range r.senders {
		s.enqueue(record.Stream)
	}
}

// Find implements deck.StreamOrigins.Find.
func (r *Registry) Find(ctx context.Context, s deck.StreamKey) deck.OriginFinding {
	f := r.find(ctx, s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Known {
		r.counts.Found++
	} else {
		r.counts.NotFound++
	}
	return f
}

func (r *Registry) find(ctx context.Context, s deck.StreamKey) deck.OriginFinding {
	now := bootTime(r.Clock)
	r.mu.Lock()
	f := deck.OriginFinding{OriginAnswer: r.own.answer(now, s)}
	if f.Known {
		r.mu.Unlock()
		return f
	}
	f.Asked = len(r.askers)
	q := question{stream: s, replies: make(chan reply, len(r.askers))}
	for _, a := range r.askers {
		a.enqueue(q)
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for range cap(q.replies) {
		select {
		case <-ctx.Done():
			return f
		case a := <-q.replies:
			if !a.ok {
				continue
			}
			f = withAnswer(f, a.answer)
			if f.Known {
				return f
			}
		}
	}
	return f
}

// withAnswer returns the finding with the answer of one more control VM.
func withAnswer(f deck.OriginFinding, a deck.OriginAnswer) deck.OriginFinding {
	if !a.Partial {
		f.Answers++
	}
	f.Known, f.Origin = a.Known, a.Origin
	for _, o := range a.Recent {
		if !slices.Contains(f.Recent, o) {
			f.Recent = append(f.Recent, o)
		}
	}
	return f
}

// Run sends records to control VMs and asks them, until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	var g errgroup.Group
	for ok := true; ok; ok = deck.Sleep(ctx, targetCheckInterval) {
		r.connect(ctx, &g)
	}
	return g.Wait()
}

// connect starts and stops senders and askers as the control VMs and their health change.
func (r *Registry) connect(ctx context.Context, g *errgroup.Group) {
	var peers []deck.VMName
	if r.Peers != nil {
		peers = ranked(r.Self, r.Peers())
	}
	now := bootTime(r.Clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.senders == nil {
		r.senders, r.askers = make(map[deck.VMName]*sender), make(map[deck.VMName]*asker)
		r.announcers = make(map[deck.VMName]*announcer)
	}
	targets := r.targets(now, peers)
	for vm, s := range r.senders {
		if !slices.Contains(targets, vm) {
			s.stop()
			delete(r.senders, vm)
		}
	}
	for vm, a := range r.askers {
		if !slices.Contains(peers, vm) {
			a.stop()
			delete(r.askers, vm)
			r.announcers[vm].stop()
			delete(r.announcers, vm)
		}
	}
	for _, vm := range targets {
		if r.senders[vm] == nil {
			s := newSender(r, vm)
			s.queue = r.own.streams(now)
			r.senders[vm] = s
			s.start(ctx, g)
		}
	}
	for _, vm := range peers {
		if r.askers[vm] == nil {
			a := newAsker(r.Client, vm)
			r.askers[vm] = a
			a.start(ctx, g)
			r.announcers[vm] = newAnnouncer(r, vm)
			r.announcers[vm].start(ctx, g)
		}
	}
}

// targets returns the control VMs that get records: the first ones by rank, as many as it takes for copies of them to work.
func (r *Registry) targets(now time.Time, peers []deck.VMName) []deck.VMName {
	working := 0
	for i, vm := range peers {
		if s := r.senders[vm]; s == nil || s.failingSince.IsZero() || now.Sub(s.failingSince) < standbyDelay {
			working++
		}
		if working == copies {
			return peers[:i+1]
		}
	}
	return peers
}

// ranked returns the distinct names in the rendezvous order of the VM, highest rank first.
func ranked(self deck.VMName, names []deck.VMName) []deck.VMName {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b deck.VMName) int {
		return cmp.Or(cmp.Compare(rank(self, b), rank(self, a)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

func rank(self, vm deck.VMName) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(vm))
}
