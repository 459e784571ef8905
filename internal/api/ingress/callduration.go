package ingress

import (
	"slices"
	"sync"
	"time"
)

const (
	maxDurations = 64 // of a route's calls that are remembered

	// durationQuantile is the share of the remembered durations that an estimate covers. A call that is refused wrongly comes back at
	// another VM at once; one that is cut off may have run.
	durationQuantile = 0.95
)

// callDurations remember how long calls took lately, by route. The zero value remembers none.
type callDurations struct {
	mu      sync.Mutex
	byRoute map[string]*durationRing
}

// A durationRing holds the last maxDurations durations.
type durationRing struct {
	durations []time.Duration
	next      int // index of the oldest, once there are maxDurations
}

// record remembers the time from a call's last byte to the end of its answer.
func (c *callDurations) record(route string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byRoute[route]
	if r == nil {
		if c.byRoute == nil {
			c.byRoute = make(map[string]*durationRing)
		}
		r = &durationRing{}
		c.byRoute[route] = r
	}
	if len(r.durations) < maxDurations {
		r.durations = append(r.durations, d)
		return
	}
	r.durations[r.next] = d
	r.next = (r.next + 1) % maxDurations
}

// retain forgets the routes for which keep returns false.
func (c *callDurations) retain(keep func(route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route := range c.byRoute {
		if !keep(route) {
			delete(c.byRoute, route)
		}
	}
}

// estimate returns how long a call on the route takes at most, as far as the last ones show; ok is false if there were none.
func (c *callDurations) estimate(route string) (d time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byRoute[route]
	if r == nil {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.durations))
	return sorted[int(durationQuantile*float64(len(sorted)))], true
}
