package deck

import "time"

// vmCountTime is how long all numbers of VMs must have been lower for a VMCount to fall; a new leader hears of the VMs one by one.
const vmCountTime = 10 * time.Second

// vmCountSettleTime is how long the first numbers may be too low: if all processes have started at once, so has the leader.
const vmCountSettleTime = 2 * time.Second

// A VMCount is the number of VMs that divide among them what is meant for all. The zero value knows none.
type VMCount struct {
	firstAt    time.Time // when the first number came
	count      int
	lower      int       // largest number since lowerSince
	lowerSince time.Time // since when all numbers have been lower than count; zero if the last one was not
}

// Count returns the number of VMs; 0 if it is unknown.
func (c *VMCount) Count() int {
	return c.count
}

// IsSettled reports whether the number has been known for long enough that all VMs are counted.
func (c *VMCount) IsSettled(now time.Time) bool {
	return !c.firstAt.IsZero() && now.Sub(c.firstAt) >= vmCountSettleTime
}

// Set records how many VMs the leader knows.
func (c *VMCount) Set(now time.Time, n int) {
	if c.firstAt.IsZero() {
		c.firstAt = now
	}
	if n >= c.count {
		*c = VMCount{firstAt: c.firstAt, count: n}
		return
	}
	if c.lowerSince.IsZero() {
		c.lower, c.lowerSince = n, now
	}
	c.lower = max(c.lower, n)
	if now.Sub(c.lowerSince) > vmCountTime {
		*c = VMCount{firstAt: c.firstAt, count: c.lower}
	}
}
