package attempt

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// TestSoftwarePinned guards against an answer with tokens of two software versions, against a second version that is blamed for
// failures, and against an answer that is given up although an engine of its version serves.
func TestSoftwarePinned(t *testing.T) {
	type plan = []decktest.AttemptBehaviour
	type software = []deck.SoftwareVersion
	fails := decktest.AttemptBehaviour{Failure: "failed", TokensBeforeFailure: 2}
	restarts := decktest.AttemptBehaviour{Failure: "crash-engine", TokensBeforeFailure: 2}
	slow := decktest.AttemptBehaviour{FirstTokenDelay: 5 * time.Second}
	gone := slices.Repeat(plan{{Failure: "unreachable"}}, 100)
	for _, tc := range []struct {
		name     string
		software []software // by engine
		plans    []plan     // by engine
		preempt  time.Duration
		result   ResultKind
		version  string // of all tokens
	}{
		{"engine fails", []software{{"v1"}, {"v2"}, {"v1"}}, []plan{{fails}, nil, nil}, 0, Completed, "v1"},
		{"unnamed version", []software{{}, {"v2"}, {}}, []plan{{fails}, nil, nil}, 0, Completed, ""},
		{"only another version left", []software{{"v1"}, {"v2"}}, []plan{slices.Concat(plan{fails}, gone), nil}, 0, Failed, "v1"},
		{"engine restarts with other software", []software{{"v1", "v2"}, {"v1"}}, []plan{{restarts}, nil}, 0, Completed, "v1"},
		{"engine alone restarts with other software", []software{{"v1", "v2"}}, []plan{{restarts}}, 0, Failed, "v1"},
		{"hedge brings the first token", []software{{"v1"}, {"v2"}, {"v2"}}, []plan{{slow}, {fails}, nil}, 0, Completed, "v2"},
		{
			"preempted", []software{{"v1"}, {"v2"}, {"v1"}},
			[]plan{{{}, {Failure: "draining"}}, nil, nil}, 3 * time.Millisecond, Completed, "v1",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(len(tc.software), answerOf(5))
				for i, s := range f.router.Servers {
					f.engines[s.Name].Software, f.engines[s.Name].Behaviours = tc.software[i], tc.plans[i]
				}
				if tc.preempt > 0 {
					defer time.AfterFunc(tc.preempt, f.router.Preempt).Stop()
				}
				req := f.request("r")
				req.Info.Class = deck.Interactive
				var sink recordingSink
				result := f.runner.Run(t.Context(), req, &sink)
				f.runner.Wait()
				for _, token := range sink.tokens {
					_, version, _ := strings.Cut(string(token.Data), "@")
					is.Equal(version, tc.version)
				}
				is.Equal(result.Kind, tc.result)
				is.Equal(len(sink.tokens) == 5, tc.result == Completed)
				is.True(len(sink.tokens) >= 2)
				if e2 := f.engines["e2"]; e2 != nil && string(tc.software[1][0]) != tc.version {
					is.Equal(len(e2.CanceledRequests()), len(e2.Attempts()))
					is.True(!slices.Contains(f.router.Observations("e2"), deck.ObservedFailure))
				}
				is.Equal(f.router.ProtocolViolations(), nil)
			})
		})
	}
}

// TestReconnectionToOtherSoftware guards against a stream that goes on over a new connection to a server which has been replaced under
// its name meanwhile, and against a router that does not learn of it.
func TestReconnectionToOtherSoftware(t *testing.T) {
	is := is.New(t)
	var l Lifecycle
	l.Step(Event{Kind: EventAdmitted})
	l.Step(Event{Kind: EventSending, Attempt: 1, Backend: "e1"})
	l.Step(Event{Kind: EventAccepted, Attempt: 1, BootID: "b1", Software: "v1"})
	l.Step(Event{Kind: EventToken, Attempt: 1, Token: deck.Token{Offset: 0, Data: []byte("0")}})
	l.Step(Event{Kind: EventFailed, Attempt: 1, Err: &deck.EngineError{Kind: deck.EngineStalled, Err: errOffset}})
	l.Step(Event{Kind: EventSending, Attempt: 2, Backend: "e1"})
	acts := l.Step(Event{Kind: EventAccepted, Attempt: 2, BootID: "b2", Software: "v2"})
	is.Equal(findAction(acts, ActReportCrash).BootID, "b1")
	is.Equal(observations(acts), "[cancel]")
	is.Equal(*findAction(acts, ActObserve).Software, deck.SoftwareVersion("v2"))
	is.Equal(findAction(acts, ActCancel).Attempt, 2)
	next := findAction(acts, ActStart).Spec
	is.Equal(next.Reconnect, deck.BackendName(""))
	is.Equal(*next.Software, deck.SoftwareVersion("v1"))
	is.Equal(l.Step(Event{Kind: EventToken, Attempt: 2, Token: deck.Token{Offset: 1, Data: []byte("1")}}), nil)
}
