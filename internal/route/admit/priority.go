package admit

import (
	"math"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	interactivePriority = 100
	batchPriority       = 0
	// StragglerTokens is several times an ordinary answer; work beyond it may be preempted.
	StragglerTokens = 1024
	// Each doubling of the tokens used beyond freeTokens costs penaltyPerDoubling.
	freeTokens         = 256
	penaltyPerDoubling = 10
	maxTokenPenalty    = 60
	// waitBonusPerSecond of waiting lets a straggler overtake new work of its class within a minute at the latest.
	waitBonusPerSecond = 1
	maxWaitBonus       = maxTokenPenalty
)

// Priority returns an attempt's priority: it falls with the tokens used so far and rises with the time waited.
func Priority(c deck.Class, used int, waited time.Duration) int {
	base := interactivePriority
	if c == deck.Batch {
		base = batchPriority
	}
	penalty := 0.0
	if used > freeTokens {
		penalty = penaltyPerDoubling * math.Log2(float64(used)/freeTokens)
	}
	bonus := waitBonusPerSecond * waited.Seconds()
	return base - int(min(maxTokenPenalty, penalty)) + int(min(maxWaitBonus, bonus))
}

// A Running is a started request that could give way.
type Running struct {
	Class          deck.Class
	Used           int
	Preempted      bool      // it has been asked to give way
	ProtectedUntil time.Time // it was preempted before and may not be again until then
}

// MayGiveWay reports whether the request may be preempted for interactive work: batch work, or a straggler.
func (r Running) MayGiveWay(now time.Time) bool {
	if r.Preempted || now.Before(r.ProtectedUntil) {
		return false
	}
	return r.Class == deck.Batch || r.Used >= StragglerTokens
}

// Before reports whether the request should give way rather than the other: batch before interactive, then the one that
// has used most tokens.
func (r Running) Before(other Running) bool {
	if r.Class != other.Class {
		return r.Class > other.Class
	}
	return r.Used > other.Used
}

// Protection returns how long a request that was preempted n times is safe from the next time.
func Protection(n int) time.Duration {
	const minCooldown = 2 * time.Second
	const maxCooldown = 2 * time.Minute
	return min(maxCooldown, minCooldown<<min(n, 6))
}
