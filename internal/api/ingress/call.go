package ingress

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

const (
	// patienceShare of the latency target may pass before a call that finds no place is refused.
	patienceShare = 0.125

	// queueShare of the latency target may be spent in a server's queue; the rest is for the way and for reading the prompt
	// beside other calls.
	queueShare = 0.5

	// resumePatience is how long a broken stream looks for an engine to go on; callers abandon a silent stream after two
	// seconds.
	resumePatience = 1500 * time.Millisecond

	pickInterval = 20 * time.Millisecond // between two looks for a place

	// maxSheds is how many servers may refuse a call for lack of room before the caller is told to come back.
	maxSheds = 3

	// holdShare of the latency target may be left until a model or adapter is loaded for a call: a load from an engine's disk
	// takes about as long as callers at the desk expect to wait, and one from the store several times that.
	holdShare = 2.0

	// silentShare of the latency target may pass without an answer before a call that may be repeated goes elsewhere.
	silentShare = 2.0

	// onceIdle is how long a connection may have been idle that carries a call which must not run twice: a backend server
	// that dropped it would leave open whether the call ran.
	onceIdle = 1 * time.Second

	// retrySpread is the share of the time to come back by which callers' returns are spread, so that they don't come
	// together.
	retrySpread = 0.5

	// minRemaining is the least time worth offering a call with.
	minRemaining = 20 * time.Millisecond
)

var (
	errDeadline = errors.New("deadline of the caller or the route has passed")
	errSilent   = errors.New("backend server did not answer in time")
)

// A callRun is a caller's request on its way through the system.
type callRun struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	cancel   context.CancelFunc
	route    deck.Route
	call     deck.Call
	body     []byte
	start    time.Time
	deadline time.Time
	version  uint64 // of the configuration that chose the route
	service  deck.ServiceName
	want     balance.Want

	healthPath string // of an engine that tells its load; empty for other servers

	looks   int           // engines that were asked for their load
	offers  int           // times that the call was sent to a server
	sheds   int           // offers that were refused for lack of room
	runs    int           // offers that may have run
	placed  bool          // the placement leader was asked for the model or adapter
	readyIn time.Duration // the placement leader's estimate
	began   bool          // the caller has received the head of an answer
	brokeAt time.Time     // when the stream to the caller last broke off; zero if it did not
	last    string        // id of the last event that the caller has received
	server  deck.Server   // of the last offer
	first   time.Duration // from the start to the first byte of the answer; 0 if there was none
	gap     time.Duration // the longest pause between two events
	spare   *spareAnswer  // a server's failure that is relayed if no other server does better
}

// A result says how to go on after an offer.
type result int

const (
	again  result = iota // another server may be asked
	ended                // the caller has its answer
	failed               // nothing further may be tried
)

// serve sees the call through to its answer.
func (c *callRun) serve() {
	if c.h.Poison.Refused(c.fingerprint()) {
		c.end(http.StatusUnprocessableEntity, "request has crashed several servers")
		writeRefusal(c.w, refusal{http.StatusUnprocessableEntity, 0, "request has crashed several servers"})
		return
	}
	if c.want.Model != "" {
		c.h.Demand.Count(c.service, c.call)
		c.h.crowd.call(c.start)
	}
	for {
		s, ok := c.choose()
		if !ok {
			return
		}
		switch c.offer(s) {
		case ended:
			return
		case failed:
			c.fail()
			return
		}
	}
}

// choose returns the next server; if there is none, the caller has been answered.
func (c *callRun) choose() (deck.Server, bool) {
	for {
		now := time.Now()
		if c.ctx.Err() != nil {
			c.fail()
			return deck.Server{}, false
		}
		s, shortage := c.h.Book.Pick(now, c.want)
		if shortage == balance.Chosen && c.healthPath != "" {
			s, shortage = c.look(s)
		}
		if shortage == balance.Chosen {
			return s, true
		}
		if !c.mayWait(now, shortage) {
			c.giveUp(shortage)
			return deck.Server{}, false
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(pickInterval):
		}
	}
}

// mayWait reports whether a place may come in time, and asks for a model or adapter that no engine holds.
func (c *callRun) mayWait(now time.Time, shortage balance.Shortage) bool {
	if c.began {
		return now.Sub(c.brokeAt) < resumePatience
	}
	waited := now.Sub(c.start)
	switch shortage {
	case balance.AdapterAbsent, balance.ModelAbsent:
		if !c.placed {
			c.place(shortage)
			waited = time.Since(c.start)
		}
		return c.readyIn > 0 && waited < c.readyIn+c.route.LatencyTarget/2 && c.readyIn < c.holdLimit()
	default:
		return waited < time.Duration(patienceShare*float64(c.route.LatencyTarget))
	}
}

// holdLimit is the longest load of a model that a call is held for. After a longer one it is better told to come back.
func (c *callRun) holdLimit() time.Duration {
	return time.Duration(holdShare * float64(c.route.LatencyTarget))
}

// place asks the placement leader for the model or adapter, once for each call.
func (c *callRun) place(shortage balance.Shortage) {
	c.placed = true
	p, err := c.h.Placer.Place(c.ctx, c.service, c.want.Model, c.want.Adapter)
	if err != nil {
		c.h.Log.Info("placement leader did not answer", "request", c.call.ID, "model", c.want.Model, "reason", err.Error())
		return
	}
	c.readyIn = p.ReadyIn
	if p.Server != "" && shortage == balance.AdapterAbsent {
		c.h.Book.SawPresent(time.Now(), p.Server, c.want.Model, c.want.Adapter)
		c.readyIn = max(c.readyIn, pickInterval)
	}
}

// giveUp refuses a call for which there is no server.
func (c *callRun) giveUp(shortage balance.Shortage) {
	if c.runs > 0 {
		c.fail()
		return
	}
	retry := fullRetry
	switch shortage {
	case balance.AllFull:
		now := time.Now()
		retry = c.h.crowd.refuse(now, c.deadline.Sub(now))
	case balance.NoServer:
		retry = downRetry
	case balance.ModelAbsent, balance.AdapterAbsent:
		retry = loadRetry
		if c.readyIn > 0 {
			retry = c.readyIn
		}
	}
	c.refuseUnrun(retry, shortage.String())
}

// refuseUnrun tells the caller that the call has not run and when to come back.
func (c *callRun) refuseUnrun(retry time.Duration, reason string) {
	retry += time.Duration(c.h.Random.Float64() * retrySpread * float64(retry))
	c.end(http.StatusServiceUnavailable, reason, "retry-after-ms", retry.Milliseconds())
	writeRefusal(c.w, refusal{http.StatusServiceUnavailable, retry, "not run: " + reason})
}

// fail answers a call that can't be finished.
func (c *callRun) fail() {
	switch {
	case c.began:
		c.end(0, "answer broke off")
		panic(http.ErrAbortHandler) // the caller must not take the part for the whole
	case c.r.Context().Err() != nil:
		c.end(0, "caller left")
		panic(http.ErrAbortHandler)
	case c.spare != nil:
		c.end(c.spare.status, "failure of the server relayed")
		c.spare.write(c.w)
	case c.runs == 0:
		c.refuseUnrun(fullRetry, "no server took the call in time")
	case c.ctx.Err() != nil:
		c.end(http.StatusGatewayTimeout, "deadline passed")
		writeRefusal(c.w, refusal{http.StatusGatewayTimeout, 0, "the server did not finish in time"})
	default:
		c.end(http.StatusBadGateway, "server failed")
		writeRefusal(c.w, refusal{http.StatusBadGateway, 0, "the server failed; the request may have run"})
	}
}

// offer sends the call to the server and relays its answer.
func (c *callRun) offer(s deck.Server) result {
	now := time.Now()
	remaining := c.deadline.Sub(now)
	if remaining < minRemaining {
		return failed
	}
	if c.offers > 0 && !c.h.Budget.Again(now, c.service) {
		c.logOffer(s, "retry budget of the service is spent")
		return failed
	}
	if c.offers == 0 {
		c.h.Budget.Call(now, c.service)
	}
	c.offers++
	c.server = s
	c.want.Tried[s.ID] = true
	c.h.Book.Began(s.ID)
	c.h.Book.SentPrompt(s.ID, c.want)
	defer c.h.Book.Ended(s.ID)
	if c.want.Adapter != "" {
		run := deck.AdapterRun{Server: s.ID, AdapterRef: deck.AdapterRef{Model: c.want.Model, Adapter: c.want.Adapter}}
		c.h.Demand.Began(run)
		defer c.h.Demand.Ended(run)
	}

	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	silence := c.watchSilence(cancel)
	ex, err := c.h.Client.Do(ctx, s.Address, c.request(s, remaining))
	if silence != nil {
		silence.Stop()
	}
	if err != nil {
		return c.unanswered(s, err)
	}
	return c.answered(ctx, s, ex)
}

// watchSilence ends an offer that gets no answer, if the call may be repeated elsewhere.
func (c *callRun) watchSilence(cancel context.CancelCauseFunc) *time.Timer {
	if !c.route.Repeatable() || c.runs+1 >= c.route.MaxAttempts || c.route.LatencyTarget <= 0 {
		return nil
	}
	limit := time.Duration(silentShare * float64(c.route.LatencyTarget))
	return time.AfterFunc(limit, func() { cancel(errSilent) })
}

func (c *callRun) request(s deck.Server, remaining time.Duration) *http1.Request {
	header := endToEnd(c.r.Header)
	o := deck.Offer{Server: s, Remaining: remaining, Priority: -1, LastEvent: c.last}
	if c.want.Model != "" {
		o.Priority = enginePriority(c.route)
	}
	c.h.Codec.SetHeaders(header, o)
	r := &http1.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, Length: c.r.ContentLength,
	}
	if !c.route.Repeatable() {
		r.Fresh = onceIdle
	}
	return r
}

// unanswered judges an offer that got no answer.
func (c *callRun) unanswered(s deck.Server, err error) result {
	now := time.Now()
	var send *http1.SendError
	sent := !errors.As(err, &send) || send.Sent
	c.logOffer(s, err.Error())
	callerEnded := c.ctx.Err() != nil
	if sent {
		c.runs++
	}
	if callerEnded {
		return failed
	}
	c.h.Book.SawDown(now, s.ID)
	if brokeConnection(err) {
		c.h.Book.SawBroke(s.ID)
	}
	if !sent {
		return again
	}
	if !errors.Is(err, errSilent) {
		c.suspect(now, s)
	}
	return c.repeat()
}

// brokeConnection reports whether the server itself ended a connection; a way that is cut shows as a time-out. Servers
// may drop connections that are idle.
func brokeConnection(err error) bool {
	var send *http1.SendError
	if errors.As(err, &send) && send.Idle > onceIdle {
		return false
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// suspect notes that the server broke off while it had the call. Calls without a body have the same content too often.
func (c *callRun) suspect(now time.Time, s deck.Server) {
	if len(c.body) > 0 {
		c.h.Poison.Suspect(now, c.fingerprint(), s.ID)
	}
}

// repeat says whether a call that may have run may be offered to another server.
func (c *callRun) repeat() result {
	if c.route.Repeatable() && c.runs < c.route.MaxAttempts {
		return again
	}
	return failed
}

// answered judges the head of an answer.
func (c *callRun) answered(ctx context.Context, s deck.Server, ex *http1.Exchange) result {
	now := time.Now()
	answer := c.h.Codec.ReadAnswer(c.call, ex.Response)
	if answer.Verdict == deck.AnswerForeign && ex.Reused {
		c.logOffer(s, "skipped the late answer to another request")
		if err := ex.Skip(ctx, &http.Request{Method: c.r.Method}); err != nil {
			ex.Abort()
			return c.unanswered(s, &http1.SendError{Sent: true, Err: err})
		}
		answer = c.h.Codec.ReadAnswer(c.call, ex.Response)
	}
	if answer.HasLoad {
		c.h.Book.SawLoad(now, s.ID, answer.Load)
	}
	switch answer.Verdict {
	case deck.AnswerComplete:
		return c.relay(s, ex)
	case deck.AnswerNotRun:
		discard(ex)
		c.h.Book.SawFull(now, s.ID)
		return c.shed(s)
	case deck.AnswerOtherServer:
		discard(ex)
		c.logOffer(s, "another server has the address")
		c.h.Book.SawOther(now, s.ID)
		return again
	case deck.AnswerNotHeld:
		discard(ex)
		c.logOffer(s, "engine does not hold the model or adapter")
		c.sawAbsent(now, s)
		return again
	default:
		ex.Abort()
		c.runs++
		c.logOffer(s, "answer is not one to this request")
		c.h.Book.SawAnswer(now, s.ID, true)
		return c.repeat()
	}
}

func (c *callRun) sawAbsent(now time.Time, s deck.Server) {
	if c.want.Adapter != "" {
		c.h.Book.SawAbsent(now, s.ID, c.want.Model, c.want.Adapter)
		delete(c.want.Tried, s.ID) // an order may put the adapter there
		c.placed = false
		c.sheds++
		return
	}
	c.h.Book.SawAbsent(now, s.ID, c.want.Model, "")
}

func (c *callRun) shed(s deck.Server) result {
	c.logOffer(s, "server refused for lack of room")
	c.sheds++
	if c.sheds >= maxSheds {
		return failed
	}
	return again
}

// enginePriority orders the calls at an engine: interactive work before batch work. Within interactive work no kind is put
// before another, since an engine interrupts running calls for more urgent ones, and both then miss their targets.
func enginePriority(r deck.Route) int {
	if r.LatencyTarget > interactiveTarget {
		return batchPriority
	}
	return interactivePriority
}

// Priorities at engines, which take 0 as the first and 9 as the last.
const (
	interactivePriority = 2
	batchPriority       = 6
	interactiveTarget   = 1 * time.Second // a caller who waits at the desk expects the first words within this time
)
