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

// A Holder is the state machine of a candidate for, or the holder of, the placement lease. All times are of its own
// monotonic clock.
type Holder struct {
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

// NewHolder returns an idle candidate; drift is the relative rate by which two monotonic clocks may differ.
func NewHolder(
	dc deck.DataCentre, self deck.VMName, instance string, voters []deck.VMName, duration time.Duration, drift float64,
) *Holder {
	return &Holder{
		dc: dc, claimant: Claimant{VM: self, Instance: instance}, duration: duration, drift: drift, voters: voters,
	}
}

// Held returns the lease; ok is false if it is not held at the given time.
func (h *Holder) Held(now time.Time) (l deck.PlacementLease, ok bool) {
	return h.lease, h.lease.ValidAt(now)
}

// PreviousToken returns the highest token that the voters had confirmed before this acquisition.
func (h *Holder) PreviousToken() uint64 {
	return h.previousToken
}

// Acquire starts a new acquisition and returns the request to send to all voters.
func (h *Holder) Acquire(now time.Time) Request {
	h.claimant.Attempt++
	h.phase, h.highestProposal, h.previousToken, h.token = phaseAcquire, 0, 0, 0
	h.acquireStart, h.lease = now, deck.PlacementLease{}
	return h.newRound(now, ActAcquire)
}

// Confirm returns the request that confirms the chosen token or renews the lease; ok is false if there is nothing to
// confirm. Expired votes are never confirmed and need a new acquisition: voters that restarted since then have lost their
// state and could otherwise grant a token below that of an intermediate holder.
func (h *Holder) Confirm(now time.Time) (r Request, ok bool) {
	if h.phase != phaseConfirm || !now.Before(h.votesExpire) {
		return Request{}, false
	}
	r = h.newRound(now, ActConfirm)
	r.Token, h.sentToken = h.token, h.token
	return r, true
}

// RaiseTokenAbove makes the next confirmation use a token above the given one, which an engine or a voter has already
// seen.
func (h *Holder) RaiseTokenAbove(seen uint64) {
	if h.phase == phaseConfirm && seen >= h.token {
		h.token = seen + 1
	}
}

// TokenRaised reports whether the next confirmation has a higher token than the last one.
func (h *Holder) TokenRaised() bool {
	return h.phase == phaseConfirm && h.lease.Holder != "" && h.token > h.lease.FencingToken
}

// Release ends the lease or the acquisition and returns the request to send to all voters. An empty successor means that
// any candidate may follow.
func (h *Holder) Release(now time.Time, successor deck.VMName) Request {
	h.lease, h.phase = deck.PlacementLease{}, phaseIdle
	r := h.newRound(now, ActRelease)
	r.Successor = successor
	return r
}

// newRound starts a new round without votes and returns its request.
func (h *Holder) newRound(now time.Time, a Action) Request {
	h.round++
	h.sentAt = now
	h.votes, h.refusals = make(map[deck.VMName]bool), make(map[deck.VMName]bool)
	return Request{DataCentre: h.dc, Claimant: h.claimant, Action: a, Round: h.round}
}

// HandleResponse processes a voter's response to a request; responses to earlier rounds are ignored.
func (h *Holder) HandleResponse(voter deck.VMName, r Request, resp Response) {
	if r.Round != h.round || h.phase == phaseIdle {
		return
	}
	if !resp.Granted {
		h.refusals[voter] = true
		if resp.Holder == "" {
			h.RaiseTokenAbove(resp.Token)
		}
		return
	}
	h.votes[voter] = true
	if r.Action == ActAcquire {
		h.highestProposal, h.previousToken = max(h.highestProposal, resp.Token), max(h.previousToken, resp.Previous)
	}
	if len(h.votes) != h.majority() {
		return
	}
	if r.Action == ActAcquire {
		h.phase, h.token, h.votesExpire = phaseConfirm, h.highestProposal, h.expiry()
		return
	}
	h.extendLease()
}

func (h *Holder) extendLease() {
	h.votesExpire = h.expiry()
	h.lease = deck.PlacementLease{
		DataCentre: h.dc, Holder: h.claimant.VM, FencingToken: h.sentToken, Expires: h.votesExpire,
	}
}

// expiry returns the earliest time at which a vote of the current round may expire: the lease duration, shortened by the
// drift bound, counted from when the request was sent.
func (h *Holder) expiry() time.Time {
	return h.sentAt.Add(time.Duration(float64(h.duration) * (1 - h.drift)))
}

// Decided reports whether the outcome of the current round is certain, and whether a majority granted the request.
func (h *Holder) Decided() (decided, won bool) {
	won = len(h.votes) >= h.majority()
	return won || len(h.refusals) > len(h.voters)-h.majority(), won
}

func (h *Holder) majority() int {
	return len(h.voters)/2 + 1
}
