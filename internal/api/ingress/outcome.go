package ingress

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// handleSendError handles an offer that got no answer.
func (c *callRun) handleSendError(s deck.Server, err error) offerResult {
	now := time.Now()
	var send *http1.SendError
	sent := !errors.As(err, &send) || send.MaybeSent
	c.logFailedOffer(s, err.Error())
	callerEnded := c.ctx.Err() != nil
	if sent {
		c.possibleRuns++
	}
	if callerEnded {
		return failed
	}
	if !errors.Is(err, errNoAnswer) || !c.h.Balancer.HasAnsweredSince(s.ID, c.sentAt) {
		c.h.Balancer.RecordUnreachable(now, s.ID)
	}
	if closedByServer(err) {
		c.h.Balancer.RecordBrokenConnection(s.ID)
	}
	if !sent {
		return tryAnother
	}
	if !errors.Is(err, errNoAnswer) {
		c.recordPossibleCrash(now, s, err)
	}
	return c.retryResult()
}

// closedByServer reports whether the server itself closed or reset the connection; a network partition shows as a timeout
// instead. A connection that was idle for longer does not count, since servers may drop idle ones.
func closedByServer(err error) bool {
	var send *http1.SendError
	if errors.As(err, &send) && send.IdleTime > nonRepeatableMaxIdle {
		return false
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// retryResult returns tryAnother if a call that may have run may be sent to another server, and else failed.
func (c *callRun) retryResult() offerResult {
	if c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts && !c.h.Poison.IsOneCrashShort(c.repetitions) &&
		!c.h.Poison.IsBlamed(c.parts) {
		return tryAnother
	}
	return failed
}

// handleAnswer acts on the head of an answer.
func (c *callRun) handleAnswer(s deck.Server, ex *http1.Exchange, answer deck.Answer) offerResult {
	now := time.Now()
	if answer.HasLoad {
		c.h.Balancer.RecordLoad(now, s.ID, answer.Load)
	}
	c.unqueued = answer.HasLoad && answer.Load.Waiting == 0
	if answer.Verdict != deck.AnswerOtherCall && answer.Verdict != deck.AnswerOtherServer {
		if answer.Verdict == deck.AnswerComplete || answer.Verdict == deck.AnswerNotRun {
			answer.Notice.SentAt = c.sentAt
		}
		c.h.Restraints.ObserveNotice(now, s.ID, s.Incarnation(), answer.Notice)
	}
	switch answer.Verdict {
	case deck.AnswerComplete:
		c.hasRun = true
		return c.relay(s, ex)
	case deck.AnswerNotRun:
		discard(ex)
		c.h.Balancer.RecordFull(now, s.ID)
		c.h.Hedges.RecordTurnedAway(now, c.service)
		return c.handleRefusedOffer(s, ex.Earlier)
	case deck.AnswerOtherServer:
		discard(ex)
		c.logFailedOffer(s, "address belongs to another server", "connection-calls", ex.Earlier)
		c.h.Balancer.RecordIdentityMismatch(now, s.ID)
		return tryAnother
	case deck.AnswerNotLoaded:
		discard(ex)
		c.logFailedOffer(s, "engine has not loaded the model or adapter", "connection-calls", ex.Earlier)
		c.recordAbsent(now, s)
		return tryAnother
	default:
		ex.Abort()
		c.possibleRuns++
		c.logFailedOffer(s, "answer is unproven or belongs to another request", "connection-calls", ex.Earlier)
		c.h.Balancer.RecordResult(now, s.ID, true)
		return c.retryResult()
	}
}

// recordAbsent records that the engine does not hold the call's model or adapter.
func (c *callRun) recordAbsent(now time.Time, s deck.Server) {
	if c.requirements.Adapter != "" {
		c.h.Balancer.RecordAbsent(now, s.ID, c.requirements.Model, c.requirements.Adapter)
		delete(c.requirements.Tried, s.ID) // the placement leader may load the adapter there
		c.placementRequested = false
		c.refusedOffers++
		return
	}
	c.h.Balancer.RecordAbsent(now, s.ID, c.requirements.Model, "")
}

// handleRefusedOffer handles a refusal over a connection that had carried the given number of calls before.
func (c *callRun) handleRefusedOffer(s deck.Server, earlierCalls int) offerResult {
	c.logFailedOffer(s, "server refused the call for lack of capacity", "connection-calls", earlierCalls)
	c.refusedOffers++
	if c.refusedOffers >= maxRefusedOffers {
		return failed
	}
	return tryAnother
}
