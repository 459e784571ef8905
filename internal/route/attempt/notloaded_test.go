package attempt

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// failNotLoaded fails each attempt because the engine does not hold the model, and returns the numbers of attempts and of
// delayed ones, and the result.
func failNotLoaded(l *Lifecycle, acts []Action, at time.Time) (attempts int, delayed int, r Result) {
	for {
		var start *Action
		for i, a := range acts {
			switch a.Kind {
			case ActStart:
				start = &acts[i]
			case ActFinish:
				return attempts, delayed, a.Result
			}
		}
		attempts++
		at = at.Add(start.Spec.Delay)
		if start.Spec.Delay > 0 {
			delayed++
		}
		l.Step(Event{Kind: EventSending, Attempt: start.Attempt, At: at, Backend: "e"})
		acts = l.Step(Event{Kind: EventFailed, Attempt: start.Attempt, At: at, Err: &deck.EngineError{
			Kind: deck.EngineNotLoaded, Status: 404, Err: errors.New("not loaded"),
		}})
	}
}

// TestModelNotLoaded guards against a started answer that is cut off while its model is being reloaded, or that waits forever;
// a request that has not run is refused after maxFailures attempts instead.
func TestModelNotLoaded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)

	fresh := &Lifecycle{}
	attempts, _, r := failNotLoaded(fresh, fresh.Step(Event{Kind: EventAdmitted, At: now}), now)
	is.Equal(attempts, maxFailures)
	is.Equal(r.Kind, Refused)
	is.True(r.NotRun)

	running := &Lifecycle{}
	running.Step(Event{Kind: EventAdmitted, At: now})
	running.Step(Event{Kind: EventSending, Attempt: 1, At: now, Backend: "e"})
	running.Step(Event{Kind: EventAccepted, Attempt: 1, At: now, BootID: "b"})
	running.Step(Event{Kind: EventToken, Attempt: 1, At: now, Token: deck.Token{Offset: 0}})
	acts := running.Step(Event{Kind: EventFailed, Attempt: 1, At: now, Err: &deck.EngineError{
		Kind: deck.EngineCrashed, BootID: "b", Err: errors.New("reset"),
	}})
	attempts, delayed, r := failNotLoaded(running, acts, now)
	is.Equal(attempts, maxNotLoaded)
	is.Equal(delayed, maxNotLoaded-1)
	is.Equal(r.Kind, Failed)
	is.True(!r.NotRun)
}
