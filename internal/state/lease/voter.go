package lease

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Voter is one vote for the placement lease of a data centre. It keeps its state in memory only. Times are by the
// voter's own clock.
type Voter struct {
	duration time.Duration
	noGrantBefore    time.Time // it grants nothing before, since it may have granted before its restart

	claimant  Claimant // who has the vote
	expires   time.Time
	highestToken   uint64 // highest token proposed or confirmed
	tokenOwner     Claimant
	confirmedToken uint64 // highest token confirmed

	lastReleased  Claimant // last released claim, which takes no late request
	successor deck.VMName
	reservedUntil  time.Time // until then only the successor is granted
}

// NewVoter returns a voter that grants nothing for one lease duration from now.
func NewVoter(now time.Time, duration time.Duration) *Voter {
	return &Voter{duration: duration, noGrantBefore: now.Add(duration)}
}

// Holder returns who has the vote; ok is false if nobody has.
func (v *Voter) Holder(now time.Time) (vm deck.VMName, ok bool) {
	return v.claimant.VM, v.claimant.VM != "" && now.Before(v.expires)
}

// GrantDelay returns how long it takes until the voter may grant a vote to the VM.
func (v *Voter) GrantDelay(now time.Time, vm deck.VMName) time.Duration {
	free := v.noGrantBefore
	if _, ok := v.Holder(now); ok && v.expires.After(free) {
		free = v.expires
	}
	if v.successor != vm && v.reservedUntil.After(free) {
		free = v.reservedUntil
	}
	return max(free.Sub(now), 0)
}

// Handle answers a request that arrived now; wall is the voter's wall clock.
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

// refuse returns the refusal of a request, if it has to be refused.
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

// sameProcess reports whether a request comes from the process that has the vote.
func (v *Voter) sameProcess(c Claimant) bool {
	return v.claimant.VM == c.VM && v.claimant.Instance == c.Instance
}

// outdated reports whether a request is older than what the voter knows. A token that another claimant has set must be
// exceeded, not equalled.
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

// release frees the vote if the claim has it. A successor is preferred for one lease duration.
func (v *Voter) release(now time.Time, r Request) {
	if v.claimant != r.Claimant {
		return
	}
	v.lastReleased, v.claimant, v.expires = r.Claimant, Claimant{}, now
	if r.Successor != "" {
		v.successor, v.reservedUntil = r.Successor, now.Add(v.duration)
	}
}
