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
	// tokensPerStep halves nothing by itself: each doubling beyond it costs priorityStep.
	tokensPerStep   = 256
	priorityStep    = 10
	maxPriorityFall = 60
	// priorityPerSecond of waiting lets a straggler overtake new work of its class within a minute at the latest.
	priorityPerSecond = 1
	maxPriorityRise   = maxPriorityFall
)

// Priority returns an attempt's priority: it falls with the tokens used so far and rises with the time waited.
func Priority(c deck.Class, used int, waited time.Duration) int {
	base := interactivePriority
	if c == deck.Batch {
		base = batchPriority
	}
	fell := 0.0
	if used > tokensPerStep {
		fell = priorityStep * math.Log2(float64(used)/tokensPerStep)
	}
	rose := priorityPerSecond * waited.Seconds()
	return base - int(min(maxPriorityFall, fell)) + int(min(maxPriorityRise, rose))
}

// A Running is a started request that could give way.
type Running struct {
	ID             uint64
	Class          deck.Class
	Used           int
	ProtectedUntil time.Time // it was preempted before and may not be until then
}

// Victim returns the request that should give way to waiting interactive work: batch before interactive, and the one
// that has used most tokens; interactive work only as a straggler.
func Victim(rs []Running, now time.Time) (Running, bool) {
	var best Running
	found := false
	for _, r := range rs {
		if now.Before(r.ProtectedUntil) || (r.Class == deck.Interactive && r.Used < StragglerTokens) {
			continue
		}
		if !found || r.Class > best.Class || (r.Class == best.Class && r.Used > best.Used) {
			best, found = r, true
		}
	}
	return best, found
}

// Protection returns how long a request that was preempted n times is safe from the next time.
func Protection(n int) time.Duration {
	const first = 2 * time.Second
	const longest = 2 * time.Minute
	return min(longest, first<<min(n, 6))
}
