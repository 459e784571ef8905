package attempt

import (
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// errOffset is the error of a stream whose offsets contradict the tokens already delivered.
var errOffset = errors.New("token offsets do not continue the answer")

// errSoftware is the error of a stream of another software version than the one that began the answer.
var errSoftware = errors.New("the engine's software version does not continue the answer")

// A ResultKind is the outcome of a request.
type ResultKind int

// The kinds of result; the zero value is Failed, so that an unset result never counts as a complete answer.
const (
	Failed       ResultKind = iota // the request may have run and its answer is incomplete
	Completed                      // the caller has the complete answer
	Refused                        // this VM refused to run the request or to continue it
	Rejected                       // an engine rejected the content of the request
	Disconnected                   // the caller disconnected
)

// A Result is the outcome of a request with its details.
type Result struct {
	Kind     ResultKind
	NotRun   bool              // provably no engine ran any part of the request
	Refusal  *deck.Refusal     // for Refused
	Err      *deck.EngineError // for Rejected
	Reason   string            // for Failed
	Tokens   int               // tokens delivered
	Attempts int               // attempts started

	OtherSoftware int // attempts at engines of another software version than the one that began the answer
}

// provenNotRun reports whether the error proves that the engine did not run the attempt.
func provenNotRun(k deck.EngineErrorKind) bool {
	switch k {
	case deck.EngineUnreachable, deck.EngineDraining, deck.EngineRejected, deck.EngineNotLoaded, deck.EngineRefused:
		return true
	default:
		return false
	}
}

// waitsForEngine reports whether the error says that the engine can't run the attempt while another engine, or this one later, may: the
// answer waits for such an engine.
func waitsForEngine(k deck.EngineErrorKind) bool {
	return k == deck.EngineNotLoaded || k == deck.EngineOtherSoftware
}

// isConnectionError reports whether the error may come from the connection rather than from the backend server.
func isConnectionError(k deck.EngineErrorKind) bool {
	return k == deck.EngineStalled || k == deck.EngineConnClosed
}

// failureObservations returns the observations of a failed attempt for the router. Every stall is reported, since the router
// attributes the second consecutive one to the server. A stall alone does not end the attempt for the router.
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

// endObservation returns the observation that ends a failed attempt. A rejected or refused request does not count as a server failure,
// nor does a software version that does not fit.
func endObservation(k deck.EngineErrorKind) deck.ObservationKind {
	switch k {
	case deck.EngineStalled, deck.EngineRejected, deck.EngineRefused, deck.EngineOtherSoftware:
		return deck.ObservedCancel
	case deck.EngineCrashed:
		return deck.ObservedCrash
	case deck.EngineDraining:
		return deck.ObservedDraining
	default:
		return deck.ObservedFailure
	}
}

// endAction releases a failed attempt, and cancels it at the engine if the engine may still be running it.
func endAction(e Event) Action {
	switch e.Err.Kind {
	case deck.EngineStalled, deck.EngineConnClosed, deck.EngineFailed, deck.EngineOtherSoftware:
		return Action{Kind: ActCancel, Attempt: e.Attempt}
	default:
		return Action{Kind: ActRelease, Attempt: e.Attempt}
	}
}

func observe(a *activeAttempt, kind deck.ObservationKind, tokens int) Action {
	return Action{Kind: ActObserve, Observe: kind, Backend: a.backend, Tokens: tokens, Software: a.software}
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
