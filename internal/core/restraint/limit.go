package restraint

import "time"

const (
	// minRate is the rate in requests a second at which a server is tried that takes hardly any, so that its next limit is heard.
	minRate = 0.1

	// ownShare is the part of a limit that VMs may use without asking, divided equally. The rest goes to the VMs that ask.
	ownShare = 0.5

	// minOwnRate is the rate in requests a second from which a VM's own part is worth having. Below it the whole limit goes to the
	// VMs that ask, since many small parts are hardly used.
	minOwnRate = 1.0

	// burstTime is the time whose requests may come at once.
	burstTime = 500 * time.Millisecond
)

// ownRate returns the rate in requests a second that each of the given number of VMs may use of a limit without asking.
func ownRate(limit float64, vms int) float64 {
	rate := ownShare * limit / float64(max(1, vms))
	if rate < minOwnRate {
		return 0
	}
	return rate
}

// sharedRate returns the rate in requests a second that the VMs which ask share.
func sharedRate(limit float64, vms int) float64 {
	return max(minRate, limit-float64(max(1, vms))*ownRate(limit, vms))
}

// A tokenBucket limits a rate of requests. The zero value is empty.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill at the rate, in tokens a second; it holds those of burstTime, and one at least.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	if !b.refilledAt.IsZero() {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.tokens = min(b.tokens, max(1, rate*burstTime.Seconds()))
	b.refilledAt = now
}

// take takes a token if there is one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilNext returns the time until there is a token at the rate; it is zero only if there is one.
func (b *tokenBucket) untilNext(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Microsecond + time.Duration((1-b.tokens)/rate*float64(time.Second))
}
