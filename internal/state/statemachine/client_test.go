package statemachine

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

// A fakeNetwork is a Forwarder that calls the proposers of three control replicas. It can drop requests and responses.
type fakeNetwork struct {
	log               *decktest.FakeLog
	machines          map[deck.VMName]*Machine
	proposers         map[deck.VMName]Proposer
	nextLeader        deck.VMName // becomes the leader after the next lost answer
	refuseConnections bool        // fail every request before it is sent
	dropRequest       func(to deck.VMName) bool
	forwardCount      atomic.Int64
}

var control = []deck.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}

func newFakeNetwork() *fakeNetwork {
	n := &fakeNetwork{
		log: decktest.NewFakeLog(), machines: make(map[deck.VMName]*Machine), proposers: make(map[deck.VMName]Proposer),
	}
	for _, p := range control {
		n.machines[p.Name] = New(nil, nil)
		n.proposers[p.Name] = Proposer{Self: p.Name, Log: n.log.AddReplica(p.Name, n.machines[p.Name]), Clock: deck.SystemClock{}}
	}
	return n
}

func (n *fakeNetwork) client(vm deck.VMName) *Client {
	id := 0
	return NewClient(ClientConfig{
		Self: vm, ControlReplicas: control, Forwarder: n, Clock: deck.SystemClock{},
		NewID: func() string { id++; return fmt.Sprint(vm, id) },
	})
}

func (n *fakeNetwork) Forward(ctx context.Context, to deck.Peer, data []byte) ([]byte, error) {
	n.forwardCount.Add(1)
	if n.refuseConnections {
		return nil, &NotProposedError{Cause: errors.New("connection refused")}
	}
	if n.dropRequest != nil && n.dropRequest(to.Name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	result, err := n.proposers[to.Name].Propose(ctx, data)
	if errors.Is(err, decktest.ErrProposalResponseLost) && n.nextLeader != "" {
		n.log.SetLeader(n.nextLeader)
	}
	return result, err
}

func (n *fakeNetwork) TicketStatus(context.Context, deck.Peer, uint64) (TicketStatus, error) {
	return TicketStatus{}, errors.New("not used")
}

// faultSequence returns a function that returns the listed faults in order, then decktest.NoProposalFault.
func faultSequence(list ...decktest.ProposalFault) func() decktest.ProposalFault {
	return func() decktest.ProposalFault {
		if len(list) == 0 {
			return decktest.NoProposalFault
		}
		f := list[0]
		list = list[1:]
		return f
	}
}

// Guards against a wrong answer to a ticket or claim when the leader changes, or when a message is lost, delayed or repeated,
// between proposal and answer.
func TestProposalsUnderFaults(t *testing.T) {
	tests := map[string]func(n *fakeNetwork){
		"no fault":      func(*fakeNetwork) {},
		"proposal lost": func(n *fakeNetwork) { n.log.SetFault(faultSequence(decktest.ProposalLost)) },
		"answer lost":   func(n *fakeNetwork) { n.log.SetFault(faultSequence(decktest.ProposalResponseLost)) },
		"answer lost twice": func(n *fakeNetwork) {
			n.log.SetFault(faultSequence(decktest.ProposalResponseLost, decktest.ProposalResponseLost))
		},
		"committed later": func(n *fakeNetwork) {
			n.log.SetFault(faultSequence(decktest.ProposalDelayed, decktest.ProposalResponseLost))
		},
		"another leader": func(n *fakeNetwork) { n.log.SetLeader("c") },
		"leader is silent": func(n *fakeNetwork) {
			n.dropRequest = func(to deck.VMName) bool { return to == "a" }
			n.log.SetLeader("b")
		},
		"leader changes": func(n *fakeNetwork) { n.log.SetFault(faultSequence(decktest.ProposalResponseLost)); n.nextLeader = "b" },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newFakeNetwork()
				fault(n)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				answer, err := n.client("e").SubmitTicket(ctx, decktest.DeploymentTicket(1, 1, 1))
				is.NoErr(err)
				is.Equal(answer.Verdict, deck.TicketAccepted)
				n.log.CommitDelayed()
				again, err := n.client("f").SubmitTicket(ctx, decktest.DeploymentTicket(1, 1, 1))
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

// Guards against a frozen former leader that delays the first call through each VM until its attempt times out, although
// another replica has been elected.
func TestUnresponsiveLeaderDelaysCallByAQuarterOfTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFakeNetwork()
		e := n.client("e")
		is.Equal(e.Begin(t.Context(), "k1", "d").Status, deck.ClaimGranted) // the client has cached the leader
		n.dropRequest = func(to deck.VMName) bool { return to == "a" }
		n.log.SetLeader("c")
		start := time.Now()
		is.Equal(e.Begin(t.Context(), "k2", "d").Status, deck.ClaimGranted)
		is.True(time.Since(start) <= beginTimeout/4)
	})
}

// Guards against a call that is refused although a replica is elected before the timeout of its begin-call, while another
// replica does not respond.
func TestCallWaitsForElectionWhileReplicaIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFakeNetwork()
		e := n.client("e")
		n.dropRequest = func(to deck.VMName) bool { return to == "a" }
		n.log.SetLeader("")
		var g errgroup.Group
		g.Go(func() error {
			time.Sleep(beginTimeout / 3)
			n.log.SetLeader("b")
			return nil
		})
		is.Equal(e.Begin(t.Context(), "k", "d").Status, deck.ClaimGranted)
		is.NoErr(g.Wait())
	})
}

// Guards against a call that is refused as not run and whose delayed begin-call later blocks the key, and against a release
// that is abandoned too early.
func TestTimedOutClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFakeNetwork()
		e := n.client("e")
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return e.Run(ctx) })
		first := faultSequence(decktest.ProposalDelayed)
		n.log.SetFault(func() decktest.ProposalFault { return max(first(), decktest.ProposalLost) })
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

// Guards against a claim that stays in the log after its begin-call was committed but answered as unavailable.
func TestCommittedClaimOfTimedOutBeginIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFakeNetwork()
		e := n.client("e")
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return e.Run(ctx) })
		n.log.SetFault(func() decktest.ProposalFault { return decktest.ProposalResponseLost })
		is.Equal(e.Begin(ctx, "k", "d").Status, deck.ClaimUnavailable)
		n.log.SetFault(nil)
		time.Sleep(5 * time.Second)
		is.Equal(n.client("f").Begin(ctx, "k", "d").Status, deck.ClaimGranted)
		cancel()
		is.NoErr(g.Wait())
	})
}

// Guards against a needless release of a claim that was never proposed, a begin-call without a leader that exceeds its
// timeout, and a finish-call that is accepted without a claim.
func TestCommandsWithoutLeaderAreNotProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFakeNetwork()
		e := n.client("e")
		start := time.Now()
		n.refuseConnections = true
		is.Equal(e.Begin(t.Context(), "k", "d").Status, deck.ClaimUnavailable)
		is.Equal(time.Since(start), beginTimeout)
		n.refuseConnections = false
		n.log.SetLeader("")
		is.Equal(e.Begin(t.Context(), "k", "d").Status, deck.ClaimUnavailable)
		_, queued := e.nextRelease()
		is.True(!queued)
		is.True(e.Finish(t.Context(), "k", deck.ServiceAnswer{Outcome: deck.OutcomeDone}) != nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := e.SubmitTicket(ctx, decktest.DeploymentTicket(1, 1, 1))
		var notProposed *NotProposedError
		is.True(errors.As(err, &notProposed))
	})
}

// Guards against a rejection by the log that is taken for a command that may be committed, and the reverse.
func TestLogErrorClassification(t *testing.T) {
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
			is.New(t).Equal(provesNotProposed(classifyLogError(err)), want)
		})
	}
}

// Guards against a recorded answer that is truncated, and against a VM that forwards commands to another VM although its own
// replica leads.
func TestLargeAnswerAndLocalReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFakeNetwork()
		local := n.proposers["a"]
		c := NewClient(ClientConfig{Self: "a", Local: &local, ControlReplicas: control, Forwarder: n, Clock: deck.SystemClock{}})
		is.Equal(c.Begin(t.Context(), "k", "d").Status, deck.ClaimGranted)
		large := deck.ServiceAnswer{Outcome: deck.OutcomeDone, Body: make([]byte, MaxRecordedBodyBytes+1)}
		is.NoErr(c.Finish(t.Context(), "k", large))
		is.Equal(c.Begin(t.Context(), "k", "d").Status, deck.ClaimUnknown)
		for range 2 {
			is.NoErr(c.ReportCrash(t.Context(), deck.CrashReport{Digest: "p", Backend: "e", BootID: "boot", Alone: true}))
		}
		is.Equal(len(n.machines["b"].RefusedDigests()), 0)
		is.NoErr(c.ReportCrash(t.Context(), deck.CrashReport{Digest: "p", Backend: "e"}))
		is.Equal(n.machines["b"].RefusedDigests()[0].Digest, "p")
		is.Equal(n.forwardCount.Load(), int64(0))
	})
}
