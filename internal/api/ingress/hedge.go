package ingress

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	"github.com/geraniumdeck/geraniumdeck/internal/route/hedge"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/eventstream"
)

const (
	// hedgeReserve is the share of the retry budget that second sends leave for calls whose server has failed.
	hedgeReserve = 0.5

	// noQueue as the longest acceptable wait admits servers with a free slot only.
	noQueue = 1 * time.Nanosecond
)

var errOtherAnswered = errors.New("another server has answered the call")

// A send is one send of a call that may be sent to two servers at a time.
type send struct {
	offer  offered
	ctx    context.Context
	cancel context.CancelCauseFunc
	room   *inbound.Hold // of what is read before the answer is relayed
	onHead func()        // called when the head of a stream has come; nil for nothing
	done   chan struct{} // closed when the fields below are set

	ex      *http1.Exchange
	answer  deck.Answer
	err     error
	began   bool          // the server has sent the head of a stream
	latency time.Duration // from the send to the head of the answer, of a stream to its first event
}

// isEnded reports whether the answer has begun or the send has failed.
func (s *send) isEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// isWhole reports whether the server has begun an answer that the caller can have. It may be called once the send has ended.
func (s *send) isWhole() bool {
	return s.err == nil && s.answer.Verdict == deck.AnswerComplete && s.ex.Response.StatusCode < http.StatusInternalServerError
}

// mayHedge reports whether the call may be sent to a second server while the first one works on it.
func (c *callRun) mayHedge(now time.Time) bool {
	return c.h.Hedges.Enabled() && hedge.Call{
		Repeatable: c.route.Repeatable(), Begun: c.headSent, Stopping: c.h.callsEnd.Load() != nil,
		Suspect:      c.onTrial || c.h.Poison.IsSuspect(now, c.fingerprint(), c.withRepetitions(c.parts)),
		PossibleRuns: c.possibleRuns, MaxAttempts: c.route.MaxAttempts,
	}.Eligible()
}

func (c *callRun) hedgeKey() hedge.Key {
	return hedge.Key{Route: c.route.Name, Model: c.requirements.Model}
}

// offerHedged sends the call to the server, and to a second one if the first is slow, and relays the answer that begins first.
func (c *callRun) offerHedged(o offered, remaining time.Duration) offerResult {
	room := c.h.Memory.Open(inbound.Answers, nil)
	defer room.Release() // after both sends have ended
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	first := newSend(ctx, o, room)
	stopWatch := c.watchAnswer(first.ctx, first.cancel, 1)
	first.onHead = stopWatch
	c.begin(&group, first, remaining)
	second := c.startSecond(ctx, &group, first)
	if second != nil {
		defer second.offer.end()
		stopWatch()
		return c.race(first, second)
	}
	<-first.done
	stopWatch()
	if first.isWhole() {
		c.h.Hedges.RecordLatency(time.Now(), c.hedgeKey(), first.latency)
	}
	return c.finish(first)
}

func newSend(ctx context.Context, o offered, room *inbound.Hold) *send {
	ctx, cancel := context.WithCancelCause(ctx)
	return &send{offer: o, ctx: ctx, cancel: cancel, room: room, done: make(chan struct{})}
}

// begin sends the call to the server.
func (c *callRun) begin(group *sync.WaitGroup, s *send, remaining time.Duration) {
	req := c.backendRequest(s.offer.server, remaining)
	call := *c // as it is now; the call goes on meanwhile
	call.requirements.Tried = maps.Clone(c.requirements.Tried)
	group.Go(func() {
		defer close(s.done)
		s.run(&call, req)
	})
}

// run sends the request and waits for the head of its answer; of a stream, for the first event.
func (s *send) run(c *callRun, req *http1.Request) {
	s.ex, s.err = c.h.Client.Do(s.ctx, s.offer.server.Address, req)
	if s.err == nil {
		s.answer, s.err = c.readAnswer(s.ctx, s.offer.server, s.ex)
	}
	if s.err == nil && s.answer.Verdict == deck.AnswerComplete && c.isStream(s.ex.Response) {
		s.awaitFirstEvent(c)
	}
	s.latency = time.Since(s.offer.sentAt)
}

// awaitFirstEvent waits for the first event of the stream, for as long as a stream without events may pause.
func (s *send) awaitFirstEvent(c *callRun) {
	s.began = true
	if s.onHead != nil {
		s.onHead()
	}
	c.possibleRuns++
	var settled atomic.Bool // by the first event or by the abort
	stall := time.AfterFunc(c.stallLimit(), c.abortOnStall(func() {
		if settled.CompareAndSwap(false, true) {
			s.ex.Abort()
		}
	}))
	defer stall.Stop()
	err := readFirstEvent(s.ex.Response, s.room)
	if !settled.CompareAndSwap(false, true) && err == nil {
		err = errNoAnswer
	}
	if err == nil {
		return
	}
	s.ex.Abort()
	if s.ctx.Err() != nil {
		err = context.Cause(s.ctx)
	}
	s.err = &http1.SendError{MaybeSent: true, Err: err}
}

// readFirstEvent reads a stream up to its first event or its end, and puts what it has read before the rest of the body.
func readFirstEvent(resp *http.Response, room *inbound.Hold) error {
	read := heldBuffer{room: room}
	body := resp.Body
	events := newEventReader(io.TeeReader(body, &read), "", room)
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&read.Buffer, body), body}
	for read.Len() < firstAnswerBytes {
		_, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case events.fields:
			return nil
		}
	}
	return nil
}

// A heldBuffer is a buffer that takes room for what exceeds freeEventBytes.
type heldBuffer struct {
	bytes.Buffer
	room *inbound.Hold
}

// Write implements io.Writer.Write.
func (b *heldBuffer) Write(p []byte) (int, error) {
	size := 2 * len(p) // bytes.Buffer grows to twice its size
	if b.Len()+len(p) > freeEventBytes && !b.room.Grow(int64(size)) {
		return 0, errNoRoom
	}
	return b.Buffer.Write(p)
}

// startSecond waits until the first send has ended or is late. If it is late and a second one is allowed, it starts that; otherwise it
// returns nil.
func (c *callRun) startSecond(ctx context.Context, group *sync.WaitGroup, first *send) *send {
	delay, ok := c.h.Hedges.Delay(first.offer.sentAt, c.hedgeKey())
	if !ok {
		return nil
	}
	late := time.NewTimer(time.Until(first.offer.sentAt.Add(delay)))
	defer late.Stop()
	select {
	case <-first.done:
		return nil
	case <-late.C:
	}
	now := time.Now()
	remaining := c.deadline.Sub(now)
	if _, ok := c.recheckKey(); !ok || remaining < minRemaining || !c.mayHedge(now) || !c.h.Hedges.Allows(now, c.service) {
		return nil
	}
	s, ok := c.pickSecond(now)
	if !ok || !c.h.Hedges.TakeSend(now, func() bool { return c.h.Budget.TakeRetryAbove(now, c.service, hedgeReserve) }) {
		return nil
	}
	second := newSend(ctx, c.beginOffer(s, now), first.room)
	c.begin(group, second, remaining)
	return second
}

// pickSecond returns a server that takes a further send now without a permit. It returns false if there is none.
func (c *callRun) pickSecond(now time.Time) (deck.Server, bool) {
	req := c.requirements
	req.Unlimited, req.MaxWait = true, noQueue
	s, result := c.h.Balancer.Pick(now, req)
	ok := result == balance.Chosen && c.h.Balancer.IsSuitable(now, s.ID, req) &&
		c.h.Restraints.Admit(c.ctx, s.ID, s.Incarnation())
	return s, ok
}

// race relays the answer of the send that begins to answer first and cancels the other. If one fails, the other decides.
func (c *callRun) race(first, second *send) offerResult {
	both := func(err error) {
		first.cancel(err)
		second.cancel(err)
	}
	stopWatch := c.watchAnswer(c.ctx, both, 2)
	ended, other := first, second
	select {
	case <-first.done:
	case <-second.done:
		ended, other = second, first
	}
	if !ended.isWhole() {
		<-other.done
		ended, other = other, ended
	}
	stopWatch()
	cancelled := c.concede(other, ended.isWhole())
	c.recordRace(first, second, ended, cancelled)
	return c.finish(ended)
}

// recordRace records which of two sends decides the call, and whether the other was cancelled.
func (c *callRun) recordRace(first, second, decisive *send, cancelled bool) {
	now := time.Now()
	won := decisive == second && second.isWhole()
	switch {
	case first.isWhole():
		c.h.Hedges.RecordLatency(now, c.hedgeKey(), first.latency)
	case cancelled:
		c.h.Hedges.RecordLatency(now, c.hedgeKey(), now.Sub(first.offer.sentAt))
	}
	c.h.Hedges.RecordEnd(now, c.hedgeKey(), won, cancelled, c.call.PromptTokens)
	c.h.Log.Info("call was sent to two servers", "request", string(c.call.ID), "first", string(first.offer.server.ID),
		"second", string(second.offer.server.ID), "second-after-ms", second.offer.sentAt.Sub(first.offer.sentAt).Milliseconds(),
		"elapsed-ms", now.Sub(first.offer.sentAt).Milliseconds(), "second-won", won, "cancelled", cancelled)
}

// concede ends a send that does not decide the call: it cancels it, or acts on its failure. answered says that the other send has brought
// an answer. It reports whether the send was cancelled.
func (c *callRun) concede(s *send, answered bool) (cancelled bool) {
	defer s.offer.end()
	if !s.isEnded() || s.isWhole() {
		s.cancel(errOtherAnswered)
		<-s.done
		c.recordCancelled(s)
		return true
	}
	if s.err == nil && s.answer.Verdict == deck.AnswerComplete {
		c.keepError(s, answered)
		return false
	}
	c.finish(s) // can't answer the caller, since the server has not answered the call
	return false
}

// recordCancelled closes the connection of a cancelled send. A server that has left such sends unanswered for so long that a send without
// a second one would have been given up is avoided.
func (c *callRun) recordCancelled(s *send) {
	var failure *http1.SendError
	if s.err == nil {
		s.ex.Abort()
	}
	if !errors.As(s.err, &failure) || failure.MaybeSent {
		c.possibleRuns++
	}
	now := time.Now()
	id := s.offer.server.ID
	silence := c.h.Hedges.Silence(now, id, s.offer.sentAt, func(t time.Time) bool {
		return s.began || c.h.Balancer.HasAnsweredSince(id, t)
	})
	if c.route.LatencyTarget > 0 && silence >= c.answerTimeout() {
		c.logFailedOffer(s.offer.server, "server has answered nothing for some time", "silence-ms", silence.Milliseconds())
		c.h.Balancer.RecordUnreachable(now, id)
	}
}

// keepError acts on a server's error, and keeps it for the caller unless the other send has brought an answer.
func (c *callRun) keepError(s *send, answered bool) {
	resp := s.ex.Response
	c.hasRun = true
	c.possibleRuns++
	c.h.Balancer.RecordResult(time.Now(), s.offer.server.ID, true)
	c.logFailedOffer(s.offer.server, "server answered with an error", "status", resp.StatusCode)
	if !answered {
		if body, err := c.readAhead(resp); errors.Is(err, io.EOF) {
			s.ex.Release()
			c.fallback = &bufferedAnswer{resp.StatusCode, resp.Header, body}
			return
		}
	}
	s.ex.Abort()
}

// finish acts on a send that has ended.
func (c *callRun) finish(s *send) offerResult {
	c.offered = s.offer
	c.headReceived = s.began
	if s.err != nil {
		return c.handleSendError(s.offer.server, s.err)
	}
	return c.handleAnswer(s.offer.server, s.ex, s.answer)
}

// isStream reports whether a server's answer is the stream that the call asks for.
func (c *callRun) isStream(resp *http.Response) bool {
	return c.route.Kind == deck.CallStream && resp.StatusCode == http.StatusOK && eventstream.IsStream(resp.Header)
}
