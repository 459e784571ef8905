package join_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/join"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

// A cluster is replicas with their membership controllers and joiners in one process.
type cluster struct {
	t       *testing.T
	network *replica.MemoryNetwork
	wanted  int

	mu    sync.Mutex
	nodes map[deck.VMName]*member
}

// A member is a running VM of the cluster.
type member struct {
	node    *replica.Node
	machine *routing.Machine
	stop    context.CancelFunc
	group   *errgroup.Group
}

func newCluster(t *testing.T, wanted int) *cluster {
	return &cluster{t: t, network: &replica.MemoryNetwork{}, wanted: wanted, nodes: make(map[deck.VMName]*member)}
}

// AskJoin implements join.Transport.
func (c *cluster) AskJoin(ctx context.Context, to deck.VMName, id deck.ReplicaID) (deck.VMName, error) {
	c.mu.Lock()
	m := c.nodes[to]
	c.mu.Unlock()
	if m == nil {
		return "", errors.New("unreachable")
	}
	s := m.node.Status()
	if s.Leader != s.Self {
		return s.Leader.VM, errors.New("not the leader")
	}
	return "", join.Join(ctx, m.node, s, id)
}

// start starts a VM with an empty disk.
func (c *cluster) start(vm deck.VMName, incarnation uint64, founders, seeds []deck.VMName) {
	c.t.Helper()
	is := is.New(c.t)
	store, err := disk.Open(disk.Options{
		Files: &disk.MemoryFiles{}, Deployment: "test", VM: vm, Incarnation: func() uint64 { return incarnation },
	})
	is.NoErr(err)
	m := &member{machine: &routing.Machine{}}
	m.node, err = replica.NewNode(replica.Options{
		Config: replica.Config{
			Deployment: "test", Founders: founders, Rand: rand.NewPCG(xxhash.Sum64String(string(vm)), incarnation),
		},
		Storage: store, Transport: c.network,
		Machine: m.machine, Log: logr.Discard(),
	})
	is.NoErr(err)
	c.network.Attach(vm, m.node)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.group = &errgroup.Group{}
	controller := join.NewMembershipController(join.MembershipController{
		Membership: m.node, Monitor: m.node, Clock: deck.SystemClock{}, WantedVoters: c.wanted, Log: logr.Discard(),
	})
	j := join.NewJoiner(join.Joiner{
		Log: m.node, Transport: c, Seeds: func() []deck.VMName { return seeds }, Clock: deck.SystemClock{},
		Logger: logr.Discard(),
	})
	for _, run := range []func(context.Context) error{m.node.Run, controller.Run, j.Run} {
		m.group.Go(func() error { return run(ctx) })
	}
	c.mu.Lock()
	c.nodes[vm] = m
	c.mu.Unlock()
}

// kill makes a VM unreachable and then stops it.
func (c *cluster) kill(vm deck.VMName) {
	c.network.Attach(vm, nil)
	c.mu.Lock()
	m := c.nodes[vm]
	delete(c.nodes, vm)
	c.mu.Unlock()
	m.stop()
	_ = m.group.Wait()
}

func (c *cluster) stop() {
	for vm := range c.nodes {
		c.nodes[vm].stop()
	}
	for vm := range c.nodes {
		_ = c.nodes[vm].group.Wait()
	}
}

// awaitLeader waits for a leader and returns it with its status.
func (c *cluster) awaitLeader(within time.Duration) (*member, deck.LogStatus) {
	for end := time.Now().Add(within); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
		for _, m := range c.nodes {
			if s := m.node.Status(); s.Leader == s.Self && !s.Self.IsZero() {
				return m, s
			}
		}
	}
	c.t.Fatal("no leader")
	return nil, deck.LogStatus{}
}

// propose commits a routing document.
func (c *cluster) propose(version uint64) {
	c.t.Helper()
	m, _ := c.awaitLeader(5 * time.Second)
	command, err := routing.Encode(deck.RoutingDocument{Version: version, Body: []byte(fmt.Sprint("body ", version))})
	if err == nil {
		_, err = m.node.Propose(context.Background(), command)
	}
	if err != nil {
		c.t.Error(err)
	}
}

// awaitVoters waits until the voters are exactly the given VMs.
func (c *cluster) awaitVoters(within time.Duration, want ...deck.VMName) {
	c.t.Helper()
	var last []deck.ReplicaID
	for end := time.Now().Add(within); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
		_, s := c.awaitLeader(within)
		last = s.Voters
		have := make(map[deck.VMName]bool)
		for _, v := range s.Voters {
			have[v.VM] = true
		}
		all := len(s.Voters) == len(want)
		for _, v := range want {
			all = all && have[v]
		}
		if all {
			return
		}
	}
	c.t.Errorf("voters %v, want %v", last, want)
}

// repairLimit is the longest time that the users allow for replacing a voter.
const repairLimit = 4 * time.Second

// Guards against a lost VM whose replacement never becomes a voter, so that the next loss stops the log.
func TestReplacedVMBecomesAVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		abc := []deck.VMName{"a", "b", "c"}
		for _, vm := range abc {
			c.start(vm, 1, abc, abc)
		}
		c.propose(1)
		c.kill("c")
		<-time.After(time.Second)
		c.start("d", 1, nil, abc)
		c.awaitVoters(repairLimit, "a", "b", "d")
		c.kill("b") // the replacement must vote for the next commit
		c.propose(2)
		c.stop()
	})
}

// Guards against a VM that lost its disk and comes back as the same replica, although it no longer knows its old votes.
func TestLostDiskJoinsAsANewReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		abc := []deck.VMName{"a", "b", "c"}
		for _, vm := range abc {
			c.start(vm, 1, abc, abc)
		}
		c.propose(1)
		_, s := c.awaitLeader(time.Second)
		c.kill(s.Self.VM)
		c.start(s.Self.VM, 2, nil, abc)
		<-time.After(repairLimit + 2*time.Second) // an election comes first
		c.awaitVoters(time.Second, abc...)
		_, s = c.awaitLeader(time.Second)
		for _, v := range s.Voters {
			is.True(v.Incarnation == 1 || v.VM != "" && v.Incarnation == 2)
		}
		is.Equal(c.nodes["a"].machine.Document().Version, uint64(1))
		c.stop()
	})
}

// Guards against too few or too many voters in a cluster that is larger than the wanted number of voters.
func TestFiveOfSixVMsVoteAndTolerateTwoLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		seeds := []deck.VMName{"a", "b", "c"}
		for _, vm := range []deck.VMName{"a", "b", "c", "d", "e", "f"} {
			c.start(vm, 1, seeds, seeds)
		}
		<-time.After(6 * time.Second)
		_, s := c.awaitLeader(time.Second)
		if len(s.Voters) != 5 {
			t.Errorf("voters %v, want 5", s.Voters)
		}
		c.propose(1)
		c.kill(s.Voters[0].VM)
		c.kill(s.Voters[1].VM)
		c.propose(2)
		c.stop()
	})
}
