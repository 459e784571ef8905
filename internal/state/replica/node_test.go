package replica_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
)

// A cluster is three nodes on a MemoryNetwork with storages that can fail.
type cluster struct {
	t        *testing.T
	network  replica.MemoryNetwork
	nodes    map[deck.VMName]*replica.Node
	machines map[deck.VMName]*recordingMachine
	storages map[deck.VMName]*disk.FaultyStorage
	cancel   map[deck.VMName]context.CancelFunc
	group    errgroup.Group
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:        t,
		nodes:    make(map[deck.VMName]*replica.Node),
		machines: make(map[deck.VMName]*recordingMachine),
		storages: make(map[deck.VMName]*disk.FaultyStorage),
		cancel:   make(map[deck.VMName]context.CancelFunc),
	}
	for i, vm := range []deck.VMName{"a", "b", "c"} {
		memory := disk.NewMemory(deck.ReplicaID{VM: vm, Incarnation: uint64(i + 1)})
		c.storages[vm] = &disk.FaultyStorage{Storage: memory}
		c.start(vm)
	}
	return c
}

func (c *cluster) start(vm deck.VMName) {
	c.machines[vm] = &recordingMachine{}
	node, err := replica.NewNode(replica.Options{
		Config:    replica.Config{Deployment: "test", Founders: []deck.VMName{"a", "b", "c"}},
		Storage:   c.storages[vm],
		Transport: &c.network,
		Machine:   c.machines[vm],
	})
	is.New(c.t).NoErr(err)
	c.nodes[vm] = node
	c.network.Attach(vm, node)
	ctx, cancel := context.WithCancel(c.t.Context())
	c.cancel[vm] = cancel
	c.group.Go(func() error { return node.Run(ctx) })
}

// leader returns the VM that leads and has applied an entry of its term.
func (c *cluster) leader() deck.VMName {
	for range 1000 {
		for vm, n := range c.nodes {
			if n.Status().Leader.VM == vm && n.Barrier(c.t.Context()) == nil {
				return vm
			}
		}
		<-time.After(50 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return ""
}

// stop ends all nodes and returns the first error of a Run.
func (c *cluster) stop() error {
	for _, cancel := range c.cancel {
		cancel()
	}
	return c.group.Wait()
}

// TestStorageFaultStopsParticipation guards against a replica that acknowledges proposals after a failed write or sync, also once its
// storage works again.
func TestStorageFaultStopsParticipation(t *testing.T) {
	for _, fault := range []error{errors.New("failed sync"), syscall.EIO} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			old := c.leader()
			c.storages[old].SetFault(func(deck.LogWrite) error { return fault })
			_, err := c.nodes[old].Propose(t.Context(), []byte("lost"))
			is.True(errors.Is(err, fault))
			is.True(c.nodes[old].Status().FailureReason != "")
			c.storages[old].SetFault(nil) // a later success must not bring the replica back
			_, err = c.nodes[old].Propose(t.Context(), []byte("lost"))
			is.True(errors.Is(err, fault))
			is.True(errors.Is(c.nodes[old].Barrier(t.Context()), fault))
			is.True(c.leader() != old)
			is.Equal(propose(t, c.nodes, "kept"), "ok kept")
			is.True(errors.Is(c.stop(), fault))
		})
	}
}

// TestFullDiskSuspendsParticipation guards against a replica that acknowledges anything while its disk is full, and against one that takes
// no part in the log any more once there is room again, as a leader or a follower.
func TestFullDiskSuspendsParticipation(t *testing.T) {
	const fullTime = 3 * time.Second
	full := errors.Mark(errors.New("no space left on device"), deck.ErrDiskFull)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		for round := range 2 {
			for vm := range c.nodes { // one disk after the other
				c.leader()
				wasLeader := c.nodes[vm].Status().Leader.VM == vm
				var saves atomic.Int64
				c.storages[vm].SetFault(func(deck.LogWrite) error {
					saves.Add(1)
					return full
				})
				if wasLeader {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					_, err := c.nodes[vm].Propose(ctx, []byte("late"))
					cancel()
					is.True(err != nil)
					_, err = c.nodes[vm].Propose(t.Context(), []byte("refused"))
					is.True(errors.Is(err, deck.ErrDiskFull))
					is.True(errors.Is(c.nodes[vm].Barrier(t.Context()), deck.ErrDiskFull))
				}
				is.Equal(propose(t, c.nodes, fmt.Sprint("kept ", round, vm)), fmt.Sprint("ok kept ", round, vm))
				<-time.After(fullTime)
				is.True(saves.Load() > 0)
				is.Equal(c.nodes[vm].Status().FailureReason, "")
				_, leads := c.nodes[vm].LeaderTerm(time.Now(), time.Second)
				is.True(!leads)
				c.storages[vm].SetFault(nil)
				<-time.After(fullTime)
			}
		}
		l := c.leader()
		for vm := range c.nodes { // each replica can make up the majority with the leader
			if vm == l {
				continue
			}
			for other := range c.nodes {
				if other != l && other != vm {
					c.storages[other].SetFault(func(deck.LogWrite) error { return full })
				}
			}
			value, err := c.nodes[l].Propose(t.Context(), []byte("with "+vm))
			is.NoErr(err)
			is.Equal(string(value), "ok with "+string(vm))
			for other := range c.nodes {
				c.storages[other].SetFault(nil)
			}
			<-time.After(fullTime)
		}
		is.NoErr(c.stop())
	})
}

// TestNoAnswerBeforeSave guards against a follower that acknowledges entries before they are durable: a crash between
// write and sync would lose them.
func TestNoAnswerBeforeSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.leader()
		var follower deck.VMName
		for vm, n := range c.nodes {
			if n.Status().Leader.VM != vm {
				follower = vm
			}
		}
		var failed atomic.Bool
		var acknowledged atomic.Int64
		c.network.SetFault(func(m deck.ReplicaMessage) []deck.ReplicaMessage {
			if failed.Load() && m.From.VM == follower && m.Kind == deck.MessageAppendAnswer {
				acknowledged.Add(1)
			}
			return []deck.ReplicaMessage{m}
		})
		c.storages[follower].SetFault(func(w deck.LogWrite) error {
			if len(w.Entries) == 0 {
				return nil
			}
			failed.Store(true)
			return errors.New("killed before the sync")
		})
		is.Equal(propose(t, c.nodes, "1"), "ok 1")
		<-time.After(time.Second)
		is.True(failed.Load())
		is.Equal(acknowledged.Load(), int64(0))
		is.True(c.stop() != nil)
	})
}

// TestProposalsShareSyncs guards against one sync for each of 100 concurrent proposals.
func TestProposalsShareSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		l := c.leader()
		var saves atomic.Int64
		c.storages[l].SetFault(func(deck.LogWrite) error {
			saves.Add(1)
			<-time.After(10 * time.Millisecond) // a slow disk
			return nil
		})
		var callers errgroup.Group
		for i := range 100 {
			callers.Go(func() error {
				_, err := c.nodes[l].Propose(t.Context(), fmt.Append(nil, i))
				return err
			})
		}
		is.NoErr(callers.Wait())
		is.True(saves.Load() <= 5)
		is.True(c.nodes[l].Counters().SavedEntries >= 100)
		is.NoErr(c.stop())
	})
}

// TestFollowerReportsLeader guards against a rejected proposal whose error does not name the leader, which callers need to
// forward the command.
func TestFollowerReportsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		l := c.leader()
		<-time.After(time.Second)
		for vm, n := range c.nodes {
			if vm == l {
				continue
			}
			_, err := n.Propose(t.Context(), []byte("x"))
			var notLeader deck.NotLeaderError
			is.True(errors.As(err, &notLeader))
			is.Equal(notLeader.Leader.VM, l)
			is.NoErr(n.Barrier(t.Context())) // confirmed by the leader
		}
		_, err := c.nodes[l].Propose(t.Context(), make([]byte, replica.MaxCommandBytes+1))
		is.Equal(err, deck.ErrCommandTooLarge)
		is.NoErr(c.stop())
	})
}

// TestShutdownTransfersLeadership guards against a planned restart of the leader after which the others wait for an
// election timeout.
func TestShutdownTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		old := c.leader()
		start := time.Now()
		c.cancel[old]()
		<-c.nodes[old].Done()
		delete(c.nodes, old)
		c.network.Attach(old, nil)
		is.True(c.leader() != old)
		is.True(time.Since(start) < replica.ElectionTimeoutMin)
		is.NoErr(c.stop())
	})
}

// TestRepairThroughNodes guards the repair that an operator runs after the loss of a disk: remove the old identity, add
// the new one as a learner, promote it once it has caught up.
func TestRepairThroughNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		is.Equal(propose(t, c.nodes, "1"), "ok 1")
		l := c.leader()
		var lost deck.VMName
		for vm := range c.nodes {
			if vm != l {
				lost = vm
			}
		}
		old := c.nodes[lost].Status().Self
		c.cancel[lost]()
		<-c.nodes[lost].Done()
		id := deck.ReplicaID{VM: lost, Incarnation: 77}
		c.storages[lost] = &disk.FaultyStorage{Storage: disk.NewMemory(id)}
		c.start(lost)
		var membership deck.MembershipChanger = c.nodes[l]
		is.NoErr(membership.Remove(t.Context(), old))
		is.NoErr(membership.AddLearner(t.Context(), id))
		is.NoErr(membership.Promote(t.Context(), id))
		status, err := membership.RepairStatus(t.Context(), id)
		is.NoErr(err)
		is.Equal(status.Phase, deck.RepairDone)
		is.NoErr(c.nodes[lost].Barrier(t.Context()))
		is.Equal(c.machines[lost].commands, c.machines[l].commands)
		is.NoErr(c.stop())
	})
}
