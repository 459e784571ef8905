package attempt

import (
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// errOffset is the fault of a stream whose offsets can't belong to the answer.
var errOffset = errors.New("token offsets do not continue the answer")

// A ResultKind says how a request ended.
type ResultKind int

// The kinds of result; the zero value is Failed, so that an unset result never claims an answer.
const (
	Failed   ResultKind = iota // the request may have run and its answer is not whole
	Done                       // the caller has the whole answer
	Refused                    // the system refused it
	Rejected                   // an engine refused its content
	Gone                       // the caller left
)

// A Result is the end of a request.
type Result struct {
	Kind     ResultKind
	NotRun   bool              // it is proven that no engine ran any part of it
	Refusal  *deck.Refusal     // for Refused
	Err      *deck.EngineError // for Rejected
	Reason   string            // for Failed
	Tokens   int               // tokens delivered
	Attempts int               // attempts begun
}

// provenNotRun reports whether the error proves that the engine did not run the attempt.
func provenNotRun(k deck.EngineErrorKind) bool {
	return k == deck.EngineUnreachable || k == deck.EngineDraining || k == deck.EngineRejected
}

// observation returns what the router hears about a broken attempt. A silent or broken connection is the server's fault
// only if the attempt already was on a new connection.
func observation(k deck.EngineErrorKind, reconnected bool) deck.ObservationKind {
	switch k {
	case deck.EngineStalled:
		if reconnected {
			return deck.ObservedStall
		}
		return deck.ObservedCancel
	case deck.EngineBroken:
		if reconnected {
			return deck.ObservedFailure
		}
		return deck.ObservedCancel
	case deck.EngineCrashed:
		return deck.ObservedCrash
	case deck.EngineDraining:
		return deck.ObservedDraining
	case deck.EngineRejected:
		return deck.ObservedCancel
	default:
		return deck.ObservedFailure
	}
}

// ending releases a broken attempt and cancels it where the engine may still run it.
func ending(e Event) Action {
	switch e.Err.Kind {
	case deck.EngineStalled, deck.EngineBroken, deck.EngineFailed:
		return Action{Kind: ActCancel, Attempt: e.Attempt}
	default:
		return Action{Kind: ActStop, Attempt: e.Attempt}
	}
}

func observe(a *live, kind deck.ObservationKind, tokens int) Action {
	return Action{Kind: ActObserve, Observe: kind, Backend: a.backend, Tokens: tokens}
}

func firstOf(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
