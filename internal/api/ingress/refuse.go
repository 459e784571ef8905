package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

// retryJitterShare is the largest random addition to a retry delay, as a share of it; it keeps callers from retrying together.
const retryJitterShare = 0.5

// refuseWithoutServer refuses a call for which there is no server, with a retry delay that depends on the reason.
func (c *callRun) refuseWithoutServer(result balance.PickResult) {
	if c.possibleRuns > 0 {
		c.fail()
		return
	}
	now := time.Now()
	if result == balance.AllFull || result == balance.Restrained {
		c.h.Hedges.RecordTurnedAway(now, c.service)
	}
	retry := fullRetryAfter
	switch result {
	case balance.AllFull:
		retry = c.h.refusals.of(c.service).recordRefusal(now, c.deadline.Sub(now), fullRetryAfter)
	case balance.NoServer:
		retry = c.untilUnrestrained(now, noServerRetryAfter)
	case balance.Restrained:
		until := c.h.Balancer.RestrainedUntil(now, c.requirements)
		retry = c.h.refusals.of(c.service).recordRefusal(now, c.deadline.Sub(now), max(0, until.Sub(now)))
	case balance.ModelAbsent, balance.AdapterAbsent:
		retry = loadingRetryAfter
		if c.readyIn > 0 {
			retry = c.readyIn
		}
	}
	c.refuseNotRun(retry, result.String())
}

// untilUnrestrained returns the time until a server takes calls again if all that could run the call take none for a while, otherwise
// the given delay.
func (c *callRun) untilUnrestrained(now time.Time, otherwise time.Duration) time.Duration {
	req := c.requirements
	req.Tried = nil
	if _, result := c.h.Balancer.Pick(now, req); result != balance.Restrained {
		return otherwise
	}
	return max(0, c.h.Balancer.RestrainedUntil(now, req).Sub(now))
}

// refuseBeforeStop refuses a call that this VM's stop would cut off.
func (c *callRun) refuseBeforeStop() {
	if c.possibleRuns > 0 {
		c.fail()
		return
	}
	c.refuseNotRun(stoppingRetryAfter, "this VM stops before the call can end")
}

// refuseNotRun answers that the call has not run, with a jittered retry delay.
func (c *callRun) refuseNotRun(retry time.Duration, reason string) {
	retry += time.Duration(c.h.Random.Float64() * retryJitterShare * float64(retry))
	c.recordEnd(http.StatusServiceUnavailable, reason, "retry-after-ms", retry.Milliseconds())
	writeError(c.w, errorResponse{http.StatusServiceUnavailable, retry, "not run: " + reason})
}

// fail answers a call that can't be completed.
func (c *callRun) fail() {
	switch {
	case c.headSent:
		c.recordEnd(0, "answer interrupted")
		abortAnswer(c.w, c.r)
	case c.r.Context().Err() != nil:
		c.recordEnd(0, "caller disconnected")
		panic(http.ErrAbortHandler)
	case c.fallback != nil:
		c.recordEnd(c.fallback.status, "server error relayed")
		c.fallback.write(c.w)
	case c.possibleRuns == 0:
		c.refuseNotRun(c.untilUnrestrained(time.Now(), fullRetryAfter), "no server took the call in time")
	case errors.Is(context.Cause(c.ctx), errStopping):
		c.recordEnd(http.StatusGatewayTimeout, "this VM stops")
		writeError(c.w, errorResponse{http.StatusGatewayTimeout, 0, "the server had not finished when this VM stopped"})
	case c.ctx.Err() != nil:
		c.recordEnd(http.StatusGatewayTimeout, "deadline exceeded")
		writeError(c.w, errorResponse{http.StatusGatewayTimeout, 0, "the server did not finish in time"})
	default:
		c.recordEnd(http.StatusBadGateway, "server failed")
		writeError(c.w, errorResponse{http.StatusBadGateway, 0, "the server failed; the request may have run"})
	}
}
