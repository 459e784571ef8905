package machine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A net forwards commands to the proposers of three control replicas and can lose requests or answers.
type forwardNet struct {
	log       *decktest.Log
	machines  map[deck.VMName]*Machine
	proposers map[deck.VMName]Proposer
	moveTo    deck.VMName // leads after the next lost answer
	refuse    bool        // no connection is made
	losing    func(to deck.VMName) bool
	forwards  atomic.Int64
}

var control = []deck.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}

func newForwardNet() *forwardNet {
	n := &forwardNet{log: decktest.NewLog(), machines: make(map[deck.VMName]*Machine), proposers: make(map[deck.VMName]Proposer)}
	for _, p := range control {
		n.machines[p.Name] = New(nil, nil)
		n.proposers[p.Name] = Proposer{Self: p.Name, Log: n.log.Join(p.Name, n.machines[p.Name]), Clock: deck.SystemClock{}}
	}
	return n
}

func (n *forwardNet) client(vm deck.VMName) *Client {
	id := 0
	return NewClient(ClientConfig{
		Self: vm, Control: control, Forward: n, Clock: deck.SystemClock{},
		NewID: func() string { id++; return fmt.Sprint(vm, id) },
	})
}

func (n *forwardNet) Forward(ctx context.Context, to deck.Peer, data []byte) ([]byte, error) {
	n.forwards.Add(1)
	if n.refuse {
		return nil, &NotProposedError{Cause: errors.New("connection refused")}
	}
	if n.losing != nil && n.losing(to.Name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	result, err := n.proposers[to.Name].Propose(ctx, data)
	if errors.Is(err, decktest.ErrLogNoAnswer) && n.moveTo != "" {
		n.log.Lead(n.moveTo)
	}
	return result, err
}

func (n *forwardNet) TicketStatus(context.Context, deck.Peer, uint64) (TicketStatus, error) {
	return TicketStatus{}, errors.New("not used")
}

// faults returns a fault function that gives the listed faults and then none.
func faults(list ...decktest.LogFault) func() decktest.LogFault {
	return func() decktest.LogFault {
		if len(list) == 0 {
			return decktest.LogOK
		}
		f := list[0]
		list = list[1:]
		return f
	}
}

// Guards against a ticket or claim that is answered wrongly when the leader changes, or a message is lost, late or repeated,
// between proposal and answer.
func TestProposalsUnderFaults(t *testing.T) {
	tests := map[string]func(n *forwardNet){
		"no fault":              func(*forwardNet) {},
		"proposal lost":         func(n *forwardNet) { n.log.SetFault(faults(decktest.LogLost)) },
		"answer lost":           func(n *forwardNet) { n.log.SetFault(faults(decktest.LogAnswerLost)) },
		"answer lost twice":     func(n *forwardNet) { n.log.SetFault(faults(decktest.LogAnswerLost, decktest.LogAnswerLost)) },
		"committed later":       func(n *forwardNet) { n.log.SetFault(faults(decktest.LogDelayed, decktest.LogAnswerLost)) },
		"another leader":        func(n *forwardNet) { n.log.Lead("c") },
		"leader is silent":      func(n *forwardNet) { n.losing = func(to deck.VMName) bool { return to == "a" }; n.log.Lead("b") },
		"leader moves meantime": func(n *forwardNet) { n.log.SetFault(faults(decktest.LogAnswerLost)); n.moveTo = "b" },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newForwardNet()
				fault(n)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				answer, err := n.client("e").SubmitTicket(ctx, decktest.Deployment(1, 1, 1))
				is.NoErr(err)
				is.Equal(answer.Verdict, deck.TicketAccepted)
				n.log.CommitDelayed()
				again, err := n.client("f").SubmitTicket(ctx, decktest.Deployment(1, 1, 1))
				is.NoErr(err)
				is.Equal(again, answer)

				fault(n)
				e, f := n.client("e"), n.client("f")
				is.Equal(e.Begin(ctx, "k", "d").Status, deck.ClaimGranted)
				n.log.CommitDelayed()
				is.Equal(f.Begin(ctx, "k", "d").Status, deck.ClaimInProgress)
				fault(n)
				is.NoErr(e.Finish(ctx, "k", deck.ServiceAnswer{Outcome: deck.OutcomeDone, Status: 200}))
				n.log.CommitDelayed()
				is.Equal(f.Begin(ctx, "k", "d").Status, deck.ClaimFinished)
			})
		})
	}
}

// Guards against a frozen leader that holds up the first call through each VM although another replica leads by now.
func TestSilentLeaderCostsAQuarterOfACallsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newForwardNet()
		e := n.client("e")
		is.Equal(e.Begin(t.Context(), "k1", "d").Status, deck.ClaimGranted) // the client knows its leader
		n.losing = func(to deck.VMName) bool { return to == "a" }
		n.log.Lead("c")
		start := time.Now()
		is.Equal(e.Begin(t.Context(), "k2", "d").Status, deck.ClaimGranted)
		is.True(time.Since(start) <= beginTimeout/4)
	})
}

// Guards against a call that is refused although a replica came to lead within its time.
func TestCallWaitsForALeaderBesideASilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newForwardNet()
		e := n.client("e")
		n.losing = func(to deck.VMName) bool { return to == "a" }
		n.log.Lead("")
		var g errgroup.Group
		g.Go(func() error {
			time.Sleep(beginTimeout / 3)
			n.log.Lead("b")
			return nil
		})
		is.Equal(e.Begin(t.Context(), "k", "d").Status, deck.ClaimGranted)
		is.NoErr(g.Wait())
	})
}

// Guards against a call that is refused as not run and later blocks its key, and a release that is given up too early.
func TestTimedOutClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newForwardNet()
		e := n.client("e")
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return e.Run(ctx) })
		first := faults(decktest.LogDelayed)
		n.log.SetFault(func() decktest.LogFault { return max(first(), decktest.LogLost) })
		is.Equal(e.Begin(ctx, "k", "d").Status, deck.ClaimUnavailable)
		time.Sleep(40 * time.Second) // all releases are lost
		n.log.SetFault(nil)
		time.Sleep(5 * time.Second) // the release is committed before the claim
		n.log.CommitDelayed()
		is.Equal(n.client("f").Begin(ctx, "k", "d").Status, deck.ClaimGranted)
		cancel()
		is.NoErr(g.Wait())
	})
}

// Guards against a claim that is left in the log although the caller was told that nothing was claimed.
func TestCommittedClaimOfTimedOutBeginIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newForwardNet()
		e := n.client("e")
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return e.Run(ctx) })
		n.log.SetFault(func() decktest.LogFault { return decktest.LogAnswerLost })
		is.Equal(e.Begin(ctx, "k", "d").Status, deck.ClaimUnavailable)
		n.log.SetFault(nil)
		time.Sleep(5 * time.Second)
		is.Equal(n.client("f").Begin(ctx, "k", "d").Status, deck.ClaimGranted)
		cancel()
		is.NoErr(g.Wait())
	})
}

// Guards against work for a release that can't be needed, a begin-call that waits forever without a majority, and an end
// without a claim.
func TestNothingWasProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newForwardNet()
		e := n.client("e")
		start := time.Now()
		n.refuse = true
		is.Equal(e.Begin(t.Context(), "k", "d").Status, deck.ClaimUnavailable)
		is.Equal(time.Since(start), beginTimeout)
		n.refuse = false
		n.log.Lead("")
		is.Equal(e.Begin(t.Context(), "k", "d").Status, deck.ClaimUnavailable)
		_, queued := e.nextRelease()
		is.True(!queued)
		is.True(e.Finish(t.Context(), "k", deck.ServiceAnswer{Outcome: deck.OutcomeDone}) != nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := e.SubmitTicket(ctx, decktest.Deployment(1, 1, 1))
		var none *NotProposedError
		is.True(errors.As(err, &none))
	})
}

// Guards against a refusal of the log that counts as a command that may be committed, and the reverse.
func TestLogErrorsAreExact(t *testing.T) {
	tests := map[error]bool{ // whether the command certainly was not proposed
		deck.NotLeaderError{Leader: deck.ReplicaID{VM: "b"}}: true,
		deck.ErrLogBusy:          true,
		deck.ErrCommandTooLarge:  true,
		deck.ErrLeadershipLost:   false,
		deck.ErrReplicaStopped:   false,
		context.DeadlineExceeded: false,
	}
	for err, want := range tests {
		t.Run(err.Error(), func(t *testing.T) {
			is.New(t).Equal(certainlyNot(proposeError(err)), want)
		})
	}
}

// Guards against a recorded answer that is cut off, and a VM with a replica that does not use it.
func TestLargeAnswerAndLocalReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newForwardNet()
		local := n.proposers["a"]
		c := NewClient(ClientConfig{Self: "a", Local: &local, Control: control, Forward: n, Clock: deck.SystemClock{}})
		is.Equal(c.Begin(t.Context(), "k", "d").Status, deck.ClaimGranted)
		large := deck.ServiceAnswer{Outcome: deck.OutcomeDone, Body: make([]byte, MaxRecordedBody+1)}
		is.NoErr(c.Finish(t.Context(), "k", large))
		is.Equal(c.Begin(t.Context(), "k", "d").Status, deck.ClaimUnknown)
		for range 2 {
			is.NoErr(c.ReportCrash(t.Context(), "p", "e", "boot", true))
		}
		is.Equal(len(n.machines["b"].Poisoned()), 0)
		is.NoErr(c.ReportCrash(t.Context(), "p", "e", "", false))
		is.Equal(n.machines["b"].Poisoned()[0].Digest, "p")
		is.Equal(n.forwards.Load(), int64(0))
	})
}
