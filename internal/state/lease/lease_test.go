package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A voterGroup is three voters with one exact clock.
type voterGroup struct {
	now    time.Time
	voters []*Voter
}

var voterNames = []deck.VMName{"v0", "v1", "v2"}

// newVoterGroup returns voters that may grant their votes at once.
func newVoterGroup() *voterGroup {
	g := &voterGroup{now: epoch}
	for range voterNames {
		g.voters = append(g.voters, NewVoter(g.now, DefaultDuration))
	}
	g.now = g.now.Add(DefaultDuration)
	return g
}

func (g *voterGroup) newCandidate(vm deck.VMName) *Candidate {
	return NewCandidate("dc", vm, string(vm)+"-1", voterNames, DefaultDuration, DefaultDriftBound)
}

// send sends a request to the given voters and returns their responses.
func (g *voterGroup) send(r Request, voters ...int) []Response {
	var out []Response
	for _, i := range voters {
		out = append(out, g.voters[i].Handle(g.now, g.now, r))
	}
	return out
}

// deliver delivers the responses of the given voters to the candidate.
func (g *voterGroup) deliver(c *Candidate, r Request, responses []Response, voters ...int) {
	for k, i := range voters {
		c.HandleResponse(voterNames[i], r, responses[k])
	}
}

// run sends a request to the given voters and delivers their responses at once.
func (g *voterGroup) run(c *Candidate, r Request, voters ...int) {
	g.deliver(c, r, g.send(r, voters...), voters...)
}

// acquire tries to acquire the lease with the votes of the given voters, and reports whether the lease is held.
func (g *voterGroup) acquire(c *Candidate, voters ...int) bool {
	g.run(c, c.Acquire(g.now), voters...)
	if r, ok := c.Confirm(g.now); ok {
		g.run(c, r, voters...)
	}
	_, held := c.Held(g.now)
	return held
}

func (g *voterGroup) held(c *Candidate) bool {
	_, ok := c.Held(g.now)
	return ok
}

// Guards against two holders at once if an implementation omits one of the lease's rules. Each case is a
// shortest sequence that fails if its rule is omitted.
func TestLeaseRules(t *testing.T) {
	const late = 2900 * time.Millisecond
	tests := map[string]func(is *is.I, g *voterGroup, a, b *Candidate){
		"the lease counts from before the request": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			r, _ := a.Confirm(g.now)
			responses := g.send(r, 0, 1)
			g.now = g.now.Add(late)
			g.deliver(a, r, responses, 0, 1)
			g.now = g.now.Add(DefaultDuration - late)
			is.True(g.acquire(b, 1, 2))
			is.True(!g.held(a))
		},
		"the lease is shortened by the drift bound": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			l, _ := a.Held(g.now)
			is.Equal(l.Expires, g.now.Add(2970*time.Millisecond))
		},
		"answers to earlier rounds do not count": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			r, _ := a.Confirm(g.now)
			responses := g.send(r, 0, 1)
			g.now = g.now.Add(2 * time.Second)
			_, _ = a.Confirm(g.now) // lost
			g.deliver(a, r, responses, 0, 1)
			g.now = g.now.Add(time.Second)
			is.True(g.acquire(b, 1, 2))
			is.True(!g.held(a))
		},
		"a restarted voter waits": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			g.voters[1] = NewVoter(g.now, DefaultDuration)
			is.True(!g.acquire(b, 1, 2))
			is.True(g.held(a))
		},
		"a late release does not end a later lease": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			lost := a.Release(g.now, "")
			is.True(g.acquire(a, 0, 1))
			g.send(lost, 0, 1)
			is.True(!g.acquire(b, 1, 2))
			is.True(g.held(a))
		},
		"a late request does not revive a released lease": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			r, _ := a.Confirm(g.now)
			g.run(a, a.Release(g.now, ""), 0, 1)
			for _, response := range g.send(r, 0, 1) {
				is.True(!response.Granted)
			}
			is.True(g.acquire(b, 1, 2))
		},
		"a successor is preferred": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1, 2))
			l, _ := a.Held(g.now)
			g.run(a, a.Release(g.now, "b"), 0, 1, 2)
			is.True(!g.held(a))
			is.True(!g.acquire(g.newCandidate("c"), 0, 1, 2))
			is.True(g.acquire(b, 0, 1, 2))
			is.Equal(b.PreviousToken(), l.FencingToken)
		},
		"a frozen candidate does not confirm": func(is *is.I, g *voterGroup, a, b *Candidate) {
			g.run(a, a.Acquire(g.now), 0, 1)
			g.now = g.now.Add(DefaultDuration)
			_, ok := a.Confirm(g.now)
			is.True(!ok)
		},
		"an expired lease is not renewed": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			g.now = g.now.Add(DefaultDuration)
			_, ok := a.Confirm(g.now)
			is.True(!ok)
		},
		"a token of another claimant is exceeded, not equalled": func(is *is.I, g *voterGroup, a, b *Candidate) {
			v := g.voters[0]
			v.Handle(g.now, g.now, Request{Claimant: Claimant{VM: "a"}, Action: ActConfirm, Token: 1 << 50})
			g.now = g.now.Add(DefaultDuration)
			equal := v.Handle(g.now, g.now, Request{Claimant: Claimant{VM: "b"}, Action: ActConfirm, Token: 1 << 50})
			is.True(!equal.Granted)
			next := v.Handle(g.now, g.now, Request{Claimant: Claimant{VM: "b"}, Action: ActAcquire})
			is.Equal(next.Token, uint64(1<<50+1))
		},
		"a token seen at an engine is exceeded": func(is *is.I, g *voterGroup, a, b *Candidate) {
			is.True(g.acquire(a, 0, 1))
			a.RaiseTokenAbove(1 << 50)
			r, _ := a.Confirm(g.now)
			g.run(a, r, 0, 1)
			l, _ := a.Held(g.now)
			is.Equal(l.FencingToken, uint64(1<<50+1))
			g.now = g.now.Add(DefaultDuration)
			is.True(g.acquire(b, 1, 2))
			next, _ := b.Held(g.now)
			is.Equal(next.FencingToken, uint64(1<<50+2))
		},
		"the token is recorded before it is used": func(is *is.I, g *voterGroup, a, b *Candidate) {
			g.voters[0].highestToken = 1 << 50
			is.True(g.acquire(a, 0, 1))
			g.now = g.now.Add(DefaultDuration)
			is.True(g.acquire(b, 1, 2))
			next, _ := b.Held(g.now)
			is.Equal(next.FencingToken, uint64(1<<50+2))
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			g := newVoterGroup()
			run(is.New(t), g, g.newCandidate("a"), g.newCandidate("b"))
		})
	}
}

// Guards against a data centre of two VMs that cannot acquire its lease after the loss of one, because it has no witness.
func TestSelectVoters(t *testing.T) {
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
