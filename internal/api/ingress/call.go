package ingress

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/allowance"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

const (
	// admissionWaitShare is the share of the latency target that a call waits for a free slot before it is refused.
	admissionWaitShare = 0.125

	// serverQueueShare is the share of the latency target that a call may spend in a server's queue; the rest is for the network
	// and for reading the prompt beside other calls.
	serverQueueShare = 0.5

	pickInterval = 20 * time.Millisecond // between two attempts to pick a server

	// maxRefusedOffers is the number of refused offers from which a refusal for lack of capacity makes the handler ask the caller
	// to retry later.
	maxRefusedOffers = 3

	// loadingWaitFactor bounds the wait for the loading of a model or adapter: a call waits if the loading is expected to take
	// less than this factor times the latency target. Loading from an engine's disk takes about as long as interactive callers
	// expect to wait, loading from the store several times that.
	loadingWaitFactor = 2.0

	// answerTimeoutFactor times the latency target may pass without an answer before a repeatable call is sent to another server,
	// if one can take it.
	answerTimeoutFactor = 2.0

	// answerCheckInterval is the time between two searches for another server after that.
	answerCheckInterval = 200 * time.Millisecond

	// nonRepeatableMaxIdle is the longest idle time of a connection that is reused for a call which must not run twice: if the
	// backend server had dropped the connection, it would be unknown whether the call ran.
	nonRepeatableMaxIdle = 1 * time.Second

	// minRemaining is the least remaining time with which a call is still offered.
	minRemaining = 20 * time.Millisecond
)

var (
	errDeadline = errors.New("deadline of the caller or the route has passed")
	errStopping = errors.New("this VM stops")
	errNoAnswer = errors.New("backend server did not answer in time")
)

// A callRun is the handling of one caller's request.
type callRun struct {
	h            *Handler
	w            http.ResponseWriter
	r            *http.Request
	ctx          context.Context
	cancel       context.CancelFunc
	route        deck.Route
	call         deck.Call
	body         []byte
	ahead        *inbound.Hold // of what is read of an answer before the caller takes it; nil until there is some
	hash         Fingerprint   // of path and body; 0 until it is needed
	parts        []uint64      // fingerprints of the parts of the prompt
	repetitions  []uint64      // what the call has in common with its repetitions if it has no content; otherwise empty
	start        time.Time
	read         time.Time // when the whole request had been read
	deadline     time.Time
	version      uint64 // of the configuration that the route is from
	routes       *table.Table
	customer     deck.Customer
	hasCustomer  bool             // the call needed a key, which customer holds
	hideKeys     bool             // the configuration names customers
	credit       allowance.Credit // of the customer's allowance, which the call counts as
	creditWait   time.Duration    // how long the call waited for it
	service      deck.ServiceName
	requirements balance.Requirements

	healthPath string // of an engine whose liveness answer reports its load; empty for other servers

	arrivalRecorded    bool          // the balancer counts the call among those that have arrived
	probes             int           // load probes sent to engines
	offers             int           // times that the call was sent to a server
	refusedOffers      int           // offers that were refused for lack of capacity or of the adapter
	possibleRuns       int           // offers that may have run
	hasRun             bool          // a server has answered
	placementRequested bool          // the placement leader was asked for the model or adapter
	placedAt           time.Time     // when it was last asked for an interrupted stream; zero if never
	readyIn            time.Duration // the placement leader's estimate of the loading time; 0 if unknown
	headSent           bool          // the caller has received the head of an answer
	interruptedAt      time.Time     // when the stream to the caller was last interrupted; zero if never
	lastEventID        string        // of the last event that the caller has received

	// origin is where the stream began that the call continues; empty before its first event. Timers read it while the call goes on.
	origin *atomic.Pointer[deck.StreamOrigin]

	framing      framing         // of the last answer whose body was read; empty if there was none
	events       int             // events of a stream that the caller has received
	offered                      // the last offer
	unqueued     bool            // no call waited for a slot when the server answered the last offer
	firstByte    time.Duration   // from the start to the first byte of the answer; 0 if there was none
	headReceived bool            // the server of the last offer has sent the head of a stream
	firstEvent   time.Time       // when the first event of the last stream came; zero if none did
	maxGap       time.Duration   // the longest pause between two events
	onTrial      bool            // let through to see whether the request, or a part of its prompt, still crashes servers
	fallback     *bufferedAnswer // a server's error that is relayed if no other server succeeds
}

// An offered is an offer as it was made.
type offered struct {
	server        deck.Server
	sentAt        time.Time
	expectedCalls float64       // at the server
	loadAge       time.Duration // of the report that this is based on
	end           func()        // records its end
}

// An offerResult says how to proceed after an offer.
type offerResult int

const (
	tryAnother offerResult = iota // the call may be sent to another server
	answered                      // the caller has its answer
	failed                        // the call must not be sent again
)

// serve sends the call to servers until the caller has been answered.
func (c *callRun) serve() {
	if c.isPoison() {
		c.refusePoison()
		return
	}
	if !c.awaitOrigin() {
		return
	}
	if !c.awaitCredit() {
		return
	}
	defer c.returnCredit()
	if c.hasCustomer {
		c.shareRoom(c.customer)
	}
	if c.requirements.Model != "" {
		c.h.Demand.RecordCall(c.service, c.call)
	}
	c.h.refusals.of(c.service).recordCall(c.start)
	release, ok := c.awaitIsolation()
	if !ok {
		c.refuseNotRun(suspectRetryAfter, "a call like it, which may crash servers, is running")
		return
	}
	defer release()
	for {
		if c.endsAfterStop(time.Now()) {
			c.refuseBeforeStop()
			return
		}
		s, ok := c.choose()
		c.recordArrival()
		if !ok {
			return
		}
		if c.isPoison() { // found by other calls while this one waited
			c.refusePoison()
			return
		}
		if c.endsAfterStop(time.Now()) {
			c.refuseBeforeStop()
			return
		}
		if !c.mayStillRun() {
			return
		}
		switch c.offer(s) {
		case answered:
			return
		case failed:
			c.fail()
			return
		}
	}
}

// recordArrival records the call for the balancer's estimates of other calls like it, once it has been considered by them itself.
func (c *callRun) recordArrival() {
	if !c.arrivalRecorded {
		c.arrivalRecorded = true
		c.h.Balancer.RecordArrival(time.Now(), c.service, c.requirements.Model)
	}
}

// endsAfterStop reports whether this VM stops before an answer to the call is expected to end, or its deadline passes. Of a route without
// recent calls only the time-out is known. A stream that has begun is continued all the same.
func (c *callRun) endsAfterStop(now time.Time) bool {
	end := c.h.callsEnd.Load()
	if end == nil || c.headSent || !c.deadline.After(*end) {
		return false
	}
	expected, ok := c.h.durations.estimate(c.route.Name)
	return !ok || !now.Add(expected).Before(*end)
}

// choose returns the next server to try and waits for one if need be. It returns false if there is none; the caller has been
// answered then.
func (c *callRun) choose() (deck.Server, bool) {
	if c.headSent || c.requirements.Continued != nil {
		c.requirements.Draw = 0 // a stream that has begun goes before calls that have not
	}
	for {
		now := time.Now()
		if c.ctx.Err() != nil {
			c.fail()
			return deck.Server{}, false
		}
		c.avoidUnannounced()
		s, result := c.h.Balancer.Pick(now, c.requirements)
		if result == balance.Chosen && c.healthPath != "" {
			s, result = c.pickProbed(s)
		}
		if result == balance.Chosen {
			if c.h.Restraints.Admit(c.ctx, s.ID, s.Incarnation()) {
				return s, true
			}
			continue // the balancer avoids the server for a while
		}
		if !c.prepareWait(now, result) {
			c.refuseWithoutServer(result)
			return deck.Server{}, false
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(pickInterval):
		}
	}
}

// prepareWait requests the placement of a model or adapter that no engine holds, and reports whether a server may become
// available in time.
func (c *callRun) prepareWait(now time.Time, result balance.PickResult) bool {
	if c.requirements.Continued != nil || c.headSent {
		return c.prepareContinuation(now, result)
	}
	waited := now.Sub(c.start) - c.creditWait
	switch result {
	case balance.AdapterAbsent, balance.ModelAbsent:
		if !c.placementRequested {
			c.requestPlacement(result)
			waited = time.Since(c.start) - c.creditWait
		}
		return c.readyIn > 0 && waited < c.readyIn+c.route.LatencyTarget/2 && c.readyIn < c.maxLoadingWait()
	case balance.Restrained:
		return c.h.Balancer.RestrainedUntil(now, c.requirements).Sub(c.start) < c.creditWait+c.maxAdmissionWait()
	default:
		return waited < c.maxAdmissionWait()
	}
}

// maxAdmissionWait returns how long a call waits for a free slot before it is refused.
func (c *callRun) maxAdmissionWait() time.Duration {
	return time.Duration(admissionWaitShare * float64(c.route.LatencyTarget))
}

// maxLoadingWait returns the expected loading time of a model or adapter below which a call waits for it; otherwise the caller is
// asked to retry.
func (c *callRun) maxLoadingWait() time.Duration {
	return time.Duration(loadingWaitFactor * float64(c.route.LatencyTarget))
}

// requestPlacement asks the placement leader to load the model or adapter. It is called once, and again after an engine turned
// out not to hold the adapter.
func (c *callRun) requestPlacement(result balance.PickResult) {
	c.placementRequested = true
	r := deck.PlacementRequest{
		Service: c.service, Model: c.requirements.Model, Adapter: c.requirements.Adapter, Continued: c.requirements.Continued,
	}
	if r.Continued != nil {
		r.Unusable = c.h.Balancer.Unusable(time.Now(), *r.Continued)
	}
	p, err := c.h.Placer.Place(c.ctx, r)
	if err != nil {
		c.h.Log.Info("placement request failed", "request", c.call.ID, "model", c.requirements.Model, "reason", err.Error())
		return
	}
	c.readyIn = p.ReadyIn
	if p.Server != "" && c.requirements.Continued != nil {
		c.h.Balancer.RecordPresent(time.Now(), p.Server, c.requirements.Model, "")
	}
	if p.Server != "" && (result == balance.AdapterAbsent || c.requirements.Continued != nil) {
		c.h.Balancer.RecordPresent(time.Now(), p.Server, c.requirements.Model, c.requirements.Adapter)
		c.readyIn = max(c.readyIn, pickInterval)
	}
}

// offer sends the call to the server and relays its answer.
func (c *callRun) offer(s deck.Server) offerResult {
	now := time.Now()
	remaining := c.deadline.Sub(now)
	if remaining < minRemaining {
		return failed
	}
	if c.offers > 0 && !c.h.Budget.TakeRetry(now, c.service) {
		c.logFailedOffer(s, "retry budget of the service is used up")
		return failed
	}
	if c.offers == 0 {
		c.h.Budget.RecordCall(now, c.service)
		c.recordCreditSent()
		c.h.Hedges.RecordCall(now, c.service)
	}
	o := c.beginOffer(s, now)
	defer o.end()
	if c.mayHedge(now) {
		return c.offerHedged(o, remaining)
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	stopWatch := c.watchAnswer(ctx, cancel, 1)
	req := c.backendRequest(s, remaining)
	ex, err := c.h.Client.Do(ctx, s.Address, req)
	var answer deck.Answer
	if err == nil {
		answer, err = c.readAnswer(ctx, s, ex)
	}
	stopWatch()
	if err != nil {
		return c.handleSendError(s, err)
	}
	return c.handleAnswer(s, ex, answer)
}

// beginOffer records that the call is about to be sent to the server. The caller must call end of what it returns.
func (c *callRun) beginOffer(s deck.Server, now time.Time) offered {
	c.offers++
	c.headReceived, c.firstEvent = false, time.Time{}
	c.requirements.Tried[s.ID] = true
	o := offered{server: s, sentAt: now}
	o.expectedCalls, o.loadAge = c.h.Balancer.ExpectedCalls(now, s.ID)
	c.h.Balancer.RecordCallStart(s.ID)
	c.h.Balancer.RecordPrompt(s.ID, c.requirements)
	use := deck.AdapterUse{
		Server: s.ID, AdapterRef: deck.AdapterRef{Model: c.requirements.Model, Adapter: c.requirements.Adapter},
	}
	if use.Adapter != "" {
		c.h.Demand.BeginAdapterUse(use)
	}
	o.end = sync.OnceFunc(func() {
		c.h.Balancer.RecordCallEnd(s.ID)
		if use.Adapter != "" {
			c.h.Demand.EndAdapterUse(use)
		}
	})
	c.offered = o
	return o
}

// readAnswer returns the answer to the call. On a connection that has carried other calls, it skips one answer that lacks the call's ID,
// since that may be a copy of an earlier one; if the next one lacks it too, the answer proves nothing.
func (c *callRun) readAnswer(ctx context.Context, s deck.Server, ex *http1.Exchange) (deck.Answer, error) {
	answer := c.h.Codec.ReadAnswer(c.call, ex.Response)
	if !answer.Identified {
		c.h.Balancer.RecordAnonymous(s.ID)
	}
	if !ex.Reused || answer.Identified {
		return answer, nil
	}
	if !ex.Response.Close {
		c.logFailedOffer(s, "skipped an answer without the ID of the call", "connection-calls", ex.Earlier)
		if err := ex.SkipResponse(ctx, &http.Request{Method: c.r.Method}); err != nil {
			ex.Abort()
			return deck.Answer{}, &http1.SendError{MaybeSent: true, Err: err}
		}
		answer = c.h.Codec.ReadAnswer(c.call, ex.Response)
	}
	if !answer.Identified {
		answer.Verdict = deck.AnswerOtherCall
	}
	return answer, nil
}

// answerTimeout returns how long a server may leave a repeatable call unanswered.
func (c *callRun) answerTimeout() time.Duration {
	return time.Duration(answerTimeoutFactor * float64(c.route.LatencyTarget))
}

// watchAnswer cancels the offers in progress if no answer arrives in time and another server can take the call. Without one, the server
// may be slow but sound. The returned function ends the watch.
func (c *callRun) watchAnswer(ctx context.Context, cancel context.CancelCauseFunc, offers int) (stop func()) {
	if !c.route.Repeatable() || c.possibleRuns+offers >= c.route.MaxAttempts || c.route.LatencyTarget <= 0 {
		return func() {}
	}
	ctx, stop = context.WithCancel(ctx)
	hasAlternative := c.alternativeFinder()
	var check func()
	check = func() {
		switch {
		case ctx.Err() != nil:
		case hasAlternative():
			cancel(errNoAnswer)
		default:
			time.AfterFunc(answerCheckInterval, check)
		}
	}
	time.AfterFunc(c.answerTimeout(), check)
	return stop
}

// alternativeFinder returns a function that reports whether a server that the call has not been sent to can take it now. The
// function may run concurrently with the call, so it uses copies of the call's state.
func (c *callRun) alternativeFinder() func() bool {
	requirements := c.requirements
	requirements.Tried = maps.Clone(c.requirements.Tried)
	requirements.Unlimited = true
	origin := c.origin
	return func() bool {
		r := requirements
		r.Continued = origin.Load()
		_, result := c.h.Balancer.Pick(time.Now(), r)
		return result == balance.Chosen
	}
}

func (c *callRun) backendRequest(s deck.Server, remaining time.Duration) *http1.Request {
	header := endToEndHeaders(c.r.Header)
	o := deck.Offer{Server: s, Remaining: remaining, Priority: -1, LastEventID: c.lastEventID, HideKeys: c.hideKeys}
	if c.requirements.Model != "" {
		o.Priority = enginePriority(c.route, c.customer)
	}
	if c.hasCustomer {
		o.Customer = c.customer.Name
	}
	c.h.Codec.SetHeaders(header, o)
	r := &http1.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
		ContentLength: c.r.ContentLength, ID: string(c.call.ID), NewConn: c.h.Balancer.IsAnonymous(s.ID),
	}
	if !c.route.Repeatable() {
		r.MaxIdleTime = nonRepeatableMaxIdle
	}
	return r
}
