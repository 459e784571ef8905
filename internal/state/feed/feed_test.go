package feed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// Guards against an accepted ticket that is not in force within 4 s on every reachable VM while sources fail, lag or restart or
// the leader moves.
func TestTicketInForceUnderFaults(t *testing.T) {
	tests := map[string]struct {
		fault  func(c *cluster)
		except []deck.VMName
	}{
		"no fault":                        {fault: func(*cluster) {}},
		"source silent":                   {func(c *cluster) { c.isolate("vm0", true, true); c.isolateLog("vm0", "vm3") }, []deck.VMName{"vm0"}},
		"requests to a source are lost":   {func(c *cluster) { c.isolate("vm3", true, false) }, nil},
		"answers of a source are lost":    {func(c *cluster) { c.isolate("vm3", false, true) }, []deck.VMName{"vm3"}},
		"source isolated, still answers":  {func(c *cluster) { c.log.SetPartitioned("vm3", true); c.partition("vm3") }, []deck.VMName{"vm3"}},
		"source lags":                     {func(c *cluster) { c.log.SetLagging("vm3", true); c.partition("vm3") }, []deck.VMName{"vm3"}},
		"entry VM restarts":               {fault: func(c *cluster) { c.restart("vm4") }},
		"control replica restarts":        {fault: func(c *cluster) { c.restart("vm3") }},
		"leader moves":                    {fault: func(c *cluster) { c.log.SetLeader("vm6") }},
		"source and first relay silent":   {func(c *cluster) { c.disconnect("vm3", Relays("wien-b", c.peers)[0].Name) }, []deck.VMName{"vm3", "vm4", "vm5"}},
		"second source silent just after": {func(c *cluster) { c.disconnect("vm6"); c.disconnect("vm3") }, []deck.VMName{"vm3", "vm6"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for phase := range 8 { // of the polls and read barriers when the fault occurs
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t)
					c.awaitInForce(c.submit())
					time.Sleep(5*time.Second + time.Duration(phase)*130*time.Millisecond)
					tt.fault(c)
					version := c.submit()
					took := c.awaitInForce(version, tt.except...)
					longest = max(longest, took)
					if took > 4*time.Second {
						t.Errorf("in force after %s, missing on %v", took, c.behind(version))
					}
				})
			}
			t.Logf("in force after at most %s", longest)
		})
	}
}

// isolateLog disconnects a replica from the log and makes another one the leader.
func (c *cluster) isolateLog(vm, leader deck.VMName) {
	c.log.SetPartitioned(vm, true)
	c.log.SetLeader(leader)
}

// partition drops the messages between a VM and the VMs of other data centres.
func (c *cluster) partition(vm deck.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if p.DataCentre != c.peer(vm).DataCentre {
			c.cut[[2]deck.VMName{p.Name, vm}], c.cut[[2]deck.VMName{vm, p.Name}] = true, true
		}
	}
}

// disconnect drops all messages of the VMs and disconnects the control replicas among them from the log.
func (c *cluster) disconnect(vms ...deck.VMName) {
	for _, vm := range vms {
		c.isolate(vm, true, true)
		if c.peer(vm).Control {
			c.log.SetPartitioned(vm, true)
		}
	}
}

// Guards against a cut-off VM that the ticket status does not list, that reverts to an older state, or that does not catch up
// after hundreds of missed tickets.
func TestCutOffVMCatchesUp(t *testing.T) {
	for _, missed := range []int{1, 300, 700} {
		t.Run(fmt.Sprint(missed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t)
				first := c.submit()
				c.awaitInForce(first)
				c.isolate("vm4", true, true)
				last := first
				for range missed {
					last = c.submit()
				}
				c.awaitInForce(last, "vm4")
				time.Sleep(2 * CutOffTimeout)
				is.Equal(c.store("vm4").State().Version(), first)
				reader := TicketReader{"vm0", c.nodes["vm0"].replica, c.nodes["vm0"].machine, c.store("vm0"), c.peers}
				s, err := reader.TicketStatus(t.Context(), c.lastTicket)
				is.NoErr(err)
				is.Equal(s.CutOff, []deck.VMName{"vm4"})
				is.Equal(len(s.Confirmed), 7)
				c.isolate("vm4", false, false)
				took := c.awaitInForce(last)
				t.Logf("caught up with %d tickets after %s", missed, took)
				is.True(took <= 4*time.Second)
				time.Sleep(2 * CutOffTimeout)
				s, err = reader.TicketStatus(t.Context(), c.lastTicket)
				is.NoErr(err)
				is.Equal(len(s.Confirmed), 8)
			})
		})
	}
}

// Guards against an entry VM that restarts in a partitioned data centre and then serves nothing, serves an older state than its
// neighbours, or reports its state as proven.
func TestRestartInPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		version := c.submit()
		c.awaitInForce(version)
		c.log.SetPartitioned("vm3", true)
		for _, vm := range []deck.VMName{"vm3", "vm4", "vm5"} {
			c.partition(vm)
		}
		time.Sleep(10 * time.Second)
		c.restart("vm4")
		ready, note := c.store("vm4").Readiness()
		is.True(!ready)
		is.Equal(note, "no-state")
		time.Sleep(5 * time.Second)
		is.Equal(c.store("vm4").State().Version(), version)
		is.True(!c.store("vm4").Proven())
		ready, note = c.store("vm4").Readiness()
		is.True(ready)
		is.Equal(note, "state-unproven")
		c.mu.Lock()
		clear(c.cut)
		c.mu.Unlock()
		c.log.SetPartitioned("vm3", false)
		time.Sleep(3 * time.Second)
		ready, note = c.store("vm4").Readiness()
		is.True(ready)
		is.Equal(note, "")
	})
}

// Guards against a VM that restarts in a partitioned data centre and misses the state of a neighbour that is not one of its
// sources.
func TestLocalPollFindsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		version := c.submit()
		c.awaitInForce(version)
		c.disconnect("vm3")
		c.partition("vm4")
		c.partition("vm5")
		lost := Relays("wien-b", c.peers)[0].Name // relays do not poll each other
		is.True(lost != "vm3")
		c.restart(lost)
		time.Sleep(5 * time.Second)
		is.Equal(c.store(lost).State().Version(), version)
	})
}

// Guards against VMs that fail over from a healthy source because its proof is too old in normal operation. Proofs are oldest in
// a data centre without a control replica: its relays poll a follower, which receives the leader's proof by its own polls.
func TestVMsKeepTheirSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peers []deck.Peer
		for i := range 22 {
			dc := []deck.DataCentre{"graz-a", "wien-b", "bare"}[min(i/4, 2)]
			peers = append(peers, deck.Peer{Name: deck.VMName(fmt.Sprint("vm", i)), DataCentre: dc, Control: i == 0 || i == 4 || i == 5})
		}
		c := newClusterOf(t, peers, true)
		time.Sleep(failbackInterval + 10*time.Second) // VMs start before the leader's first proof and then fail back to it
		c.mu.Lock()
		c.polled = make(map[deck.VMName]map[deck.VMName]bool)
		c.mu.Unlock()
		oldest := make(map[deck.VMName]time.Duration)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, p := range peers {
				age, _ := c.store(p.Name).ProofAge()
				oldest[p.Name] = max(oldest[p.Name], age)
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, p := range peers {
			t.Logf("%s %s: proof at most %s old, polls %v", p.Name, p.DataCentre, oldest[p.Name], c.polled[p.Name])
			if len(c.polled[p.Name]) > 1 {
				t.Errorf("%s polls %v", p.Name, c.polled[p.Name])
			}
		}
	})
}

// Guards against a source that holds a poll after its proof has become too old, so that the polling VM fails over late.
func TestPollReturnsWhenProofExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore("a", deck.SystemClock{}, nil, deck.State{}, false)
		s.RecordProof(time.Now(), 0)
		time.Sleep(MaxProofAge - 300*time.Millisecond)
		start := time.Now()
		a := s.Serve(t.Context(), Request{VM: "b", Wait: MaxPollWait})
		is.True(time.Since(start) < 350*time.Millisecond)
		is.True(a.ProofAge > MaxProofAge)
	})
}

// Guards against a payload that does not leave its publisher, or is lost when a target restarts.
func TestPayloadReachesDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		self := c.peer("vm1")
		p := NewPublisher(ClientConfig{
			Self: self, Peers: c.peers, Store: c.store("vm1"), Transport: clusterTransport{c, "vm1"}, Clock: deck.SystemClock{},
		}, "residency")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		is.True(p.Publish(PayloadVersion{Epoch: 2, Sequence: 1}, []byte("new")))
		is.True(!p.Publish(PayloadVersion{Epoch: 1, Sequence: 9}, []byte("old")))
		p.OfferOnce(ctx)
		time.Sleep(3 * time.Second)
		c.restart("vm0")
		p.OfferOnce(ctx)
		time.Sleep(3 * time.Second)
		for _, node := range c.peers {
			got, ok := c.store(node.Name).Payload("residency")
			is.Equal(ok, node.DataCentre == "graz-a")
			is.True(!ok || string(got.Data) == "new")
		}
	})
}

// Guards against relays that are not publish targets, so that the VMs that poll them never receive a payload.
func TestPublishTargetsIncludeRelays(t *testing.T) {
	is := is.New(t)
	var peers []deck.Peer
	for i := range 34 {
		peers = append(peers, deck.Peer{Name: deck.VMName(fmt.Sprint("vm", i)), DataCentre: "x", Control: i == 0})
	}
	roots := PublishTargets(deck.Peer{Name: "publisher", DataCentre: "x"}, peers)
	is.True(len(Relays("x", peers)) > 2)
	for _, p := range peers {
		first := Sources(p, peers, "")
		is.True(len(first) == 0 || slices.Contains(roots, first[0]))
		second := Sources(p, peers[1:], "") // without the control replica the relays are polled
		is.True(len(second) == 0 ||
			slices.Contains(PublishTargets(deck.Peer{Name: "publisher", DataCentre: "x"}, peers[1:]), second[0]))
	}
}

// Guards against relays that poll each other, VMs that poll another data centre although theirs has a source, and control
// replicas that do not poll the leader first.
func TestSources(t *testing.T) {
	is := is.New(t)
	var peers []deck.Peer
	for i := range 340 {
		dc := deck.DataCentre(fmt.Sprint("dc", i%10))
		peers = append(peers, deck.Peer{Name: deck.VMName(fmt.Sprint("vm", i)), DataCentre: dc, Control: i < 7})
	}
	polls := make(map[deck.VMName]int)
	for _, p := range peers {
		order := Sources(p, peers, "vm3")
		is.True(!slices.Contains(order, p))
		polls[order[0].Name]++
		isRelay := slices.Contains(Relays(p.DataCentre, peers), p)
		switch {
		case p.Control && p.Name != "vm3":
			is.Equal(order[0].Name, deck.VMName("vm3"))
		case !p.Control && (p.DataCentre < "dc7" || !isRelay):
			is.Equal(order[0].DataCentre, p.DataCentre)
		case isRelay:
			is.True(order[0].Control)
		}
	}
	for vm, n := range polls {
		if n > 45 { // 33 VMs of its data centre, the other replicas, and the relays of the data centres without a replica
			t.Errorf("%s is polled by %d VMs", vm, n)
		}
	}
}

// Guards against deltas that are installed after a gap, a proof of a version that is not in force, and a proof time that is too
// late because of clock drift.
func TestInvalidResponseIsIgnored(t *testing.T) {
	is := is.New(t)
	clock := &decktest.ManualClock{}
	clock.Advance(time.Hour)
	s := NewStore("a", clock, nil, deck.State{}, false)
	x := deck.Ticket{Number: 2, Models: []deck.Model{decktest.NewModel("m", 1)}}
	is.True(s.Append([]Delta{{Previous: 3, Version: 6, Ticket: x}}) != nil)
	s.ApplyResponse(clock.Now(), Response{Version: 6, Proven: true, Deltas: []Delta{{Previous: 3, Version: 6, Ticket: x}}})
	is.Equal(s.State().Version(), uint64(0))
	is.True(!s.Proven())
	sent := clock.Now()
	s.ApplyResponse(sent, Response{Proven: true, HoldTime: 2 * time.Second, ProofAge: time.Second})
	age, ok := s.ProofAge()
	is.True(ok)
	is.Equal(age, 1010*time.Millisecond-1980*time.Millisecond) // each duration corrected by 1%
	s.ApplyResponse(sent.Add(-time.Minute), Response{Proven: true})
	after, _ := s.ProofAge()
	is.Equal(after, age) // an older proof does not replace a younger one
}

// Guards against a confirmation that arrives late through another VM and replaces a later one.
func TestLatestConfirmationWins(t *testing.T) {
	is := is.New(t)
	clock := &decktest.ManualClock{}
	clock.Advance(time.Hour)
	s := NewStore("a", clock, nil, deck.State{}, false)
	s.recordConfirmations(clock.Now(), Request{VM: "v", After: 9})
	s.recordConfirmations(clock.Now(), Request{VM: "r", Confirmed: []Confirmation{{VM: "v", Version: 3, Age: time.Second}}})
	is.Equal(s.Propagation([]deck.VMName{"v"}, 9).Confirmed, []deck.VMName{"v"})
	s.recordConfirmations(clock.Now(), Request{VM: "v", After: 4}) // the VM lost its state in a restart
	is.Equal(s.Propagation([]deck.VMName{"v"}, 9).Waiting, []deck.VMName{"v"})
	clock.Advance(CutOffTimeout)
	is.Equal(s.Propagation([]deck.VMName{"v"}, 4).CutOff, []deck.VMName{"v"})
}

// Guards against a restart that reverts to a state older than the one that was in force.
func TestStateIsSavedBeforeItIsInForce(t *testing.T) {
	is := is.New(t)
	saver := disk.StateFile{Folder: t.TempDir()}
	_, ok, err := saver.Load()
	is.NoErr(err)
	is.True(!ok)
	s := NewStore("a", deck.SystemClock{}, saver, deck.State{}, false)
	next := deck.State{}.WithTicket(deck.Ticket{Models: []deck.Model{decktest.NewModel("m", 1)}}, 7)
	s.Install(next)
	loaded, ok, err := saver.Load()
	is.NoErr(err)
	is.True(ok)
	is.Equal(loaded.Version(), uint64(7))
	restarted := NewStore("a", deck.SystemClock{}, saver, loaded, ok)
	restarted.Install(deck.State{}.WithTicket(deck.Ticket{}, 6))
	is.Equal(len(restarted.State().Models()), 1)
	ready, note := restarted.Readiness()
	is.True(ready)
	is.Equal(note, "state-unproven")
}

// Guards against a poison list that does not follow the feed, or whose entries do not expire.
func TestPoisonList(t *testing.T) {
	is := is.New(t)
	clock := &decktest.ManualClock{}
	clock.Advance(2000 * time.Hour)
	s := NewStore("a", clock, nil, deck.State{}, false)
	l := NewPoisonList(s, clock)
	is.True(!l.IsRefused("d"))
	StoreUpdater{Store: s}.OnPoisonChange(5, []statemachine.RefusedDigest{{Digest: "d", ExpiresAt: clock.Now().Add(time.Minute)}})
	is.True(l.IsRefused("d"))
	StoreUpdater{Store: s}.OnPoisonChange(4, nil)
	is.True(l.IsRefused("d")) // an older list does not replace a newer one
	clock.Advance(time.Minute)
	is.True(!l.IsRefused("d"))
}
