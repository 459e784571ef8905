package ingress

import (
	"net/http"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/allowance"
)

const (
	// creditWaitShare is the share of the latency target that a call waits for credit of its customer.
	creditWaitShare = 0.5

	// minCreditWait covers the round trips between regions of the request for credit that is on its way, and of the next one.
	minCreditWait = 200 * time.Millisecond
)

// awaitCredit counts the call against its customer's allowance. It returns false if there was no credit; the caller has been answered then.
func (c *callRun) awaitCredit() bool {
	if c.h.Allowances == nil || !c.hasCustomer || !c.customer.Allowance.Limited() {
		return true
	}
	begun := time.Now()
	maxWait := max(minCreditWait, time.Duration(creditWaitShare*float64(c.route.LatencyTarget)))
	d := c.h.Allowances.Take(c.ctx, c.customer, c.customer.Allowance.Cost(c.call), maxWait)
	c.creditWait = time.Since(begun)
	switch {
	case d.Admitted:
		c.credit = d.Credit
		return true
	case c.ctx.Err() != nil:
		c.fail()
	case d.Over:
		c.refuseOverAllowance(d)
	default:
		c.refuseNotRun(d.Wait, "no control VM grants credit of the customer's allowance")
	}
	return false
}

// refuseOverAllowance answers that the customer's allowance is used up, and when there will be credit.
func (c *callRun) refuseOverAllowance(d allowance.Decision) {
	retry := d.Wait + time.Duration(c.h.Random.Float64()*retryJitterShare*float64(d.Wait))
	const reason = "the customer's allowance is used up"
	c.recordEnd(http.StatusTooManyRequests, reason, "retry-after-ms", retry.Milliseconds())
	writeError(c.w, errorResponse{http.StatusTooManyRequests, retry, "not run: " + reason})
}

// returnCredit gives the call's credit back unless a server may have run it.
func (c *callRun) returnCredit() {
	if c.h.Allowances != nil && c.possibleRuns == 0 && !c.hasRun {
		c.h.Allowances.Return(&c.credit)
	}
}

// recordCreditSent says that the call is sent to a server.
func (c *callRun) recordCreditSent() {
	if c.h.Allowances != nil {
		c.h.Allowances.Sent(&c.credit)
	}
}
