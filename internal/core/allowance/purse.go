package allowance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// useDecay is the time constant of the exponential decay of a VM's recent use.
	useDecay = time.Second

	// askedTime is the time for whose calls a VM asks ahead, lowTime the one below which it asks again. A new leader is elected in about
	// this time.
	askedTime, lowTime = 1200 * time.Millisecond, 600 * time.Millisecond

	// minUseAhead is the least number of calls in useDecay with which a VM asks ahead: rarer ones let the credit lapse. It asks for
	// leastAhead calls at least.
	minUseAhead, leastAhead = 1.2, 1.3

	// shareCalls is the size of the share that a VM wants, in its usual calls.
	shareCalls = 1.5

	// minShareUse is the least number of calls in useDecay with which a VM wants a share, maxUnshared the number below which it gives it
	// up. One with rarer calls asks so rarely that the leader often has to suppose that it is cut off.
	minShareUse, maxUnshared = 3.0, 1.5

	// minIdleTime and maxIdleTime bound the time without a call after which a VM gives back what it holds, idleCalls is that time in the
	// usual time between two calls.
	minIdleTime, maxIdleTime = 150 * time.Millisecond, 2 * time.Second
	idleCalls                = 5.0

	// keptCalls is the number of calls whose credit is not worth a message of its own to give it back.
	keptCalls = 3.0

	// maxAskInterval is the longest time until a VM asks again after a leader had no credit.
	maxAskInterval = 200 * time.Millisecond

	// unknownCustomerWait is the time until a VM asks again for a customer that the leader doesn't know.
	unknownCustomerWait = 100 * time.Millisecond

	// rounding is what sums of amounts may be too low by.
	rounding = 1e-6

	// typicalWeight is the weight of a call in the usual cost of calls.
	typicalWeight = 0.2
)

// A purse is what a VM holds of a customer's allowance.
type purse struct {
	lots []lot // those that lapse first come first

	share     share
	shareRate float64
	untold    bool      // whether a leader may take the share for another than it is
	own       float64   // what the share has filled with
	ownAt     time.Time // when it was filled last

	pending float64 // credit of calls that have not been sent to a backend server, which may come back

	waiting float64       // sum of what calls that wait count as
	calls   float64       // of those, what the next request asks for
	least   float64       // the smallest of them
	asked   chan struct{} // closed when the next request has been answered or has failed
	askSoon bool          // whether credit for calls to come is low

	deniedAt time.Time // when a leader last had no credit; zero if it always had some
	creditAt time.Time // when it will have some, by its estimate
	askAfter time.Time

	use      float64 // units of recent calls, which decay with useDecay
	usedAt   time.Time
	calledAt time.Time // of the last call
	typical  float64   // usual cost of a call
	limited  bool      // whether a call was refused since the last that wasn't, as logged
	usage    Usage
}

// record counts a call that asks for credit.
func (p *purse) record(now time.Time, cost float64) {
	p.decay(now)
	p.use, p.calledAt = p.use+cost, now
	if p.typical == 0 {
		p.typical = cost
	}
	p.typical += typicalWeight * (cost - p.typical)
}

func (p *purse) decay(now time.Time) {
	if !p.usedAt.IsZero() {
		p.use *= deck.Decay(now.Sub(p.usedAt), useDecay)
	}
	p.usedAt = now
}

// held returns the credit that has not lapsed.
func (p *purse) held(now time.Time) float64 {
	for len(p.lots) > 0 && !now.Before(p.lots[0].until) {
		p.lots = p.lots[1:]
	}
	sum := 0.0
	for _, l := range p.lots {
		sum += l.amount
	}
	return sum
}

// spend takes credit that lapses at the returned time, unless less than what is reserved would be left.
func (p *purse) spend(now time.Time, cost, reserved float64) (until time.Time, ok bool) {
	if p.held(now)+rounding < cost+reserved || len(p.lots) == 0 {
		return time.Time{}, false
	}
	until = p.lots[0].until
	for cost > rounding && len(p.lots) > 0 {
		part := min(cost, p.lots[0].amount)
		p.lots[0].amount -= part
		cost -= part
		if p.lots[0].amount <= 0 {
			p.lots = p.lots[1:]
		}
	}
	return until, true
}

// put adds credit that lapses at the given time.
func (p *purse) put(amount float64, until time.Time) {
	if amount <= 0 {
		return
	}
	i := 0
	for i < len(p.lots) && !p.lots[i].until.After(until) {
		i++
	}
	p.lots = append(p.lots[:i:i], append([]lot{{amount, until}}, p.lots[i:]...)...)
}

// spendShare takes credit from the share, which has been filling since the given time.
func (p *purse) spendShare(now, since time.Time, cost float64) bool {
	if now.Before(since) || !now.Before(p.share.until) {
		return false
	}
	if p.ownAt.Before(since) {
		p.ownAt, p.own = since, 0
	}
	p.own = min(p.share.size, p.own+p.shareRate*now.Sub(p.ownAt).Seconds())
	p.ownAt = now
	if p.own < cost {
		return false
	}
	p.own -= cost
	return true
}

// needsMessage reports whether the VM needs something now that is worth a message.
func (p *purse) needsMessage(now time.Time) bool {
	switch {
	case p.calls > 0 || p.askSoon || p.renewsShare(now):
		return true
	case p.untold && now.Sub(p.calledAt) < shareLife: // later, the leader has forgotten it
		return true
	default:
		return p.isIdle(now) && (p.share.size > 0 || p.held(now) > keptCalls*p.typical)
	}
}

// renewsShare reports whether the share has to be renewed.
func (p *purse) renewsShare(now time.Time) bool {
	return p.share.size > 0 && p.share.until.Sub(now) < shareLife/2
}

// need returns what the VM needs now; ok is false if that is nothing.
func (p *purse) need(now time.Time, name deck.CustomerName) (n deck.CreditNeed, ok bool) {
	n = deck.CreditNeed{Customer: name, Calls: p.calls, Least: p.least}
	held := p.held(now)
	if p.calls == 0 && p.isIdle(now) {
		n.Returned, n.Held = max(0, held), p.pending
		p.lots = nil
		ok = held > 0 || p.share.size > 0 || p.untold
		p.share, p.own = share{}, 0
		return n, ok
	}
	p.decay(now)
	if !now.Before(p.share.until) || p.use < maxUnshared*p.typical {
		p.share = share{}
	}
	if p.use >= minUseAhead*p.typical {
		n.Ahead = max(0, max(p.useIn(askedTime), leastAhead*p.typical)-held)
	}
	n.Held, n.Share, n.Wanted = held+p.pending, p.share.size, p.share.size
	if p.share.size < p.typical && p.use >= minShareUse*p.typical {
		n.Wanted = shareCalls * p.typical
	}
	return n, p.calls > 0 || n.Ahead > 0 || p.untold || p.renewsShare(now)
}

// isIdle reports whether there has been no call for long.
func (p *purse) isIdle(now time.Time) bool {
	idle := now.Sub(p.calledAt)
	return idle >= minIdleTime && idle.Seconds()*p.use/useDecay.Seconds() >= idleCalls*p.typical || idle >= maxIdleTime
}

// isLow reports whether the VM should ask for credit for calls to come.
func (p *purse) isLow(now time.Time) bool {
	return p.use >= minUseAhead*p.typical && p.held(now) < max(p.useIn(lowTime), p.typical) && !now.Before(p.askAfter)
}

// useIn returns what calls are expected to use in the given time.
func (p *purse) useIn(d time.Duration) float64 {
	return p.use * d.Seconds() / useDecay.Seconds()
}

// apply applies a leader's grant for a request that was sent at the given time.
func (p *purse) apply(now, sentAt time.Time, g deck.CreditGrant) {
	p.untold = false
	p.put(g.Calls, sentAt.Add(g.Lease))
	p.put(g.Ahead, sentAt.Add(g.AheadLease))
	p.usage.Granted += g.Calls + g.Ahead
	p.share, p.shareRate = share{g.Share, sentAt.Add(shareLife)}, g.ShareRate
	if g.Lease == 0 { // the leader doesn't know the customer
		g.Wait = unknownCustomerWait
	}
	if g.Wait > 0 {
		p.deniedAt, p.creditAt = now, now.Add(g.Wait)
		p.askAfter = now.Add(min(g.Wait, maxAskInterval))
	}
}
