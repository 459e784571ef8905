package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A lan is an in-memory network between the electors of a data centre and its witness, in a synctest bubble.
type lan struct {
	peers       []deck.Peer
	mu          sync.Mutex
	localVoters map[deck.VMName]*LocalVoters
	electors    map[deck.VMName]*Elector
	dropped     map[[2]deck.VMName]bool // messages from the first VM to the second are lost
	group       errgroup.Group
	cancel      map[deck.VMName]context.CancelFunc
}

func newLAN(t *testing.T, peers ...deck.Peer) *lan {
	l := &lan{
		peers: peers, localVoters: make(map[deck.VMName]*LocalVoters), electors: make(map[deck.VMName]*Elector),
		dropped: make(map[[2]deck.VMName]bool), cancel: make(map[deck.VMName]context.CancelFunc),
	}
	for _, p := range peers {
		l.start(p)
	}
	t.Cleanup(func() {
		for _, cancel := range l.cancel {
			cancel()
		}
		_ = l.group.Wait()
	})
	return l
}

func (l *lan) start(p deck.Peer) {
	localVoters := NewLocalVoters(p.Name, l.peers, deck.SystemClock{}, DefaultDuration)
	e := NewElector(Config{
		Self: p, Peers: l.peers, LocalVoters: localVoters, Transport: lanTransport{l, p.Name}, Clock: deck.SystemClock{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	l.localVoters[p.Name], l.electors[p.Name], l.cancel[p.Name] = localVoters, e, cancel
	l.mu.Unlock()
	l.group.Go(func() error { return e.Run(ctx) })
}

// isolate drops the messages to a VM, from it, or both.
func (l *lan) isolate(vm deck.VMName, to, from bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		l.dropped[[2]deck.VMName{p.Name, vm}], l.dropped[[2]deck.VMName{vm, p.Name}] = to, from
	}
}

// holders returns the VMs of a data centre that hold its lease.
func (l *lan) holders(dc deck.DataCentre) (out []deck.VMName) {
	for _, p := range l.peers {
		if _, ok := l.electors[p.Name].Held(); ok && p.DataCentre == dc {
			out = append(out, p.Name)
		}
	}
	return out
}

// watch checks for the given time that data centre x never has more than one holder, and returns how long it had none.
func (l *lan) watch(t *testing.T, d time.Duration) (unheld time.Duration) {
	t.Helper()
	const step = 10 * time.Millisecond
	for range d / step {
		time.Sleep(step)
		switch holders := l.holders("x"); {
		case len(holders) > 1:
			t.Fatalf("VMs %v hold the lease at the same time", holders)
		case len(holders) == 0:
			unheld += step
		}
	}
	return unheld
}

type lanTransport struct {
	l    *lan
	self deck.VMName
}

func (t lanTransport) lost(from, to deck.VMName) bool {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return t.l.dropped[[2]deck.VMName{from, to}]
}

func (t lanTransport) SendRequest(ctx context.Context, voter deck.Peer, r Request) (Response, error) {
	deck.Sleep(ctx, time.Millisecond)
	if t.lost(t.self, voter.Name) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	t.l.mu.Lock()
	localVoters := t.l.localVoters[voter.Name]
	t.l.mu.Unlock()
	if localVoters == nil { // the VM has not started yet
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	a := localVoters.Handle(r)
	deck.Sleep(ctx, time.Millisecond)
	if t.lost(voter.Name, t.self) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	return a, nil
}

func (t lanTransport) HandOver(_ context.Context, to deck.Peer, h Handover) error {
	if t.lost(t.self, to.Name) {
		return errors.New("message lost")
	}
	t.l.electors[to.Name].ReceiveHandover(h)
	return nil
}

func vm(name deck.VMName, dc deck.DataCentre) deck.Peer {
	return deck.Peer{Name: name, DataCentre: dc}
}

// Guards against two holders at once, and against a data centre that stays without a holder, under network faults,
// shutdown of the holder and restarts of voters.
func TestElectorUnderFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(l *lan, holder deck.VMName)
		limit time.Duration // longest total time without a holder
	}{
		"no fault":                          {func(*lan, deck.VMName) {}, 0},
		"holder cut off":                    {func(l *lan, h deck.VMName) { l.isolate(h, true, true) }, 4 * time.Second},
		"messages from the holder are lost": {func(l *lan, h deck.VMName) { l.isolate(h, false, true) }, 4 * time.Second},
		"messages to the holder are lost":   {func(l *lan, h deck.VMName) { l.isolate(h, true, false) }, 8 * time.Second},
		"graceful shutdown":                 {func(l *lan, h deck.VMName) { l.cancel[h]() }, 2 * time.Second},
		"all voters restart":                {func(l *lan, _ deck.VMName) { l.restartVoters() }, 8 * time.Second},
		"one voter restarts":                {func(l *lan, h deck.VMName) { l.restartVoters(l.otherVMs(h)[0]) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLAN(t, vm("a", "x"), vm("b", "x"), vm("c", "x"), vm("d", "y"))
				l.watch(t, 6*time.Second)
				holders := l.holders("x")
				if len(holders) != 1 {
					t.Fatalf("VMs %v hold the lease, want exactly one", holders)
				}
				tt.fault(l, holders[0])
				unheld := l.watch(t, 30*time.Second)
				t.Logf("no VM held the lease for %s", unheld)
				if unheld > tt.limit {
					t.Errorf("no VM held the lease for %s, want at most %s", unheld, tt.limit)
				}
			})
		})
	}
}

// otherVMs returns the other VMs of data centre x.
func (l *lan) otherVMs(vm deck.VMName) (out []deck.VMName) {
	for _, p := range l.peers {
		if p.Name != vm && p.DataCentre == "x" {
			out = append(out, p.Name)
		}
	}
	return out
}

// restartVoters makes the voters of the given VMs lose their state; of all VMs of data centre x if none are given.
func (l *lan) restartVoters(vms ...deck.VMName) {
	if len(vms) == 0 {
		vms = []deck.VMName{"a", "b", "c"}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, vm := range vms {
		v := l.localVoters[vm]
		v.mu.Lock()
		for dc := range v.voters {
			v.voters[dc] = NewVoter(time.Now(), DefaultDuration)
		}
		v.mu.Unlock()
	}
}

// Guards against a data centre of two VMs that stays without a holder after one of them is lost.
func TestWitnessKeepsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLAN(t, vm("a", "x"), vm("b", "x"), vm("d", "y"))
		l.watch(t, 6*time.Second)
		lost := l.holders("x")[0]
		l.isolate(lost, true, true)
		is.True(l.watch(t, 20*time.Second) < 4*time.Second)
		is.True(l.holders("x")[0] != lost)
		is.Equal(l.holders("y"), []deck.VMName{"d"})
	})
}

// Guards against a handover that leaves two holders or loses the ledger, and against one that still counts after it
// failed and another holder followed.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLAN(t, vm("a", "x"), vm("b", "x"), vm("c", "x"))
		l.watch(t, 6*time.Second)
		old := l.holders("x")[0]
		next := l.otherVMs(old)[0]
		_, ok := l.electors[old].ReceivedHandover()
		is.True(!ok)
		before, _ := l.electors[old].Held()
		is.NoErr(l.electors[old].HandOver(t.Context(), vm(next, "x"), []byte("ledger")))
		is.True(!l.held(old))
		is.True(l.watch(t, 2*time.Second) < time.Second)
		h, ok := l.electors[next].ReceivedHandover()
		is.True(ok)
		is.Equal(string(h.Ledger), "ledger")
		after, _ := l.electors[next].Held()
		is.True(after.FencingToken > before.FencingToken)

		l.isolate(old, true, true)
		is.True(l.electors[next].HandOver(t.Context(), vm(old, "x"), nil) != nil) // the successor is cut off
		l.watch(t, 10*time.Second)
		_, ok = l.electors[l.holders("x")[0]].ReceivedHandover()
		is.True(!ok)
	})
}

// Guards against a new holder that skips the wait for the previous lease because of a handover that is too old, or that
// is of an earlier holder than the last one.
func TestOldHandoverDoesNotCount(t *testing.T) {
	tests := map[string]struct {
		before, after time.Duration // wait before and after the handover arrives
		below         uint64        // difference between the last holder's token and the handover's
	}{
		"too old":              {after: DefaultDuration + time.Second},
		"another holder since": {before: time.Second, below: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newLAN(t, vm("a", "x"), vm("b", "x"), vm("c", "x"))
				l.watch(t, 6*time.Second)
				old := l.holders("x")[0]
				lease, _ := l.electors[old].Held()
				time.Sleep(tt.before)
				for _, vm := range l.otherVMs(old) {
					l.electors[vm].ReceiveHandover(Handover{DataCentre: "x", Token: lease.FencingToken - tt.below})
				}
				time.Sleep(tt.after)
				l.isolate(old, true, true)
				l.watch(t, 6*time.Second)
				_, ok := l.electors[l.holders("x")[0]].ReceivedHandover()
				is.True(!ok)
			})
		})
	}
}

func (l *lan) held(vm deck.VMName) bool {
	_, ok := l.electors[vm].Held()
	return ok
}
