package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
)

// Timing of the simulated replicas.
const (
	tickInterval   = 25 * time.Millisecond // as in a running node
	syncTime       = 2 * time.Millisecond  // of a flash disk
	maxJitterShare = 0.2                   // of the latency
)

// A virtualCluster is three replicas that exchange messages in virtual time.
type virtualCluster struct {
	now       time.Time
	rand      *rand.Rand
	latency   time.Duration
	replicas  []*virtualReplica
	inTransit []delayedMessage
}

type virtualReplica struct {
	id       deck.ReplicaID
	storage  *disk.Memory
	core     *replica.Core // nil after a crash
	nextTick time.Time
}

// A delayedMessage reaches its receiver at the arrival time.
type delayedMessage struct {
	arrival time.Time
	message deck.ReplicaMessage
}

func newVirtualCluster(seed, run uint64, latency time.Duration) *virtualCluster {
	v := &virtualCluster{now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, run)), latency: latency}
	for i, vm := range []deck.VMName{"a", "b", "c"} {
		r := &virtualReplica{id: deck.ReplicaID{VM: vm, Incarnation: uint64(i) + 1}}
		r.storage = disk.NewMemory(r.id)
		stored, _ := r.storage.Load() // a Memory never fails
		r.core = replica.New(replica.Config{
			Deployment: "measure", Founders: []deck.VMName{"a", "b", "c"}, Stored: stored,
			Rand: rand.NewPCG(v.rand.Uint64(), run),
		}, v.now)
		r.nextTick = v.now.Add(time.Duration(v.rand.Int64N(int64(tickInterval))))
		v.replicas = append(v.replicas, r)
	}
	return v
}

// runFor handles the events of the next d of virtual time.
func (v *virtualCluster) runFor(d time.Duration) {
	end := v.now.Add(d)
	for v.next().Before(end) {
		v.advance()
	}
	v.now = end
}

// next returns the time of the next tick or message arrival.
func (v *virtualCluster) next() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, r := range v.replicas {
		if r.core != nil {
			consider(r.nextTick)
		}
	}
	for _, d := range v.inTransit {
		consider(d.arrival)
	}
	return next
}

// advance moves the time to the next event and handles everything that is due.
func (v *virtualCluster) advance() {
	v.now = v.next()
	waiting := v.inTransit
	v.inTransit = nil
	for _, d := range waiting {
		if d.arrival.After(v.now) {
			v.inTransit = append(v.inTransit, d)
			continue
		}
		if r := v.replica(d.message.To.VM); r.core != nil {
			r.core.Step(v.now, d.message)
			v.applyEffects(r)
		}
	}
	for _, r := range v.replicas {
		if r.core != nil && !v.now.Before(r.nextTick) {
			r.nextTick = r.nextTick.Add(tickInterval)
			r.core.Tick(v.now)
			v.applyEffects(r)
		}
	}
}

func (v *virtualCluster) replica(vm deck.VMName) *virtualReplica {
	return v.replicas[vm[0]-'a']
}

// applyEffects carries out the replica's effects; messages that follow a save are sent after the disk sync.
func (v *virtualCluster) applyEffects(r *virtualReplica) {
	sendAt := v.now
	for e := r.core.TakeEffects(); !e.IsEmpty(); e = r.core.TakeEffects() {
		if !e.Save.IsEmpty() {
			_ = r.storage.Save(e.Save) // a Memory never fails
			sendAt = sendAt.Add(syncTime)
		}
		r.core.MarkSaved(e)
		for _, message := range e.Send {
			delay := time.Duration(float64(v.latency) * (1 + maxJitterShare*v.rand.Float64()))
			v.inTransit = append(v.inTransit, delayedMessage{arrival: sendAt.Add(delay), message: message})
		}
		if e.Snapshot {
			r.core.Compact(nil)
		}
	}
}

// commitCommand proposes a command, first to the given leader and again to each new leader, until one commits it or the
// timeout expires. It returns the last leader.
func (v *virtualCluster) commitCommand(l *virtualReplica) *virtualReplica {
	var index uint64
	for end := v.now.Add(failoverTimeout); v.now.Before(end); v.advance() {
		if l == nil || l.core == nil || l.core.Status().Leader != l.id {
			l, index = v.leadingReplica(), 0
		}
		if l == nil {
			continue
		}
		if index == 0 {
			index = v.propose(l)
		}
		if index > 0 && l.core.Status().AppliedIndex >= index {
			return l
		}
	}
	return l
}

func (v *virtualCluster) propose(l *virtualReplica) uint64 {
	index, _, err := l.core.Propose(v.now, []byte("x"))
	if err != nil {
		return 0
	}
	v.applyEffects(l)
	return index
}

// leadingReplica returns a replica that considers itself the leader, or nil.
func (v *virtualCluster) leadingReplica() *virtualReplica {
	for _, r := range v.replicas {
		if r.core != nil && r.core.Status().Leader == r.id {
			return r
		}
	}
	return nil
}
