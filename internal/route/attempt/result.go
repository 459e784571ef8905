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
	switch k {
	case deck.EngineUnreachable, deck.EngineDraining, deck.EngineRejected, deck.EngineNotLoaded:
		return true
	default:
		return false
	}
}

// onPath reports whether the connection rather than the backend server may be at fault.
func isConnectionError(k deck.EngineErrorKind) bool {
	return k == deck.EngineStalled || k == deck.EngineBroken
}

// observeBreak returns what the router hears about a broken attempt. A silent connection is reported as such each time;
// the router blames the server at the second one in a row. A stall does not end the attempt for the router.
func failureObservations(a *activeAttempt, k deck.EngineErrorKind, reconnect bool) []Action {
	var acts []Action
	if k == deck.EngineStalled {
		acts = append(acts, observe(a, deck.ObservedStall, 0))
	}
	if reconnect {
		return acts
	}
	return append(acts, observe(a, endObservation(k), 0))
}

// observation returns the observation that ends a broken attempt. A rejected request is no fault of the server.
func endObservation(k deck.EngineErrorKind) deck.ObservationKind {
	switch k {
	case deck.EngineStalled, deck.EngineRejected:
		return deck.ObservedCancel
	case deck.EngineCrashed:
		return deck.ObservedCrash
	case deck.EngineDraining:
		return deck.ObservedDraining
	default:
		return deck.ObservedFailure
	}
}

// ending releases a broken attempt and cancels it where the engine may still run it.
func endAction(e Event) Action {
	switch e.Err.Kind {
	case deck.EngineStalled, deck.EngineBroken, deck.EngineFailed:
		return Action{Kind: ActCancel, Attempt: e.Attempt}
	default:
		return Action{Kind: ActRelease, Attempt: e.Attempt}
	}
}

func observe(a *activeAttempt, kind deck.ObservationKind, tokens int) Action {
	return Action{Kind: ActObserve, Observe: kind, Backend: a.backend, Tokens: tokens}
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
