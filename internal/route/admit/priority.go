package admit

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	interactivePriority = 100
	batchPriority       = 0
	// LongAnswerTokens is several times the length of an ordinary answer. Longer answers may be preempted.
	LongAnswerTokens = 1024
	// Each doubling of the generated tokens beyond freeTokens lowers the priority by penaltyPerDoubling.
	freeTokens         = 256
	penaltyPerDoubling = 10
	maxTokenPenalty    = 60
	// waitBonusPerSecond lets a long answer that waits overtake new work of its class after a minute at the latest.
	waitBonusPerSecond = 1
	maxWaitBonus       = maxTokenPenalty
)

// Priority returns an attempt's priority, higher first. It falls with the tokens generated so far and rises with the time
// since the request arrived.
func Priority(c deck.Class, tokensGenerated int, sinceArrival time.Duration) int {
	base := interactivePriority
	if c == deck.Batch {
		base = batchPriority
	}
	penalty := 0.0
	if tokensGenerated > freeTokens {
		penalty = penaltyPerDoubling * math.Log2(float64(tokensGenerated)/freeTokens)
	}
	bonus := waitBonusPerSecond * sinceArrival.Seconds()
	return base - int(min(maxTokenPenalty, penalty)) + int(min(maxWaitBonus, bonus))
}

// A RunningRequest is what decides whether a running request is preempted.
type RunningRequest struct {
	Class           deck.Class
	TokensGenerated int
	Preempted       bool      // its preemption has been requested
	ProtectedUntil  time.Time // end of the cooldown after the last preemption
}

// Preemptible reports whether the request may be preempted for interactive work: it is batch work or a long answer, and
// neither being preempted nor in its cooldown.
func (r RunningRequest) Preemptible(now time.Time) bool {
	if r.Preempted || now.Before(r.ProtectedUntil) {
		return false
	}
	return r.Class == deck.Batch || r.TokensGenerated >= LongAnswerTokens
}

// PreemptBefore reports whether the request should be preempted before the other: batch before interactive, then the one with
// more generated tokens.
func (r RunningRequest) PreemptBefore(other RunningRequest) bool {
	if r.Class != other.Class {
		return r.Class > other.Class
	}
	return r.TokensGenerated > other.TokensGenerated
}

// PreemptionCooldown returns the cooldown before the next preemption of a request that was preempted n times before.
func PreemptionCooldown(n int) time.Duration {
	const minCooldown = 2 * time.Second
	const maxCooldown = 2 * time.Minute
	return min(maxCooldown, minCooldown<<min(n, 6))
}
