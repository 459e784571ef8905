package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A node is a simulated VM with a voter, a candidate and its own clocks.
type node struct {
	name      deck.VMName
	voter     *Voter
	candidate *Candidate
	offset    time.Duration // offset of the monotonic clock
	rate      float64       // rate of the monotonic clock; rates differ by less than 1%
	skew      time.Duration // offset of the wall clock; differences between nodes stay below the lease duration
	restarts  int
}

// A message is a request in transit to a voter, or a response in transit back to the candidate.
type message struct {
	voter, candidate int
	instance         string // process instance of the candidate
	request          Request
	response         *Response // nil if the message is a request
}

// A sim is a simulation of voters and candidates that exchange messages over an unreliable network.
type sim struct {
	now      time.Duration // true time, which all clocks are derived from
	nodes    []*node
	messages []message           // in transit
	tokens   map[Claimant]uint64 // highest fencing token that a claimant held the lease with
	held     int                 // number of checks that found a holder
}

var epoch = time.Unix(1_000_000, 0)

func newSim(t *rapid.T) *sim {
	s := &sim{tokens: make(map[Claimant]uint64)}
	// One clock runs slow and the others fast, or one runs fast and the others slow, or all are exact.
	odd, drift := rapid.IntRange(0, 2).Draw(t, "odd clock"), rapid.SampledFrom([]float64{0, -0.0048, 0.0048}).Draw(t, "drift")
	for i := range rapid.IntRange(3, 4).Draw(t, "voters") {
		n := &node{
			name: deck.VMName(fmt.Sprint("vm", i)), offset: time.Duration(i) * time.Hour,
			rate: 1 - drift,
			skew: rapid.SampledFrom([]time.Duration{0, -1400, 1400}).Draw(t, "skew") * time.Millisecond,
		}
		if i == odd {
			n.rate = 1 + drift
		}
		s.nodes = append(s.nodes, n)
	}
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

// localTime returns the monotonic time of a node.
func (s *sim) localTime(n *node) time.Time {
	return epoch.Add(n.offset + time.Duration(float64(s.now)*n.rate))
}

// restart replaces the process of a VM; the voter and the candidate lose their state.
func (s *sim) restart(i int) {
	n := s.nodes[i]
	n.restarts++
	n.voter = NewVoter(s.localTime(n), DefaultDuration)
	var names []deck.VMName
	for _, o := range s.nodes {
		names = append(names, o.name)
	}
	n.candidate = NewCandidate("dc", n.name, fmt.Sprint(n.name, "-", n.restarts), names, DefaultDuration, DefaultDriftBound)
}

// sendNext sends the next request of a VM: a confirmation if it has one, otherwise an acquisition.
func (s *sim) sendNext(t *rapid.T, i int) {
	n := s.nodes[i]
	now := s.localTime(n)
	if _, held := n.candidate.Held(now); held && rapid.IntRange(0, 3).Draw(t, "engine") == 0 {
		n.candidate.RaiseTokenAbove(n.candidate.token + uint64(rapid.IntRange(0, 2).Draw(t, "ahead")))
	}
	r, ok := n.candidate.Confirm(now)
	if !ok {
		r = n.candidate.Acquire(now)
	}
	s.send(i, r)
}

func (s *sim) release(t *rapid.T, i int) {
	n := s.nodes[i]
	successor := rapid.SampledFrom([]deck.VMName{"", "vm0", "vm1"}).Draw(t, "successor")
	s.send(i, n.candidate.Release(s.localTime(n), successor))
}

func (s *sim) send(i int, r Request) {
	for v := range s.nodes {
		s.messages = append(s.messages, message{voter: v, candidate: i, instance: r.Claimant.Instance, request: r})
	}
}

// deliver delivers one message; a duplicate of it may stay in transit.
func (s *sim) deliver(t *rapid.T, k int) {
	m := s.messages[k]
	if rapid.IntRange(0, 19).Draw(t, "repeated") > 0 {
		s.messages = append(s.messages[:k:k], s.messages[k+1:]...)
	}
	if m.response != nil {
		if c := s.nodes[m.candidate].candidate; c.claimant.Instance == m.instance {
			c.HandleResponse(s.nodes[m.voter].name, m.request, *m.response)
		}
		return
	}
	n := s.nodes[m.voter]
	m.response = new(Response)
	*m.response = n.voter.Handle(s.localTime(n), epoch.Add(s.now+n.skew), m.request)
	s.messages = append(s.messages, m)
}

// check fails the test if two VMs hold the lease at once, or if a holder's token is not above those of all earlier holders.
func (s *sim) check(t *rapid.T) {
	holders := 0
	for _, n := range s.nodes {
		l, held := n.candidate.Held(s.localTime(n))
		if !held {
			continue
		}
		holders++
		s.held++
		for c, token := range s.tokens {
			if c != n.candidate.claimant && token >= l.FencingToken {
				t.Fatalf("token %d of %+v is not above %d of %+v", l.FencingToken, n.candidate.claimant, token, c)
			}
		}
		s.tokens[n.candidate.claimant] = max(s.tokens[n.candidate.claimant], l.FencingToken)
	}
	if holders > 1 {
		t.Fatalf("%d VMs hold the lease at %s", holders, s.now)
	}
}

// step performs one random event.
func (s *sim) step(t *rapid.T) {
	who := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "vm")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0:
		s.now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
	case 1, 2:
		s.sendNext(t, who)
	case 3, 4:
		s.release(t, who)
	case 5, 6:
		s.restart(who)
	case 7:
		if len(s.messages) > 0 {
			s.messages = s.messages[rapid.IntRange(0, len(s.messages)).Draw(t, "lost"):]
		}
	case 8, 9:
		if len(s.messages) > 0 {
			s.deliver(t, rapid.IntRange(0, len(s.messages)-1).Draw(t, "message"))
		}
	case 10, 11:
		s.takeover(t, who)
	default:
		s.exchange(t, who)
	}
}

// takeover lets a VM acquire or renew with responses that may be late, and lets another VM acquire about one lease
// duration later.
func (s *sim) takeover(t *rapid.T, who int) {
	s.exchange(t, who)
	least := rapid.SampledFrom([]int{1, 2980}).Draw(t, "least ms")
	s.now += time.Duration(rapid.IntRange(least, 3020).Draw(t, "lease ms")) * time.Millisecond
	s.check(t)
	s.exchange(t, (who+1)%len(s.nodes))
}

// exchange lets a VM acquire and confirm, or renew twice, with at most one unreachable voter. Requests arrive at once,
// responses possibly late.
func (s *sim) exchange(t *rapid.T, who int) {
	cut := rapid.IntRange(-1, len(s.nodes)-1).Draw(t, "cut")
	for range 2 {
		first := len(s.messages)
		s.sendNext(t, who)
		s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
			return m.voter == cut && m.candidate == who && m.response == nil
		})
		s.deliverFrom(t, first)
		if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			s.now += time.Duration(rapid.IntRange(1, 2900).Draw(t, "late ms")) * time.Millisecond
		}
		if rapid.IntRange(0, 9).Draw(t, "stays") > 0 {
			s.deliverFrom(t, first)
		}
		s.check(t)
	}
}

// deliverFrom delivers each message in transit from the given index on once.
func (s *sim) deliverFrom(t *rapid.T, first int) {
	for range len(s.messages) - first {
		s.deliver(t, first)
	}
}

// Guards against two holders at once and fencing tokens that do not increase, with lost, late, duplicated and reordered
// messages, restarted voters, frozen holders, drifting monotonic clocks and skewed wall clocks.
func TestFuzzLease(t *testing.T) {
	held := 0
	decktest.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			s.step(t)
			s.check(t)
		}
		held += s.held
	})
	if held == 0 {
		t.Error("no simulation acquired the lease")
	}
	t.Logf("%d checks found a holder", held)
}
