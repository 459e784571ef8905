package machine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A simCall is one caller's call with the claim that its VM has chosen.
type simCall struct {
	begin    command.BeginCall
	waiting  bool // for the answer to begin-call
	ran      bool
	granted  bool
	since    time.Time // of the first grant
	settled  bool      // released, or its end is applied
	answer   deck.ServiceAnswer
	finished bool // the finish-call with its answer is applied
}

// A callSim drives the machine through a network that loses, repeats, delays and reorders messages.
type callSim struct {
	*twin
	calls    []*simCall
	messages []command.Command
	strict   bool // no record is dropped by retention
}

// begin starts a call; its begin-call is sent once or twice.
func (s *callSim) begin(t *rapid.T) {
	c := &simCall{waiting: true, begin: command.BeginCall{
		Key: fmt.Sprint("k", rapid.IntRange(1, 3).Draw(t, "key")), Digest: fmt.Sprint("d", rapid.IntRange(1, 6).Draw(t, "digest")/6),
		VM: "a", Claim: fmt.Sprint("c", len(s.calls)),
	}}
	s.calls = append(s.calls, c)
	s.send(t, c.begin)
}

func (s *callSim) send(t *rapid.T, c command.Command) {
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		s.messages = append(s.messages, c)
	}
}

// deliver applies a message that is on its way; the answer may be lost.
func (s *callSim) deliver(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	m := s.messages[i]
	s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	r := s.apply(t, m)
	switch m := m.(type) {
	case command.BeginCall:
		s.beginAnswer(t, s.call(m.Claim), r.Claim, rapid.IntRange(0, 3).Draw(t, "lost") > 0)
	case command.FinishCall:
		c := s.call(m.Claim)
		c.settled = true
		c.finished = c.finished || r.Recorded && m.Answer.Outcome == deck.OutcomeDone
	}
}

func (s *callSim) call(claim string) *simCall {
	for _, c := range s.calls {
		if c.begin.Claim == claim {
			return c
		}
	}
	return nil
}

// beginAnswer checks what the machine answered and lets the VM act on it if the answer arrives in time.
func (s *callSim) beginAnswer(t *rapid.T, c *simCall, got deck.Claim, arrives bool) {
	switch got.Status {
	case deck.ClaimGranted:
		s.checkGrant(t, c)
		if c.settled && s.strict {
			t.Fatalf("%+v granted after its end", c.begin)
		}
		if !c.granted {
			c.granted, c.since = true, s.now
		}
	case deck.ClaimFinished:
		s.checkAnswer(t, c, got.Answer)
	case deck.ClaimUnknown, deck.ClaimInProgress:
		s.checkHeld(t, c)
		if got.Status == deck.ClaimInProgress && c.granted && !c.settled && s.now.Sub(c.since) < ClaimTimeout {
			t.Fatalf("%+v does not recognise its own record", c.begin)
		}
	}
	if !arrives || !c.waiting {
		return
	}
	c.waiting = false
	if got.Status == deck.ClaimGranted {
		s.run(t, c)
	}
}

// checkGrant fails if another call of the key runs, or may have run under a record that is not dropped.
func (s *callSim) checkGrant(t *rapid.T, c *simCall) {
	for _, o := range s.calls {
		if o == c || o.begin.Key != c.begin.Key || !o.granted {
			continue
		}
		if !o.settled && s.now.Sub(o.since) < ClaimTimeout {
			t.Fatalf("%+v granted while %+v is in progress", c.begin, o.begin)
		}
		if s.strict && o.ran {
			t.Fatalf("%+v granted although %+v ran", c.begin, o.begin)
		}
	}
}

func (s *callSim) checkAnswer(t *rapid.T, c *simCall, got deck.ServiceAnswer) {
	for _, o := range s.calls {
		if o.begin.Key == c.begin.Key && o.finished && o.begin.Digest == c.begin.Digest && string(o.answer.Body) == string(got.Body) {
			return
		}
	}
	t.Fatalf("%+v got answer %q, which no finished call of the key has", c.begin, got.Body)
}

// checkHeld fails if the machine says that a call may run although no call of the key was ever granted.
func (s *callSim) checkHeld(t *rapid.T, c *simCall) {
	for _, o := range s.calls {
		if o.begin.Key == c.begin.Key && o.granted {
			return
		}
	}
	t.Fatalf("%+v is said to be held, but nothing was granted", c.begin)
}

// run sends the call to the service, which executes it or provably does not.
func (s *callSim) run(t *rapid.T, c *simCall) {
	c.answer = deck.ServiceAnswer{Outcome: deck.OutcomeNotRun}
	if rapid.IntRange(0, 3).Draw(t, "runs") > 0 {
		c.ran = true
		c.answer = deck.ServiceAnswer{Outcome: deck.OutcomeDone, Status: 200, Body: []byte(c.begin.Claim)}
	}
	if rapid.IntRange(0, 4).Draw(t, "dies") > 0 {
		s.send(t, command.FinishCall{Key: c.begin.Key, Claim: c.begin.Claim, Answer: c.answer})
	}
}

// timeOut ends the wait for a begin-call; the VM then releases the claim.
func (s *callSim) timeOut(t *rapid.T) {
	for _, c := range s.calls {
		if c.waiting && rapid.Bool().Draw(t, "times out") {
			c.waiting = false
			s.send(t, command.FinishCall{
				Key: c.begin.Key, Claim: c.begin.Claim, Answer: deck.ServiceAnswer{Outcome: deck.OutcomeNotRun},
			})
		}
	}
}

// Guards against a non-repeatable call that runs twice, a recorded answer that belongs to another call, and a record in
// progress that is dropped.
func TestFuzzCalls(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		s := &callSim{twin: newTwin(), strict: rapid.Bool().Draw(t, "strict")}
		if !s.strict {
			s.a.calls.maxEnded, s.b.calls.maxEnded = 1, 1
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				s.begin(t)
			case 3, 4, 5, 6:
				s.deliver(t)
			case 7:
				s.timeOut(t)
			case 8:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			case 9:
				s.restore(t)
			}
		}
	})
}
