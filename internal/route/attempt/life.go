package attempt

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of a request that makes no progress. The patience outlasts the reload of a model whose only engine crashed.
const (
	maxFruitless = 8
	patience     = 30 * time.Second
	waitDelay    = 500 * time.Millisecond
	maxNotLoaded = int(patience / waitDelay) // a running answer waits for its model to be loaded again
	retryAfter   = 2 * time.Second
)

// An EventKind says what happened to a request.
type EventKind int

// The kinds of event.
const (
	EventBegin   EventKind = iota // the request was admitted
	EventStart                    // an attempt is about to be sent to Backend
	EventAnswer                   // the engine accepted the attempt
	EventToken                    // an element of the attempt's stream arrived
	EventBreak                    // the attempt ended without the end of the answer
	EventNone                     // there is no backend server or no budget for the attempt
	EventPoison                   // the request is refused as a poison request
	EventHedge                    // the first token is slow
	EventPreempt                  // the router takes the backend server away
	EventGone                     // the caller left
)

// An Event is something that happened to a request or to one of its attempts.
type Event struct {
	Kind    EventKind
	Attempt int
	At      time.Time
	Backend deck.BackendName  // for EventStart
	BootID  string            // for EventAnswer
	Token   deck.Token        // for EventToken
	Err     *deck.EngineError // for EventBreak
	Refusal *deck.Refusal     // for EventNone and EventPoison
}

// An ActionKind says what the code that moves bytes has to do.
type ActionKind int

// The kinds of action.
const (
	ActOpen    ActionKind = iota // start an attempt
	ActDeliver                   // pass a token to the caller
	ActCancel                    // stop the attempt here and at the engine
	ActStop                      // release what the attempt holds here
	ActObserve                   // tell the router
	ActCrash                     // record that the request ran on a backend server that crashed
	ActFinish                    // the request is over
)

// An Action is one step that follows from an event.
type Action struct {
	Kind    ActionKind
	Attempt int
	Open    Open                 // for ActOpen
	Token   deck.Token           // for ActDeliver
	Observe deck.ObservationKind // for ActObserve
	Tokens  int                  // for ActObserve
	Backend deck.BackendName     // for ActObserve and ActCrash
	BootID  string               // for ActCrash
	Result  Result               // for ActFinish
}

// An Open describes an attempt to start.
type Open struct {
	Same   deck.BackendName   // this backend server on a new connection; empty to let the router choose
	Avoid  []deck.BackendName // backend servers that failed the request
	Offset int                // tokens already delivered
	Delay  time.Duration
	Charge bool // it counts against the retry budget and waits for it
	Hedge  bool // it is dropped if the budget or the choice of backend servers is exhausted
}

// A live attempt may still add to the answer.
type live struct {
	open    Open
	backend deck.BackendName
	boot    string
	held    bool // the router counts it as running on the backend server
	sent    bool
}

// A Life decides what happens to a request. It is a pure state machine: Step is its only input.
type Life struct {
	asm       Assembler
	attempts  map[int]*live
	count     int // attempts so far, which numbers them
	avoid     []deck.BackendName
	fruitless int       // failed attempts since the last new token
	notLoaded int       // attempts since the last new token at engines that did not hold the model
	stuck     time.Time // the last attempt that was sent, or the last new token
	hedged    bool
	ran       bool // an attempt that is over may have run at an engine
	over      bool
}

// Step returns the actions that follow from an event, in order.
func (l *Life) Step(e Event) []Action {
	if l.over {
		return nil
	}
	switch e.Kind {
	case EventBegin:
		l.stuck = e.At
		return l.start(Open{})
	case EventHedge:
		return l.hedge()
	case EventPreempt:
		return append(l.cancelAll(), l.start(Open{})...)
	case EventGone:
		return append(l.cancelAll(), l.finish(Result{Kind: Gone})...)
	}
	a, ok := l.attempts[e.Attempt]
	if !ok {
		return nil // late data of an abandoned attempt
	}
	return l.stepAttempt(a, e)
}

// Offset returns the offset of the next token to deliver.
func (l *Life) Offset() int {
	return l.asm.Next()
}

// Waiting reports whether the first token is awaited from a single attempt that was sent.
func (l *Life) Waiting() bool {
	if l.over || l.hedged || l.asm.Next() > 0 || len(l.attempts) != 1 {
		return false
	}
	for _, a := range l.attempts {
		return a.sent
	}
	return false
}

func (l *Life) stepAttempt(a *live, e Event) []Action {
	switch e.Kind {
	case EventStart:
		a.backend, a.held, a.sent = e.Backend, true, true
		l.stuck = e.At
		return []Action{observe(a, deck.ObservedStart, 0)}
	case EventAnswer:
		return l.answer(a, e)
	case EventToken:
		return l.token(a, e)
	case EventBreak:
		return l.broke(a, e)
	case EventNone:
		return l.none(e)
	case EventPoison:
		return l.poison(e)
	default:
		return nil
	}
}

// answer compares the boot id with that of the connection which the attempt replaces.
func (l *Life) answer(a *live, e Event) []Action {
	l.ran = true
	before := a.boot
	a.boot = e.BootID
	if before == "" || before == e.BootID {
		return nil
	}
	return []Action{{Kind: ActCrash, Attempt: e.Attempt, Backend: a.backend, BootID: before}}
}

func (l *Life) token(a *live, e Event) []Action {
	out, verdict := l.asm.Accept(e.Attempt, e.Token)
	var acts []Action
	for _, t := range out {
		acts = append(acts, Action{Kind: ActDeliver, Attempt: e.Attempt, Token: t})
	}
	if len(out) > 0 {
		acts = append(acts, l.progress(e, len(out))...)
	}
	switch verdict {
	case Complete:
		return append(acts, l.complete(e)...)
	case Faulty:
		return append(acts, l.broke(a, Event{
			Attempt: e.Attempt,
			At:      e.At,
			Err:     &deck.EngineError{Kind: deck.EngineFailed, BootID: a.boot, Err: errOffset},
		})...)
	default:
		return acts
	}
}

// progress notes new tokens; the attempt that sent them wins over a hedge.
func (l *Life) progress(e Event, tokens int) []Action {
	a := l.attempts[e.Attempt]
	l.fruitless = 0
	l.notLoaded = 0
	l.stuck = e.At
	a.open.Same = ""
	acts := []Action{observe(a, deck.ObservedToken, tokens)}
	return append(acts, l.cancelOthers(e.Attempt)...)
}

func (l *Life) complete(e Event) []Action {
	acts := l.cancelOthers(e.Attempt)
	acts = append(acts, observe(l.attempts[e.Attempt], deck.ObservedEnd, 0))
	l.drop(e.Attempt)
	acts = append(acts, Action{Kind: ActStop, Attempt: e.Attempt})
	return append(acts, l.finish(Result{Kind: Done})...)
}

// broke handles the end of an attempt before the end of the answer. An attempt whose connection may be at fault goes on
// over a new one; the router keeps counting it.
func (l *Life) broke(a *live, e Event) []Action {
	l.drop(e.Attempt)
	l.ran = l.ran || !provenNotRun(e.Err.Kind)
	if e.Err.Kind == deck.EngineNotLoaded && l.ran {
		l.notLoaded++
	} else {
		l.fruitless++
	}
	alone := len(l.attempts) == 0
	reconnect := alone && a.open.Same == "" && onPath(e.Err.Kind) && !l.exhausted(e.At)
	acts := observeBreak(a, e.Err.Kind, reconnect)
	if e.Err.Kind == deck.EngineCrashed {
		boot := firstOf(a.boot, e.Err.BootID)
		acts = append(acts, Action{Kind: ActCrash, Attempt: e.Attempt, Backend: a.backend, BootID: boot})
	}
	acts = append(acts, ending(e))
	switch {
	case !alone:
		return acts // the other attempt of a hedge goes on
	case e.Err.Kind == deck.EngineRejected && l.asm.Next() == 0:
		return append(acts, l.finish(Result{Kind: Rejected, Err: e.Err, NotRun: !l.ran})...)
	case l.exhausted(e.At):
		return append(acts, l.finish(l.failed(e.Err.Error()))...)
	case reconnect:
		return append(acts, l.reconnect(a)...)
	default:
		return append(acts, l.elsewhere(a, e.Err.Kind)...)
	}
}

func (l *Life) reconnect(a *live) []Action {
	acts := l.start(Open{Same: a.backend})
	next := l.attempts[l.count]
	next.backend, next.boot, next.held = a.backend, a.boot, true
	return acts
}

func (l *Life) elsewhere(a *live, k deck.EngineErrorKind) []Action {
	o := Open{Charge: !provenNotRun(k) || a.open.Same != ""}
	if !slices.Contains(l.avoid, a.backend) {
		l.avoid = append(l.avoid, a.backend)
	} else if k == deck.EngineNotLoaded {
		o.Delay = waitDelay // every engine was tried; the model is being loaded again
	}
	return l.start(o)
}

// none handles an attempt that could not be started.
func (l *Life) none(e Event) []Action {
	hedge := l.attempts[e.Attempt].open.Hedge
	acts := l.cancel(e.Attempt)
	if hedge && len(l.attempts) > 0 {
		return acts
	}
	if !l.ran {
		return append(acts, l.finish(Result{Kind: Refused, Refusal: e.Refusal, NotRun: true})...)
	}
	if l.exhausted(e.At) {
		return append(acts, l.finish(l.failed(e.Refusal.Reason))...)
	}
	return append(acts, l.start(Open{Delay: waitDelay})...)
}

func (l *Life) poison(e Event) []Action {
	acts := l.cancelAll()
	return append(acts, l.finish(Result{Kind: Refused, Refusal: e.Refusal, NotRun: !l.ran})...)
}

// hedge starts a second attempt elsewhere while the first token is awaited.
func (l *Life) hedge() []Action {
	if !l.Waiting() {
		return nil
	}
	l.hedged = true
	avoid := slices.Clone(l.avoid)
	for _, a := range l.attempts {
		avoid = append(avoid, a.backend)
	}
	return l.start(Open{Hedge: true, Avoid: avoid})
}

func (l *Life) start(o Open) []Action {
	l.count++
	o.Offset = l.asm.Next()
	if o.Avoid == nil {
		o.Avoid = slices.Clone(l.avoid)
	}
	if l.attempts == nil {
		l.attempts = make(map[int]*live)
	}
	l.attempts[l.count] = &live{open: o}
	l.asm.Join(l.count)
	return []Action{{Kind: ActOpen, Attempt: l.count, Open: o}}
}

func (l *Life) drop(attempt int) {
	delete(l.attempts, attempt)
	l.asm.Abandon(attempt)
}

func (l *Life) cancelOthers(winner int) []Action {
	var acts []Action
	for n := range l.count {
		if n+1 != winner {
			acts = append(acts, l.cancel(n+1)...)
		}
	}
	return acts
}

func (l *Life) cancelAll() []Action {
	return l.cancelOthers(0)
}

// cancel abandons an attempt, if it is live.
func (l *Life) cancel(attempt int) []Action {
	a, ok := l.attempts[attempt]
	if !ok {
		return nil
	}
	l.drop(attempt)
	var acts []Action
	if a.held {
		acts = append(acts, observe(a, deck.ObservedCancel, 0))
	}
	if !a.sent {
		return append(acts, Action{Kind: ActStop, Attempt: attempt})
	}
	l.ran = true
	return append(acts, Action{Kind: ActCancel, Attempt: attempt})
}

func (l *Life) finish(r Result) []Action {
	l.over = true
	r.Tokens = l.asm.Next()
	r.Attempts = l.count
	return []Action{{Kind: ActFinish, Result: r}}
}

// failed returns the result of a request that is given up; it claims "not run" only if that is proven.
func (l *Life) failed(reason string) Result {
	if l.ran {
		return Result{Kind: Failed, Reason: reason}
	}
	return Result{Kind: Refused, NotRun: true, Refusal: &deck.Refusal{
		Kind:       deck.RefusedNoBackend,
		Reason:     reason,
		RetryAfter: retryAfter,
	}}
}

func (l *Life) exhausted(now time.Time) bool {
	return l.fruitless >= maxFruitless || l.notLoaded >= maxNotLoaded || now.Sub(l.stuck) > patience
}
