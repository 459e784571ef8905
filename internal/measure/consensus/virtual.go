package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
)

// Times of the virtual replicas.
const (
	tickPeriod = 25 * time.Millisecond // as in a running node
	syncTime   = 2 * time.Millisecond  // a flash disk
	jitter     = 0.2                   // of the latency, at most
)

// A virtual is three replicas in virtual time.
type virtual struct {
	now      time.Time
	random   *rand.Rand
	latency  time.Duration
	replicas []*virtualReplica
	network  []delayed
}

type virtualReplica struct {
	id      deck.ReplicaID
	storage *disk.Memory
	core    *replica.Core // nil after a crash
	tickAt  time.Time
}

// A delayed message arrives at its time.
type delayed struct {
	at time.Time
	m  deck.ReplicaMessage
}

func newVirtual(seed, run uint64, latency time.Duration) *virtual {
	v := &virtual{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, run)), latency: latency}
	for i, vm := range []deck.VMName{"a", "b", "c"} {
		r := &virtualReplica{id: deck.ReplicaID{VM: vm, Incarnation: uint64(i) + 1}}
		r.storage = disk.NewMemory(r.id)
		stored, _ := r.storage.Load() // a Memory never fails
		r.core = replica.New(replica.Config{
			Deployment: "measure", Founders: []deck.VMName{"a", "b", "c"}, Stored: stored,
			Rand: rand.NewPCG(v.random.Uint64(), run),
		}, v.now)
		r.tickAt = v.now.Add(time.Duration(v.random.Int64N(int64(tickPeriod))))
		v.replicas = append(v.replicas, r)
	}
	return v
}

// run lets the time pass.
func (v *virtual) run(d time.Duration) {
	end := v.now.Add(d)
	for v.next().Before(end) {
		v.advance()
	}
	v.now = end
}

// next returns the time of the next tick or arrival.
func (v *virtual) next() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, r := range v.replicas {
		if r.core != nil {
			consider(r.tickAt)
		}
	}
	for _, d := range v.network {
		consider(d.at)
	}
	return next
}

// advance moves the time to the next event and handles it.
func (v *virtual) advance() {
	v.now = v.next()
	waiting := v.network
	v.network = nil
	for _, d := range waiting {
		if d.at.After(v.now) {
			v.network = append(v.network, d)
			continue
		}
		if r := v.replica(d.m.To.VM); r.core != nil {
			r.core.Step(v.now, d.m)
			v.settle(r)
		}
	}
	for _, r := range v.replicas {
		if r.core != nil && !v.now.Before(r.tickAt) {
			r.tickAt = r.tickAt.Add(tickPeriod)
			r.core.Tick(v.now)
			v.settle(r)
		}
	}
}

func (v *virtual) replica(vm deck.VMName) *virtualReplica {
	return v.replicas[vm[0]-'a']
}

// settle carries out the replica's effects; what is sent after a save leaves when the sync is done.
func (v *virtual) settle(r *virtualReplica) {
	leaves := v.now
	for e := r.core.TakeEffects(); !e.IsEmpty(); e = r.core.TakeEffects() {
		if !e.Save.IsEmpty() {
			_ = r.storage.Save(e.Save) // a Memory never fails
			leaves = leaves.Add(syncTime)
		}
		r.core.MarkSaved(e)
		for _, m := range e.Send {
			late := time.Duration(float64(v.latency) * (1 + jitter*v.random.Float64()))
			v.network = append(v.network, delayed{at: leaves.Add(late), m: m})
		}
		if e.Snapshot {
			r.core.Compact(nil)
		}
	}
}

// commit proposes a command, again at each new leader, until one is committed; it starts with the given leader.
func (v *virtual) commit(l *virtualReplica) *virtualReplica {
	var index uint64
	for end := v.now.Add(failoverLimit); v.now.Before(end); v.advance() {
		if l == nil || l.core == nil || l.core.Status().Leader != l.id {
			l, index = v.leader(), 0
		}
		if l == nil {
			continue
		}
		if index == 0 {
			index = v.propose(l)
		}
		if index > 0 && l.core.Status().Applied >= index {
			return l
		}
	}
	return l
}

func (v *virtual) propose(l *virtualReplica) uint64 {
	index, _, err := l.core.Propose(v.now, []byte("x"))
	if err != nil {
		return 0
	}
	v.settle(l)
	return index
}

// leader returns a replica that leads, nil if none does.
func (v *virtual) leader() *virtualReplica {
	for _, r := range v.replicas {
		if r.core != nil && r.core.Status().Leader == r.id {
			return r
		}
	}
	return nil
}
