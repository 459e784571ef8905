package attempt

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// simulatedAttempt is the engine's side of one attempt of a Lifecycle.
type simulatedAttempt struct {
	spec      Spec
	abandoned bool
	sent      bool
	accepted  bool
	ended     bool
	cursor    int
}

// simulation drives a Lifecycle with the events of its attempts, in any order, and checks what the caller receives.
type simulation struct {
	t          *rapid.T
	lifecycle  Lifecycle
	now        time.Time
	length     int // tokens of the answer
	attempts   map[int]*simulatedAttempt
	delivered  []string
	result     *Result
	mayHaveRun bool // an engine accepted an attempt, or may have done so
	crashes    int
	reported   int
}

func tokenText(offset int) string { return fmt.Sprintf("t%d", offset) }

func (s *simulation) step(e Event) {
	s.now = s.now.Add(time.Millisecond)
	e.At = s.now
	for _, a := range s.lifecycle.Step(e) {
		if s.result != nil {
			s.t.Fatalf("action %v after the request ended", a.Kind)
		}
		s.act(a)
	}
	live := 0
	for _, a := range s.attempts {
		if !a.abandoned && !a.ended {
			live++
		}
	}
	if live > 2 || s.result == nil && live == 0 {
		s.t.Fatalf("%d active attempts of a running request", live)
	}
	if live > 1 && len(s.delivered) > 0 {
		s.t.Fatalf("the losing attempt of a hedge continues after the first token")
	}
}

func (s *simulation) act(a Action) {
	switch a.Kind {
	case ActStart:
		if a.Spec.Offset != len(s.delivered) {
			s.t.Fatalf("attempt opened at offset %d after %d tokens", a.Spec.Offset, len(s.delivered))
		}
		s.attempts[a.Attempt] = &simulatedAttempt{spec: a.Spec, cursor: a.Spec.Offset}
	case ActDeliver:
		if want := tokenText(len(s.delivered)); string(a.Token.Data) != want || a.Token.Offset != len(s.delivered) {
			s.t.Fatalf("delivered %d %q, want %q", a.Token.Offset, a.Token.Data, want)
		}
		s.delivered = append(s.delivered, string(a.Token.Data))
	case ActCancel, ActRelease:
		s.attempts[a.Attempt].abandoned = true
	case ActReportCrash:
		s.reported++
	case ActFinish:
		s.finish(a.Result)
	}
}

func (s *simulation) finish(r Result) {
	s.result = &r
	if r.Kind == Completed && len(s.delivered) != s.length {
		s.t.Fatalf("done after %d of %d tokens", len(s.delivered), s.length)
	}
	if r.NotRun && s.mayHaveRun {
		s.t.Fatalf("the result claims that a request which may have run did not run")
	}
	if r.Tokens != len(s.delivered) {
		s.t.Fatalf("result has %d tokens, %d were delivered", r.Tokens, len(s.delivered))
	}
}

// pick returns an attempt that can still send something, abandoned or not.
func (s *simulation) pick() (int, *simulatedAttempt) {
	var numbers []int
	for n := range len(s.attempts) {
		if !s.attempts[n+1].ended {
			numbers = append(numbers, n+1)
		}
	}
	// An attempt that is abandoned before it is sent produces no events; task.send checks that.
	numbers = slices.DeleteFunc(numbers, func(n int) bool { return s.attempts[n].abandoned && !s.attempts[n].sent })
	if len(numbers) == 0 {
		s.t.Skip("no attempt left")
	}
	n := rapid.SampledFrom(numbers).Draw(s.t, "attempt")
	return n, s.attempts[n]
}

// running returns an attempt that was sent to an engine, and sends it if necessary.
func (s *simulation) running() (int, *simulatedAttempt) {
	n, a := s.pick()
	if !a.sent {
		a.sent = true
		backend := deck.BackendName(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(s.t, "backend"))
		s.step(Event{Kind: EventSending, Attempt: n, Backend: backend})
	}
	return n, a
}

// accepted returns an attempt that an engine accepted, and makes the engine accept it if necessary.
func (s *simulation) accepted() (int, *simulatedAttempt) {
	n, a := s.running()
	if !a.accepted {
		a.accepted = true
		s.mayHaveRun = true
		s.step(Event{Kind: EventAccepted, Attempt: n, BootID: "b1"})
	}
	return n, a
}

// token sends a token; that of an abandoned attempt would corrupt the answer if it were delivered.
func (s *simulation) token(n int, a *simulatedAttempt, offset int) {
	data := tokenText(offset)
	if a.abandoned {
		data = "late"
	}
	s.step(Event{Kind: EventToken, Attempt: n, Token: deck.Token{Offset: offset, Data: []byte(data)}})
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"next": func(*rapid.T) {
			n, a := s.accepted()
			if a.cursor < s.length {
				s.token(n, a, a.cursor)
				a.cursor++
			}
		},
		"repeat": func(t *rapid.T) {
			n, a := s.accepted()
			if a.cursor > 0 {
				s.token(n, a, rapid.IntRange(0, a.cursor-1).Draw(t, "repeated"))
			}
		},
		"swap": func(*rapid.T) {
			n, a := s.accepted()
			if a.cursor+1 < s.length {
				s.token(n, a, a.cursor+1)
				s.token(n, a, a.cursor)
				a.cursor += 2
			}
		},
		"skip": func(*rapid.T) {
			n, a := s.accepted()
			a.cursor = min(a.cursor+1, s.length)
			_ = n
		},
		"end": func(*rapid.T) {
			n, a := s.accepted()
			if a.cursor == s.length {
				a.ended = true
				s.step(Event{Kind: EventToken, Attempt: n, Token: deck.Token{Offset: s.length, Last: true}})
			}
		},
		"late end": func(t *rapid.T) {
			n, a := s.accepted()
			if a.abandoned {
				last := deck.Token{Offset: len(s.delivered), Last: true}
				s.step(Event{Kind: EventToken, Attempt: n, Token: last})
			}
		},
		"break": func(t *rapid.T) {
			n, a := s.running()
			kind := deck.EngineErrorKind(rapid.IntRange(0, int(deck.EngineRejected)).Draw(t, "kind"))
			s.mayHaveRun = s.mayHaveRun || !provenNotRun(kind)
			a.ended = true
			if kind == deck.EngineCrashed && !a.abandoned {
				s.crashes++
			}
			s.step(Event{Kind: EventFailed, Attempt: n, Err: &deck.EngineError{Kind: kind, Err: errOffset}})
		},
		"none": func(*rapid.T) {
			n, a := s.pick()
			if !a.sent {
				a.ended = true
				s.step(Event{Kind: EventUnavailable, Attempt: n, Refusal: &deck.Refusal{Kind: deck.RefusedNoBackend}})
			}
		},
		"hedge":   func(*rapid.T) { s.step(Event{Kind: EventHedgeDue}) },
		"preempt": func(*rapid.T) { s.step(Event{Kind: EventPreempted}) },
		"": func(t *rapid.T) {
			if s.reported > s.crashes {
				t.Fatalf("%d crashes reported, %d happened", s.reported, s.crashes)
			}
		},
	}
}

// TestLifecycleFuzz guards against an order of tokens, failures, hedges, preemptions and late data in which the caller receives
// anything but its own answer exactly once, or a result that falsely claims that the request did not run.
func TestLifecycleFuzz(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, length: rapid.IntRange(0, 8).Draw(t, "length"), attempts: make(map[int]*simulatedAttempt)}
		s.step(Event{Kind: EventAdmitted})
		t.Repeat(s.actions())
		s.step(Event{Kind: EventDisconnected})
		if s.result == nil {
			t.Fatalf("the request continues after its caller disconnected")
		}
	})
}

// TestRecoveryAfterFailure guards against a wrong reaction to each kind of failure: its observations, the reconnection, the
// charge to the retry budget and the crash report.
func TestRecoveryAfterFailure(t *testing.T) {
	for _, tc := range []struct {
		kind         deck.EngineErrorKind
		observations string
		reconnect    bool   // the next attempt is a new connection to the same server
		second       string // observations after a failure of that connection too
		charged      bool   // the next attempt on another server uses the retry budget
		crash        bool
	}{
		{deck.EngineFailed, "[failure]", false, "", true, false},
		{deck.EngineUnreachable, "[failure]", false, "", false, false},
		{deck.EngineStalled, "[stall]", true, "[stall cancel]", true, false},
		{deck.EngineConnClosed, "[]", true, "[failure]", true, false},
		{deck.EngineCrashed, "[crash]", false, "", true, true},
		{deck.EngineDraining, "[draining]", false, "", false, false},
	} {
		t.Run(tc.kind.String(), func(t *testing.T) {
			is := is.New(t)
			var l Lifecycle
			l.Step(Event{Kind: EventAdmitted})
			l.Step(Event{Kind: EventSending, Attempt: 1, Backend: "e1"})
			failure := &deck.EngineError{Kind: tc.kind, Err: errOffset}
			acts := l.Step(Event{Kind: EventFailed, Attempt: 1, Err: failure})
			is.Equal(observations(acts), tc.observations)
			is.Equal(findAction(acts, ActReportCrash).Kind == ActReportCrash, tc.crash)
			if tc.reconnect {
				is.Equal(findAction(acts, ActStart).Spec.Reconnect, deck.BackendName("e1"))
				is.True(!findAction(acts, ActStart).Spec.Charge)
				l.Step(Event{Kind: EventSending, Attempt: 2, Backend: "e1"})
				acts = l.Step(Event{Kind: EventFailed, Attempt: 2, Err: failure})
				is.Equal(observations(acts), tc.second)
			}
			is.Equal(findAction(acts, ActStart).Spec.Avoid, []deck.BackendName{"e1"})
			is.Equal(findAction(acts, ActStart).Spec.Charge, tc.charged)
			is.Equal(findAction(acts, ActStart).Spec.Reconnect, deck.BackendName(""))
		})
	}
}

// observations returns the names of the observations among the actions.
func observations(acts []Action) string {
	names := map[deck.ObservationKind]string{
		deck.ObservedStall: "stall", deck.ObservedCancel: "cancel", deck.ObservedFailure: "failure",
		deck.ObservedCrash: "crash", deck.ObservedDraining: "draining",
	}
	out := []string{}
	for _, a := range acts {
		if a.Kind == ActObserve {
			out = append(out, names[a.Observe])
		}
	}
	return fmt.Sprint(out)
}

// TestRestartDetectedOnReconnect guards against a crash that goes undetected because the connection stalled and was not reset:
// the boot ID has changed after the reconnection.
func TestRestartDetectedOnReconnect(t *testing.T) {
	is := is.New(t)
	var l Lifecycle
	l.Step(Event{Kind: EventAdmitted})
	l.Step(Event{Kind: EventSending, Attempt: 1, Backend: "e1"})
	l.Step(Event{Kind: EventAccepted, Attempt: 1, BootID: "b1"})
	l.Step(Event{Kind: EventFailed, Attempt: 1, Err: &deck.EngineError{Kind: deck.EngineStalled, Err: errOffset}})
	l.Step(Event{Kind: EventSending, Attempt: 2, Backend: "e1"})
	acts := l.Step(Event{Kind: EventAccepted, Attempt: 2, BootID: "b2"})
	is.Equal(findAction(acts, ActReportCrash), Action{Kind: ActReportCrash, Attempt: 2, Backend: "e1", BootID: "b1"})
}

// findAction returns the first action of a kind, or an empty ActFinish.
func findAction(acts []Action, kind ActionKind) Action {
	for _, a := range acts {
		if a.Kind == kind {
			return a
		}
	}
	return Action{Kind: ActFinish}
}
