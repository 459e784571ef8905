package attempt

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// unloadedRuns drives a life whose engines never hold the model, and returns its attempts, the delays and the result.
func unloadedRuns(l *Life, acts []Action, at time.Time) (attempts int, delayed int, r Result) {
	for {
		var open *Action
		for i, a := range acts {
			switch a.Kind {
			case ActOpen:
				open = &acts[i]
			case ActFinish:
				return attempts, delayed, a.Result
			}
		}
		attempts++
		at = at.Add(open.Open.Delay)
		if open.Open.Delay > 0 {
			delayed++
		}
		l.Step(Event{Kind: EventStart, Attempt: open.Attempt, At: at, Backend: "e"})
		acts = l.Step(Event{Kind: EventBreak, Attempt: open.Attempt, At: at, Err: &deck.EngineError{
			Kind: deck.EngineNotLoaded, Status: 404, Err: errors.New("not loaded"),
		}})
	}
}

// Guards against a running answer that is cut because its model is being loaded again, and against one that waits for
// ever; a request that has not run is refused soon instead.
func TestModelNotLoaded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)

	fresh := &Life{}
	attempts, _, r := unloadedRuns(fresh, fresh.Step(Event{Kind: EventBegin, At: now}), now)
	is.Equal(attempts, maxFruitless)
	is.Equal(r.Kind, Refused)
	is.True(r.NotRun)

	running := &Life{}
	running.Step(Event{Kind: EventBegin, At: now})
	running.Step(Event{Kind: EventStart, Attempt: 1, At: now, Backend: "e"})
	running.Step(Event{Kind: EventAnswer, Attempt: 1, At: now, BootID: "b"})
	running.Step(Event{Kind: EventToken, Attempt: 1, At: now, Token: deck.Token{Offset: 0}})
	acts := running.Step(Event{Kind: EventBreak, Attempt: 1, At: now, Err: &deck.EngineError{
		Kind: deck.EngineCrashed, BootID: "b", Err: errors.New("reset"),
	}})
	attempts, delayed, r := unloadedRuns(running, acts, now)
	is.Equal(attempts, maxNotLoaded)
	is.Equal(delayed, maxNotLoaded-1)
	is.Equal(r.Kind, Failed)
	is.True(!r.NotRun)
}
