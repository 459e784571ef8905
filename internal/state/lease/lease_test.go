package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A voterGroup is three voters and their times by one exact clock.
type voterGroup struct {
	now    time.Time
	voters []*Voter
}

var voterNames = []deck.VMName{"v0", "v1", "v2"}

func newVoterGroup() *voterGroup {
	e := &voterGroup{now: epoch}
	for range voterNames {
		e.voters = append(e.voters, NewVoter(e.now, Duration))
	}
	e.now = e.now.Add(Duration)
	return e
}

func (e *voterGroup) newCandidate(vm deck.VMName) *Holder {
	return NewHolder("dc", vm, string(vm)+"-1", voterNames, Duration, DefaultDriftBound)
}

// send sends a request to the given voters and returns their answers.
func (e *voterGroup) send(r Request, voters ...int) []Response {
	var out []Response
	for _, i := range voters {
		out = append(out, e.voters[i].Handle(e.now, e.now, r))
	}
	return out
}

func (e *voterGroup) deliver(h *Holder, r Request, responses []Response, voters ...int) {
	for k, i := range voters {
		h.HandleResponse(voterNames[i], r, responses[k])
	}
}

// exchange sends a request and takes the answers at once.
func (e *voterGroup) exchange(h *Holder, r Request, voters ...int) {
	e.deliver(h, r, e.send(r, voters...), voters...)
}

// acquire takes the lease with the votes of the given voters, if they grant it.
func (e *voterGroup) acquire(h *Holder, voters ...int) bool {
	e.exchange(h, h.Acquire(e.now), voters...)
	if r, ok := h.Confirm(e.now); ok {
		e.exchange(h, r, voters...)
	}
	_, held := h.Held(e.now)
	return held
}

func (e *voterGroup) held(h *Holder) bool {
	_, ok := h.Held(e.now)
	return ok
}

// Guards against two holders where one of the lease's rules is left out; each case is the shortest way that was found to
// break it.
func TestLeaseRules(t *testing.T) {
	const late = 2900 * time.Millisecond
	tests := map[string]func(is *is.I, e *voterGroup, a, b *Holder){
		"the lease counts from before the request": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			r, _ := a.Confirm(e.now)
			answers := e.send(r, 0, 1)
			e.now = e.now.Add(late)
			e.deliver(a, r, answers, 0, 1)
			e.now = e.now.Add(Duration - late)
			is.True(e.acquire(b, 1, 2))
			is.True(!e.held(a))
		},
		"the lease is shortened by the drift bound": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			l, _ := a.Held(e.now)
			is.Equal(l.Expires, e.now.Add(2970*time.Millisecond))
		},
		"answers to earlier rounds do not count": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			r, _ := a.Confirm(e.now)
			answers := e.send(r, 0, 1)
			e.now = e.now.Add(2 * time.Second)
			_, _ = a.Confirm(e.now) // lost
			e.deliver(a, r, answers, 0, 1)
			e.now = e.now.Add(time.Second)
			is.True(e.acquire(b, 1, 2))
			is.True(!e.held(a))
		},
		"a restarted voter waits": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			e.voters[1] = NewVoter(e.now, Duration)
			is.True(!e.acquire(b, 1, 2))
			is.True(e.held(a))
		},
		"a late release does not end a later lease": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			lost := a.Release(e.now, "")
			is.True(e.acquire(a, 0, 1))
			e.send(lost, 0, 1)
			is.True(!e.acquire(b, 1, 2))
			is.True(e.held(a))
		},
		"a late request does not revive a released lease": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			r, _ := a.Confirm(e.now)
			e.exchange(a, a.Release(e.now, ""), 0, 1)
			for _, response := range e.send(r, 0, 1) {
				is.True(!response.Granted)
			}
			is.True(e.acquire(b, 1, 2))
		},
		"a successor is preferred": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1, 2))
			l, _ := a.Held(e.now)
			e.exchange(a, a.Release(e.now, "b"), 0, 1, 2)
			is.True(!e.held(a))
			is.True(!e.acquire(e.newCandidate("c"), 0, 1, 2))
			is.True(e.acquire(b, 0, 1, 2))
			is.Equal(b.PreviousToken(), l.FencingToken)
		},
		"a frozen candidate does not confirm": func(is *is.I, e *voterGroup, a, b *Holder) {
			e.exchange(a, a.Acquire(e.now), 0, 1)
			e.now = e.now.Add(Duration)
			_, ok := a.Confirm(e.now)
			is.True(!ok)
		},
		"an expired lease is not renewed": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			e.now = e.now.Add(Duration)
			_, ok := a.Confirm(e.now)
			is.True(!ok)
		},
		"a token of another claimant is exceeded, not equalled": func(is *is.I, e *voterGroup, a, b *Holder) {
			v := e.voters[0]
			v.Handle(e.now, e.now, Request{Claimant: Claimant{VM: "a"}, Action: ActConfirm, Token: 1 << 50})
			e.now = e.now.Add(Duration)
			equal := v.Handle(e.now, e.now, Request{Claimant: Claimant{VM: "b"}, Action: ActConfirm, Token: 1 << 50})
			is.True(!equal.Granted)
			next := v.Handle(e.now, e.now, Request{Claimant: Claimant{VM: "b"}, Action: ActAcquire})
			is.Equal(next.Token, uint64(1<<50+1))
		},
		"a token seen at an engine is exceeded": func(is *is.I, e *voterGroup, a, b *Holder) {
			is.True(e.acquire(a, 0, 1))
			a.RaiseTokenAbove(1 << 50)
			r, _ := a.Confirm(e.now)
			e.exchange(a, r, 0, 1)
			l, _ := a.Held(e.now)
			is.Equal(l.FencingToken, uint64(1<<50+1))
			e.now = e.now.Add(Duration)
			is.True(e.acquire(b, 1, 2))
			next, _ := b.Held(e.now)
			is.Equal(next.FencingToken, uint64(1<<50+2))
		},
		"the token is recorded before it is used": func(is *is.I, e *voterGroup, a, b *Holder) {
			e.voters[0].highestToken = 1 << 50
			is.True(e.acquire(a, 0, 1))
			e.now = e.now.Add(Duration)
			is.True(e.acquire(b, 1, 2))
			next, _ := b.Held(e.now)
			is.Equal(next.FencingToken, uint64(1<<50+2))
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			e := newVoterGroup()
			run(is.New(t), e, e.newCandidate("a"), e.newCandidate("b"))
		})
	}
}

// Guards against a data centre of two VMs that loses its lease with one of them.
func TestElectorate(t *testing.T) {
	is := is.New(t)
	peers := []deck.Peer{
		{Name: "a", DataCentre: "x", Region: "r"}, {Name: "b", DataCentre: "x", Region: "r"},
		{Name: "c", DataCentre: "y", Region: "s"}, {Name: "d", DataCentre: "z", Region: "r"},
		{Name: "e", DataCentre: "y", Region: "s"}, {Name: "f", DataCentre: "y", Region: "s"},
	}
	names := func(dc deck.DataCentre) (out []deck.VMName) {
		for _, p := range SelectVoters(dc, peers) {
			out = append(out, p.Name)
		}
		return out
	}
	is.Equal(names("x"), []deck.VMName{"a", "b", "d"})
	is.Equal(names("y"), []deck.VMName{"c", "e", "f"})
	is.Equal(names("z"), []deck.VMName{"d"})
}
