package lease

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Voter grants one vote for the placement lease of a data centre. It keeps its state in memory only. All times are of
// the voter's own clock.
type Voter struct {
	duration      time.Duration
	noGrantBefore time.Time // a vote that was granted before a restart may be valid until then

	claimant       Claimant // who has the vote; zero if nobody
	expires        time.Time
	highestToken   uint64   // highest token that was proposed or confirmed
	tokenOwner     Claimant // claimant that highestToken was proposed to or confirmed for
	confirmedToken uint64   // highest token that was confirmed

	lastReleased  Claimant // last claimant that released the vote; its late requests are refused
	successor     deck.VMName
	reservedUntil time.Time // only the successor gets the vote until then
}

// NewVoter returns a voter that grants no vote for one lease duration from now.
func NewVoter(now time.Time, duration time.Duration) *Voter {
	return &Voter{duration: duration, noGrantBefore: now.Add(duration)}
}

// Holder returns the VM that has the vote; ok is false if the vote is free.
func (v *Voter) Holder(now time.Time) (vm deck.VMName, ok bool) {
	return v.claimant.VM, v.claimant.VM != "" && now.Before(v.expires)
}

// GrantDelay returns the time until the voter may grant its vote to the VM.
func (v *Voter) GrantDelay(now time.Time, vm deck.VMName) time.Duration {
	grantAt := v.noGrantBefore
	if _, ok := v.Holder(now); ok && v.expires.After(grantAt) {
		grantAt = v.expires
	}
	if v.successor != vm && v.reservedUntil.After(grantAt) {
		grantAt = v.reservedUntil
	}
	return max(grantAt.Sub(now), 0)
}

// Handle processes a request that arrived at the monotonic time now; wall is the voter's wall clock.
func (v *Voter) Handle(now, wall time.Time, r Request) Response {
	if r.Action == ActRelease {
		v.release(now, r)
		return Response{Granted: true, Wall: wall}
	}
	if refusal, ok := v.refuse(now, r); ok {
		refusal.Wall = wall
		return refusal
	}
	response := Response{Granted: true, Previous: v.confirmedToken, Wall: wall}
	switch {
	case r.Action == ActConfirm:
		v.highestToken, v.confirmedToken = r.Token, max(v.confirmedToken, r.Token)
	case v.tokenOwner != r.Claimant:
		v.highestToken = max(v.highestToken+1, uint64(max(wall.UnixMilli(), 0)))
	}
	v.tokenOwner, v.claimant = r.Claimant, r.Claimant
	v.expires = now.Add(v.duration)
	response.Token = v.highestToken
	return response
}

// refuse reports whether a request has to be refused, and returns the response in that case.
func (v *Voter) refuse(now time.Time, r Request) (Response, bool) {
	refusal := Response{Token: v.highestToken, Previous: v.confirmedToken, Remaining: v.GrantDelay(now, r.Claimant.VM)}
	if now.Before(v.noGrantBefore) {
		return refusal, true
	}
	if holder, ok := v.Holder(now); ok && !v.sameProcess(r.Claimant) {
		refusal.Holder = holder
		return refusal, true
	}
	if v.successor != r.Claimant.VM && now.Before(v.reservedUntil) {
		return refusal, true
	}
	return refusal, v.outdated(r)
}

// sameProcess reports whether the claimant is of the process that has the vote.
func (v *Voter) sameProcess(c Claimant) bool {
	return v.claimant.VM == c.VM && v.claimant.Instance == c.Instance
}

// outdated reports whether a request is older than the voter's state. A claimant must exceed, not equal, a token that
// another claimant has set.
func (v *Voter) outdated(r Request) bool {
	c := r.Claimant
	if v.lastReleased.VM == c.VM && v.lastReleased.Instance == c.Instance && c.Attempt <= v.lastReleased.Attempt {
		return true
	}
	if v.sameProcess(c) && c.Attempt < v.claimant.Attempt {
		return true
	}
	if r.Action != ActConfirm {
		return false
	}
	return r.Token < v.highestToken || r.Token == v.highestToken && v.tokenOwner != c
}

// release frees the vote if the claimant has it. A successor gets the vote ahead of others for one lease duration.
func (v *Voter) release(now time.Time, r Request) {
	if v.claimant != r.Claimant {
		return
	}
	v.lastReleased, v.claimant, v.expires = r.Claimant, Claimant{}, now
	if r.Successor != "" {
		v.successor, v.reservedUntil = r.Successor, now.Add(v.duration)
	}
}
