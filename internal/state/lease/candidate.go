package lease

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A phase is the state of an acquisition.
type phase int

const (
	phaseIdle phase = iota
	phaseAcquire
	phaseConfirm // the fencing token is chosen; the phase lasts while the lease is held
)

// A Candidate is the state machine with which a VM acquires, renews and releases the placement lease, also while the VM holds
// it. All times are of its own monotonic clock.
type Candidate struct {
	dc       deck.DataCentre
	claimant Claimant
	duration time.Duration
	drift    float64
	voters   []deck.VMName

	phase           phase
	round           uint64
	sentAt          time.Time // when the current round was sent
	acquireStart    time.Time // when the current acquisition started
	votes           map[deck.VMName]bool
	refusals        map[deck.VMName]bool
	highestProposal uint64    // highest token proposed in the current acquisition
	previousToken   uint64    // highest token that the voters of the current acquisition had confirmed before
	token           uint64    // token of the next confirmation
	sentToken       uint64    // token of the last confirmation that was sent
	votesExpire     time.Time // when the first votes may expire; no confirmation is sent from then on
	lease           deck.PlacementLease
}

// NewCandidate returns an idle candidate; drift is the relative rate by which two monotonic clocks may differ.
func NewCandidate(
	dc deck.DataCentre, self deck.VMName, instance string, voters []deck.VMName, duration time.Duration, drift float64,
) *Candidate {
	return &Candidate{
		dc: dc, claimant: Claimant{VM: self, Instance: instance}, duration: duration, drift: drift, voters: voters,
	}
}

// Held returns the lease; ok is false if it is not held at the given time.
func (c *Candidate) Held(now time.Time) (l deck.PlacementLease, ok bool) {
	return c.lease, c.lease.ValidAt(now)
}

// PreviousToken returns the highest token that the voters had confirmed before this acquisition.
func (c *Candidate) PreviousToken() uint64 {
	return c.previousToken
}

// Acquire starts a new acquisition and returns the request to send to all voters.
func (c *Candidate) Acquire(now time.Time) Request {
	c.claimant.Attempt++
	c.phase, c.highestProposal, c.previousToken, c.token = phaseAcquire, 0, 0, 0
	c.acquireStart, c.lease = now, deck.PlacementLease{}
	return c.newRound(now, ActAcquire)
}

// Confirm returns the request that confirms the chosen token or renews the lease; ok is false if there is nothing to
// confirm. Expired votes are never confirmed and need a new acquisition: voters that restarted since then have lost their
// state and could otherwise grant a token below that of an intermediate holder.
func (c *Candidate) Confirm(now time.Time) (r Request, ok bool) {
	if c.phase != phaseConfirm || !now.Before(c.votesExpire) {
		return Request{}, false
	}
	r = c.newRound(now, ActConfirm)
	r.Token, c.sentToken = c.token, c.token
	return r, true
}

// RaiseTokenAbove makes the next confirmation use a token above the given one, which an engine or a voter has already
// seen.
func (c *Candidate) RaiseTokenAbove(seen uint64) {
	if c.phase == phaseConfirm && seen >= c.token {
		c.token = seen + 1
	}
}

// TokenRaised reports whether the next confirmation has a higher token than the last one.
func (c *Candidate) TokenRaised() bool {
	return c.phase == phaseConfirm && c.lease.Holder != "" && c.token > c.lease.FencingToken
}

// Release ends the lease or the acquisition and returns the request to send to all voters. An empty successor means that
// any candidate may follow.
func (c *Candidate) Release(now time.Time, successor deck.VMName) Request {
	c.lease, c.phase = deck.PlacementLease{}, phaseIdle
	r := c.newRound(now, ActRelease)
	r.Successor = successor
	return r
}

// newRound starts a new round without votes and returns its request.
func (c *Candidate) newRound(now time.Time, a Action) Request {
	c.round++
	c.sentAt = now
	c.votes, c.refusals = make(map[deck.VMName]bool), make(map[deck.VMName]bool)
	return Request{DataCentre: c.dc, Claimant: c.claimant, Action: a, Round: c.round}
}

// HandleResponse processes a voter's response to a request; responses to earlier rounds are ignored.
func (c *Candidate) HandleResponse(voter deck.VMName, r Request, resp Response) {
	if r.Round != c.round || c.phase == phaseIdle {
		return
	}
	if !resp.Granted {
		c.refusals[voter] = true
		if resp.Holder == "" {
			c.RaiseTokenAbove(resp.Token)
		}
		return
	}
	c.votes[voter] = true
	if r.Action == ActAcquire {
		c.highestProposal, c.previousToken = max(c.highestProposal, resp.Token), max(c.previousToken, resp.Previous)
	}
	if len(c.votes) != c.majority() {
		return
	}
	if r.Action == ActAcquire {
		c.phase, c.token, c.votesExpire = phaseConfirm, c.highestProposal, c.expiry()
		return
	}
	c.extendLease()
}

func (c *Candidate) extendLease() {
	c.votesExpire = c.expiry()
	c.lease = deck.PlacementLease{
		DataCentre: c.dc, Holder: c.claimant.VM, FencingToken: c.sentToken, Expires: c.votesExpire,
	}
}

// expiry returns the earliest time at which a vote of the current round may expire: the lease duration, shortened by the
// drift bound, counted from when the request was sent.
func (c *Candidate) expiry() time.Time {
	return c.sentAt.Add(time.Duration(float64(c.duration) * (1 - c.drift)))
}

// Decided reports whether the outcome of the current round is certain, and whether a majority granted the request.
func (c *Candidate) Decided() (decided, won bool) {
	won = len(c.votes) >= c.majority()
	return won || len(c.refusals) > len(c.voters)-c.majority(), won
}

func (c *Candidate) majority() int {
	return len(c.voters)/2 + 1
}
