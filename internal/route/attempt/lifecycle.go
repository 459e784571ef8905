package attempt

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of a request that makes no progress. The progress timeout is longer than the reload of a model whose only engine
// crashed.
const (
	maxFailures     = 8
	progressTimeout = 30 * time.Second
	retryDelay      = 500 * time.Millisecond
	maxNotLoaded    = int(progressTimeout / retryDelay) // a started answer waits for its model to be reloaded
	retryAfter      = 2 * time.Second                   // sent to the caller with a refusal
)

// An EventKind says what happened to a request.
type EventKind int

// The kinds of event.
const (
	EventAdmitted     EventKind = iota // the request was admitted
	EventSending                       // an attempt is about to be sent to Backend
	EventAccepted                      // the engine accepted the attempt
	EventToken                         // an element of the attempt's stream arrived
	EventFailed                        // the attempt ended before the end of the answer
	EventUnavailable                   // no backend server or no retry budget was available for the attempt
	EventPoison                        // the request was found to be a poison request
	EventHedgeDue                      // the first token did not arrive within the hedge delay
	EventPreempted                     // the router preempted the request
	EventDisconnected                  // the caller disconnected
)

// An Event is something that happened to a request or to one of its attempts.
type Event struct {
	Kind    EventKind
	Attempt int
	At      time.Time
	Backend deck.BackendName // for EventSending
	BootID  string           // for EventAccepted

	Software deck.SoftwareVersion // of the engine, for EventAccepted

	Token   deck.Token        // for EventToken
	Err     *deck.EngineError // for EventFailed
	Closed  bool              // for EventFailed: the backend server takes no further requests
	Refusal *deck.Refusal     // for EventUnavailable and EventPoison
}

// An ActionKind says what the execution of the request has to do.
type ActionKind int

// The kinds of action.
const (
	ActStart       ActionKind = iota // start an attempt
	ActDeliver                       // pass a token to the caller
	ActCancel                        // end the attempt on this VM and cancel it at the engine
	ActRelease                       // end the attempt on this VM and release its resources
	ActObserve                       // report an observation to the router
	ActReportCrash                   // record that the backend server crashed while it ran the request
	ActFinish                        // end the request with Result
)

// An Action is one step that follows from an event.
type Action struct {
	Kind    ActionKind
	Attempt int
	Spec    Spec                 // for ActStart
	Token   deck.Token           // for ActDeliver
	Observe deck.ObservationKind // for ActObserve
	Tokens  int                  // for ActObserve
	Backend deck.BackendName     // for ActObserve and ActReportCrash
	BootID  string               // for ActReportCrash

	Software *deck.SoftwareVersion // for ActObserve: of the response to the attempt; nil if none has come

	Result Result // for ActFinish
}

// A Spec describes an attempt to start.
type Spec struct {
	Reconnect deck.BackendName   // backend server to use over a new connection; empty to let the router choose
	Avoid     []deck.BackendName // backend servers that failed the request
	Offset    int                // tokens already delivered
	Delay     time.Duration      // wait before the start
	Charge    bool               // counts against the retry budget and waits until the budget allows it
	Hedge     bool               // second attempt for a slow first token; dropped without budget or another backend server

	Software *deck.SoftwareVersion // the version that began the answer; nil if no token has been delivered
}

// activeAttempt is an attempt that may still contribute to the answer.
type activeAttempt struct {
	spec     Spec
	backend  deck.BackendName
	bootID   string
	software *deck.SoftwareVersion // of the engine; nil until it has accepted the attempt
	inFlight bool                  // the router counts it as in flight on the backend server
	sent     bool
}

// A Lifecycle decides what happens to a request. It is a pure state machine without clock or I/O: Step is its only input.
type Lifecycle struct {
	assembler    Assembler
	attempts     map[int]*activeAttempt
	attemptCount int // attempts so far; numbers the next one
	avoid        []deck.BackendName
	failures     int                   // failed attempts since the last new token
	software     *deck.SoftwareVersion // that brought the first delivered token; nil if there is none
	notLoaded    int                   // attempts since the last new token on engines without the model or of another software version
	otherVersion int                   // attempts on engines of another software version
	lastProgress time.Time             // time of the last sent attempt or new token
	hedged       bool
	mayHaveRun   bool // an engine accepted an attempt, or may have run one that has ended
	finished     bool
}

// Step returns the actions that follow from an event, in order.
func (l *Lifecycle) Step(e Event) []Action {
	if l.finished {
		return nil
	}
	switch e.Kind {
	case EventAdmitted:
		l.lastProgress = e.At
		return l.startAttempt(Spec{})
	case EventHedgeDue:
		return l.startHedge()
	case EventPreempted:
		return append(l.cancelAll(), l.startAttempt(Spec{})...)
	case EventDisconnected:
		result := Result{Kind: Disconnected, NotRun: !l.mayHaveRun && !l.hasSent()}
		return append(l.cancelAll(), l.finish(result)...)
	}
	a, ok := l.attempts[e.Attempt]
	if !ok {
		return nil // the attempt was abandoned
	}
	return l.stepAttempt(a, e)
}

// Offset returns the offset of the next token to deliver.
func (l *Lifecycle) Offset() int {
	return l.assembler.NextOffset()
}

// CanHedge reports whether a hedge may start: there was none yet, and the first token is awaited from a single attempt that
// was sent.
func (l *Lifecycle) CanHedge() bool {
	if l.finished || l.hedged || l.assembler.NextOffset() > 0 || len(l.attempts) != 1 {
		return false
	}
	for _, a := range l.attempts {
		return a.sent
	}
	return false
}

func (l *Lifecycle) stepAttempt(a *activeAttempt, e Event) []Action {
	switch e.Kind {
	case EventSending:
		a.backend, a.inFlight, a.sent = e.Backend, true, true
		l.lastProgress = e.At
		return []Action{observe(a, deck.ObservedStart, 0)}
	case EventAccepted:
		return l.handleAccepted(a, e)
	case EventToken:
		return l.handleToken(a, e)
	case EventFailed:
		return l.handleFailure(a, e)
	case EventUnavailable:
		return l.handleUnavailable(e)
	case EventPoison:
		return l.handlePoison(e)
	default:
		return nil
	}
}

// handleAccepted detects a restart of the engine, whose boot ID then differs from that seen on the connection which the attempt
// replaces, and ends an attempt whose tokens would not fit the answer so far.
func (l *Lifecycle) handleAccepted(a *activeAttempt, e Event) []Action {
	l.mayHaveRun = true
	previous := a.bootID
	a.bootID, a.software = e.BootID, &e.Software
	var acts []Action
	if previous != "" && previous != e.BootID {
		acts = append(acts, Action{Kind: ActReportCrash, Attempt: e.Attempt, Backend: a.backend, BootID: previous})
	}
	if l.software == nil || *l.software == e.Software {
		return acts
	}
	l.otherVersion++
	return append(acts, l.handleFailure(a, Event{
		Attempt: e.Attempt,
		At:      e.At,
		Err:     &deck.EngineError{Kind: deck.EngineOtherSoftware, BootID: e.BootID, Err: errSoftware},
	})...)
}

func (l *Lifecycle) handleToken(a *activeAttempt, e Event) []Action {
	out, status := l.assembler.Accept(e.Attempt, e.Token)
	var acts []Action
	for _, t := range out {
		acts = append(acts, Action{Kind: ActDeliver, Attempt: e.Attempt, Token: t})
	}
	if len(out) > 0 {
		acts = append(acts, l.recordProgress(e, len(out))...)
	}
	switch status {
	case AnswerComplete:
		return append(acts, l.complete(e)...)
	case AnswerInvalid:
		return append(acts, l.handleFailure(a, Event{
			Attempt: e.Attempt,
			At:      e.At,
			Err:     &deck.EngineError{Kind: deck.EngineFailed, BootID: a.bootID, Err: errOffset},
		})...)
	default:
		return acts
	}
}

// recordProgress resets the failure counts after new tokens and cancels the other attempt of a hedge. The first token decides on the
// software version of the answer.
func (l *Lifecycle) recordProgress(e Event, tokens int) []Action {
	a := l.attempts[e.Attempt]
	if l.software == nil {
		l.software = cmp.Or(a.software, new(deck.SoftwareVersion))
	}
	l.failures = 0
	l.notLoaded = 0
	l.lastProgress = e.At
	a.spec.Reconnect = "" // the next connection error may reconnect again
	acts := []Action{observe(a, deck.ObservedToken, tokens)}
	return append(acts, l.cancelOthers(e.Attempt)...)
}

func (l *Lifecycle) complete(e Event) []Action {
	acts := l.cancelOthers(e.Attempt)
	acts = append(acts, observe(l.attempts[e.Attempt], deck.ObservedEnd, 0))
	l.dropAttempt(e.Attempt)
	acts = append(acts, Action{Kind: ActRelease, Attempt: e.Attempt})
	return append(acts, l.finish(Result{Kind: Completed})...)
}

// handleFailure handles an attempt that ended before the end of the answer. After a possible connection error the attempt
// continues over a new connection to the same backend server; the router still counts it as in flight.
func (l *Lifecycle) handleFailure(a *activeAttempt, e Event) []Action {
	l.dropAttempt(e.Attempt)
	l.mayHaveRun = l.mayHaveRun || !provenNotRun(e.Err.Kind)
	if waitsForEngine(e.Err.Kind) && l.mayHaveRun {
		l.notLoaded++
	} else {
		l.failures++
	}
	noOtherActive := len(l.attempts) == 0
	reconnect := noOtherActive && a.spec.Reconnect == "" && isConnectionError(e.Err.Kind) && !e.Closed && !l.exhausted(e.At)
	acts := failureObservations(a, e.Err.Kind, reconnect)
	if e.Err.Kind == deck.EngineCrashed {
		bootID := firstNonEmpty(a.bootID, e.Err.BootID)
		acts = append(acts, Action{Kind: ActReportCrash, Attempt: e.Attempt, Backend: a.backend, BootID: bootID})
	}
	acts = append(acts, endAction(e))
	switch {
	case !noOtherActive:
		return acts // the other attempt of a hedge continues
	case e.Err.Kind == deck.EngineRejected && l.assembler.NextOffset() == 0:
		return append(acts, l.finish(Result{Kind: Rejected, Err: e.Err, NotRun: !l.mayHaveRun})...)
	case l.exhausted(e.At):
		return append(acts, l.finish(l.failureResult(e.Err.Error()))...)
	case reconnect:
		return append(acts, l.reconnect(a)...)
	default:
		return append(acts, l.retryElsewhere(a, e.Err.Kind)...)
	}
}

func (l *Lifecycle) reconnect(a *activeAttempt) []Action {
	acts := l.startAttempt(Spec{Reconnect: a.backend})
	next := l.attempts[l.attemptCount]
	next.backend, next.bootID, next.inFlight = a.backend, a.bootID, true
	return acts
}

func (l *Lifecycle) retryElsewhere(a *activeAttempt, k deck.EngineErrorKind) []Action {
	s := Spec{Charge: !waitsForEngine(k) && !provenNotRun(k) || a.spec.Reconnect != ""}
	if !slices.Contains(l.avoid, a.backend) {
		l.avoid = append(l.avoid, a.backend)
	} else if waitsForEngine(k) {
		s.Delay = retryDelay // every engine was tried; the model is being reloaded
	}
	return l.startAttempt(s)
}

// handleUnavailable handles an attempt that could not start for lack of a backend server or retry budget.
func (l *Lifecycle) handleUnavailable(e Event) []Action {
	hedge := l.attempts[e.Attempt].spec.Hedge
	acts := l.cancel(e.Attempt)
	if hedge && len(l.attempts) > 0 {
		return acts
	}
	if !l.mayHaveRun {
		return append(acts, l.finish(Result{Kind: Refused, Refusal: e.Refusal, NotRun: true})...)
	}
	if l.exhausted(e.At) {
		return append(acts, l.finish(l.failureResult(e.Refusal.Reason))...)
	}
	return append(acts, l.startAttempt(Spec{Delay: retryDelay})...)
}

func (l *Lifecycle) handlePoison(e Event) []Action {
	acts := l.cancelAll()
	return append(acts, l.finish(Result{Kind: Refused, Refusal: e.Refusal, NotRun: !l.mayHaveRun})...)
}

// startHedge starts a second attempt on another backend server while the first token is awaited.
func (l *Lifecycle) startHedge() []Action {
	if !l.CanHedge() {
		return nil
	}
	l.hedged = true
	avoid := slices.Clone(l.avoid)
	for _, a := range l.attempts {
		avoid = append(avoid, a.backend)
	}
	return l.startAttempt(Spec{Hedge: true, Avoid: avoid})
}

func (l *Lifecycle) startAttempt(s Spec) []Action {
	l.attemptCount++
	s.Offset, s.Software = l.assembler.NextOffset(), l.software
	if s.Avoid == nil {
		s.Avoid = slices.Clone(l.avoid)
	}
	if l.attempts == nil {
		l.attempts = make(map[int]*activeAttempt)
	}
	l.attempts[l.attemptCount] = &activeAttempt{spec: s}
	l.assembler.AddAttempt(l.attemptCount)
	return []Action{{Kind: ActStart, Attempt: l.attemptCount, Spec: s}}
}

func (l *Lifecycle) dropAttempt(attempt int) {
	delete(l.attempts, attempt)
	l.assembler.DropAttempt(attempt)
}

func (l *Lifecycle) cancelOthers(winner int) []Action {
	var acts []Action
	for n := range l.attemptCount {
		if n+1 != winner {
			acts = append(acts, l.cancel(n+1)...)
		}
	}
	return acts
}

func (l *Lifecycle) cancelAll() []Action {
	return l.cancelOthers(0)
}

// cancel abandons an attempt if it is still active.
func (l *Lifecycle) cancel(attempt int) []Action {
	a, ok := l.attempts[attempt]
	if !ok {
		return nil
	}
	l.dropAttempt(attempt)
	var acts []Action
	if a.inFlight {
		acts = append(acts, observe(a, deck.ObservedCancel, 0))
	}
	if !a.sent {
		return append(acts, Action{Kind: ActRelease, Attempt: attempt})
	}
	l.mayHaveRun = true
	return append(acts, Action{Kind: ActCancel, Attempt: attempt})
}

func (l *Lifecycle) finish(r Result) []Action {
	l.finished = true
	r.Tokens = l.assembler.NextOffset()
	r.Attempts, r.OtherSoftware = l.attemptCount, l.otherVersion
	return []Action{{Kind: ActFinish, Result: r}}
}

// failureResult returns the result of a request that is abandoned. It sets NotRun only if provably no engine ran the
// request.
func (l *Lifecycle) failureResult(reason string) Result {
	if l.mayHaveRun {
		return Result{Kind: Failed, Reason: reason}
	}
	return Result{Kind: Refused, NotRun: true, Refusal: &deck.Refusal{
		Kind:       deck.RefusedNoBackend,
		Reason:     reason,
		RetryAfter: retryAfter,
	}}
}

// hasSent reports whether an attempt that has not ended was sent.
func (l *Lifecycle) hasSent() bool {
	for _, a := range l.attempts {
		if a.sent {
			return true
		}
	}
	return false
}

func (l *Lifecycle) exhausted(now time.Time) bool {
	return l.failures >= maxFailures || l.notLoaded >= maxNotLoaded || now.Sub(l.lastProgress) > progressTimeout
}
