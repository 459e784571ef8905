package statemachine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A simulatedCall is one caller's call with the claim ID of its VM.
type simulatedCall struct {
	begin         command.BeginCall
	awaitingBegin bool // its VM waits for the result of the begin-call
	executed      bool
	granted       bool
	grantedAt     time.Time // of the first grant
	ended         bool      // a finish-call or release of it was applied
	answer        deck.ServiceAnswer
	finished      bool // a finish-call with its answer was applied
}

// A callSimulation applies commands to a machine through a network that drops, repeats, delays and reorders messages.
type callSimulation struct {
	*replicaPair
	calls            []*simulatedCall
	messages         []command.Command
	unlimitedRecords bool // maxEnded is not lowered to 1, so that no record is dropped
}

// begin starts a call; its begin-call is sent once or twice.
func (s *callSimulation) begin(t *rapid.T) {
	c := &simulatedCall{awaitingBegin: true, begin: command.BeginCall{
		Key: fmt.Sprint("k", rapid.IntRange(1, 3).Draw(t, "key")), Digest: fmt.Sprint("d", rapid.IntRange(1, 6).Draw(t, "digest")/6),
		VM: "a", ClaimID: fmt.Sprint("c", len(s.calls)),
	}}
	s.calls = append(s.calls, c)
	s.send(t, c.begin)
}

func (s *callSimulation) send(t *rapid.T, c command.Command) {
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		s.messages = append(s.messages, c)
	}
}

// deliver applies one of the messages in flight; its response may be lost.
func (s *callSimulation) deliver(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	m := s.messages[i]
	s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	r := s.apply(t, m)
	switch m := m.(type) {
	case command.BeginCall:
		s.receiveBeginResult(t, s.callByClaim(m.ClaimID), r.Claim, rapid.IntRange(0, 3).Draw(t, "lost") > 0)
	case command.FinishCall:
		c := s.callByClaim(m.ClaimID)
		c.ended = true
		c.finished = c.finished || r.Recorded && m.Answer.Outcome == deck.OutcomeDone
	}
}

func (s *callSimulation) callByClaim(claim string) *simulatedCall {
	for _, c := range s.calls {
		if c.begin.ClaimID == claim {
			return c
		}
	}
	return nil
}

// receiveBeginResult checks the machine's result and, if it reaches the VM in time, executes a granted call.
func (s *callSimulation) receiveBeginResult(t *rapid.T, c *simulatedCall, got deck.Claim, arrives bool) {
	switch got.Status {
	case deck.ClaimGranted:
		s.checkGrant(t, c)
		if c.ended && s.unlimitedRecords {
			t.Fatalf("%+v granted after its end", c.begin)
		}
		if !c.granted {
			c.granted, c.grantedAt = true, s.now
		}
	case deck.ClaimFinished:
		s.checkAnswer(t, c, got.Answer)
	case deck.ClaimUnknown, deck.ClaimInProgress:
		s.checkGrantedBefore(t, c)
		if got.Status == deck.ClaimInProgress && c.granted && !c.ended && s.now.Sub(c.grantedAt) < ClaimTimeout {
			t.Fatalf("%+v does not recognise its own record", c.begin)
		}
	}
	if !arrives || !c.awaitingBegin {
		return
	}
	c.awaitingBegin = false
	if got.Status == deck.ClaimGranted {
		s.execute(t, c)
	}
}

// checkGrant fails if another call of the key is in progress, or has run and its record is retained.
func (s *callSimulation) checkGrant(t *rapid.T, c *simulatedCall) {
	for _, o := range s.calls {
		if o == c || o.begin.Key != c.begin.Key || !o.granted {
			continue
		}
		if !o.ended && s.now.Sub(o.grantedAt) < ClaimTimeout {
			t.Fatalf("%+v granted while %+v is in progress", c.begin, o.begin)
		}
		if s.unlimitedRecords && o.executed {
			t.Fatalf("%+v granted although %+v ran", c.begin, o.begin)
		}
	}
}

func (s *callSimulation) checkAnswer(t *rapid.T, c *simulatedCall, got deck.ServiceAnswer) {
	for _, o := range s.calls {
		if o.begin.Key == c.begin.Key && o.finished && o.begin.Digest == c.begin.Digest && string(o.answer.Body) == string(got.Body) {
			return
		}
	}
	t.Fatalf("%+v got answer %q, which no finished call of the key has", c.begin, got.Body)
}

// checkGrantedBefore fails if the machine reports a call as in progress or unknown although no call of the key was granted.
func (s *callSimulation) checkGrantedBefore(t *rapid.T, c *simulatedCall) {
	for _, o := range s.calls {
		if o.begin.Key == c.begin.Key && o.granted {
			return
		}
	}
	t.Fatalf("%+v is reported as held although no call of the key was granted", c.begin)
}

// execute sends the call to the service, which runs it or provably does not. The VM may crash before its finish-call.
func (s *callSimulation) execute(t *rapid.T, c *simulatedCall) {
	c.answer = deck.ServiceAnswer{Outcome: deck.OutcomeNotRun}
	if rapid.IntRange(0, 3).Draw(t, "runs") > 0 {
		c.executed = true
		c.answer = deck.ServiceAnswer{Outcome: deck.OutcomeDone, Status: 200, Body: []byte(c.begin.ClaimID)}
	}
	if rapid.IntRange(0, 4).Draw(t, "crash") > 0 {
		s.send(t, command.FinishCall{Key: c.begin.Key, ClaimID: c.begin.ClaimID, Answer: c.answer})
	}
}

// timeOutBegins lets waiting begin-calls time out at random; the VM then releases the claim.
func (s *callSimulation) timeOutBegins(t *rapid.T) {
	for _, c := range s.calls {
		if c.awaitingBegin && rapid.Bool().Draw(t, "times out") {
			c.awaitingBegin = false
			s.send(t, command.FinishCall{
				Key: c.begin.Key, ClaimID: c.begin.ClaimID, Answer: deck.ServiceAnswer{Outcome: deck.OutcomeNotRun},
			})
		}
	}
}

// Guards against a non-repeatable call that runs twice, a recorded answer that is returned for another call, and a record in
// progress that is dropped.
func TestFuzzCalls(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		s := &callSimulation{replicaPair: newReplicaPair(), unlimitedRecords: rapid.Bool().Draw(t, "unlimited records")}
		if !s.unlimitedRecords {
			s.original.calls.maxEnded, s.restored.calls.maxEnded = 1, 1
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				s.begin(t)
			case 3, 4, 5, 6:
				s.deliver(t)
			case 7:
				s.timeOutBegins(t)
			case 8:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			case 9:
				s.restoreFromSnapshot(t)
			}
		}
	})
}
