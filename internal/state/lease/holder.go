package lease

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A phase is the stage of an acquisition.
type phase int

const (
	phaseIdle phase = iota
	phaseAcquire
	phaseConfirm // a token is chosen; also while the lease is held
)

// A Holder is a candidate for, or the holder of, the placement lease. Times are by its own monotonic clock.
type Holder struct {
	dc       deck.DataCentre
	claimant Claimant
	duration time.Duration
	drift    float64
	voters   []deck.VMName

	phase    phase
	round    uint64
	sentAt     time.Time // when the current round was sent
	acquireStart time.Time // when the current acquisition was started
	votes    map[deck.VMName]bool
	refusals map[deck.VMName]bool
	highestProposal uint64    // highest proposal of the current acquisition
	previousToken uint64    // highest token confirmed before the current acquisition
	token    uint64    // of the confirmation in progress
	sentToken    uint64    // token of the round that was sent last
	votesExpire    time.Time // no confirmation is sent from then on
	lease    deck.PlacementLease
}

// NewHolder returns a candidate that is idle.
func NewHolder(
	dc deck.DataCentre, self deck.VMName, instance string, voters []deck.VMName, duration time.Duration, drift float64,
) *Holder {
	return &Holder{
		dc: dc, claimant: Claimant{VM: self, Instance: instance}, duration: duration, drift: drift, voters: voters,
	}
}

// Held returns the lease; ok is false if it is not held now.
func (h *Holder) Held(now time.Time) (l deck.PlacementLease, ok bool) {
	return h.lease, h.lease.ValidAt(now)
}

// PreviousToken returns the highest token that was confirmed before this acquisition.
func (h *Holder) PreviousToken() uint64 {
	return h.previousToken
}

// Acquire starts a new acquisition and returns the request for all voters.
func (h *Holder) Acquire(now time.Time) Request {
	h.claimant.Attempt++
	h.phase, h.highestProposal, h.previousToken, h.token = phaseAcquire, 0, 0, 0
	h.acquireStart, h.lease = now, deck.PlacementLease{}
	return h.newRound(now, ActAcquire)
}

// Confirm returns the request that confirms the chosen token, or renews the lease; ok is false if there is nothing to
// confirm. Votes that have expired are not confirmed but acquired anew: voters that lost their memory since could
// otherwise grant a token that is lower than that of a holder in between.
func (h *Holder) Confirm(now time.Time) (r Request, ok bool) {
	if h.phase != phaseConfirm || !now.Before(h.votesExpire) {
		return Request{}, false
	}
	r = h.newRound(now, ActConfirm)
	r.Token, h.sentToken = h.token, h.token
	return r, true
}

// RaiseTokenAbove makes the next confirmation use a token above the given one, which an engine or voter has seen.
func (h *Holder) RaiseTokenAbove(seen uint64) {
	if h.phase == phaseConfirm && seen >= h.token {
		h.token = seen + 1
	}
}

// TokenRaised reports whether the next confirmation has a higher token than the last one.
func (h *Holder) TokenRaised() bool {
	return h.phase == phaseConfirm && h.lease.Holder != "" && h.token > h.lease.FencingToken
}

// Release ends the lease or acquisition and returns the request that tells the voters; a successor may be empty.
func (h *Holder) Release(now time.Time, successor deck.VMName) Request {
	h.lease, h.phase = deck.PlacementLease{}, phaseIdle
	r := h.newRound(now, ActRelease)
	r.Successor = successor
	return r
}

func (h *Holder) newRound(now time.Time, a Action) Request {
	h.round++
	h.sentAt = now
	h.votes, h.refusals = make(map[deck.VMName]bool), make(map[deck.VMName]bool)
	return Request{DataCentre: h.dc, Claimant: h.claimant, Action: a, Round: h.round}
}

// HandleResponse takes a voter's answer to a request; answers to earlier rounds are ignored.
func (h *Holder) HandleResponse(voter deck.VMName, r Request, a Response) {
	if r.Round != h.round || h.phase == phaseIdle {
		return
	}
	if !a.Granted {
		h.refusals[voter] = true
		if a.Holder == "" {
			h.RaiseTokenAbove(a.Token)
		}
		return
	}
	h.votes[voter] = true
	if r.Action == ActAcquire {
		h.highestProposal, h.previousToken = max(h.highestProposal, a.Token), max(h.previousToken, a.Previous)
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

// extendLease extends the lease.
func (h *Holder) extendLease() {
	h.votesExpire = h.expiry()
	h.lease = deck.PlacementLease{
		DataCentre: h.dc, Holder: h.claimant.VM, FencingToken: h.sentToken, Expires: h.votesExpire,
	}
}

// expiry returns when votes of the current round end at the earliest: counted from before the request was sent and
// shortened by the drift bound.
func (h *Holder) expiry() time.Time {
	return h.sentAt.Add(time.Duration(float64(h.duration) * (1 - h.drift)))
}

// Decided reports whether the current round has a majority, or can no longer get one.
func (h *Holder) Decided() (decided, won bool) {
	won = len(h.votes) >= h.majority()
	return won || len(h.refusals) > len(h.voters)-h.majority(), won
}

func (h *Holder) majority() int {
	return len(h.voters)/2 + 1
}
