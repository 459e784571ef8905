package revocation

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// clockDrift is the largest difference between the rates of two VMs' clocks, as a share.
const clockDrift = 0.02

// A Guard accepts keys while the configuration in force was confirmed recently. The zero value accepts keys always.
type Guard struct {
	Clock deck.Clock    // counts the time in which the VM is suspended; required if there is a bound
	Bound time.Duration // from the acknowledgement of a configuration without a key until no VM accepts it; 0 for none
	Log   logr.Logger

	mu        sync.Mutex
	confirmed time.Time // zero if the configuration was never confirmed
	state     acceptance
}

// An acceptance is what a guard has last logged; the zero value is nothing.
type acceptance int

const (
	accepting acceptance = iota + 1
	refusing
)

// Confirm records that the configuration in force contains every change that was acknowledged before the given time of the clock.
func (g *Guard) Confirm(at time.Time) {
	if g.Bound <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.Clock.Now(); at.After(now) {
		at = now
	}
	if at.After(g.confirmed) {
		g.confirmed = at
	}
}

// Accepts reports whether keys may be accepted now. The configuration must be read after the call, so that it is not older than the one
// that was confirmed.
func (g *Guard) Accepts() bool {
	if g.Bound <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	age, ok := g.age()
	if ok && age <= maxAge(g.Bound) {
		g.setState(accepting, "API keys are accepted: the configuration is confirmed", age)
		return true
	}
	g.setState(refusing, "API keys are refused: no recent confirmation of the configuration", age)
	return false
}

// Age returns the time since the configuration was confirmed; ok is false if it never was, or if there is no bound.
func (g *Guard) Age() (age time.Duration, ok bool) {
	if g.Bound <= 0 {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.age()
}

// age is Age for a guard with a bound. The caller holds g.mu.
func (g *Guard) age() (time.Duration, bool) {
	if g.confirmed.IsZero() {
		return 0, false
	}
	return g.Clock.Now().Sub(g.confirmed), true
}

// setState logs a change of state. The caller holds g.mu.
func (g *Guard) setState(s acceptance, message string, age time.Duration) {
	if g.state == s {
		return
	}
	g.state = s
	g.Log.Info(message, "confirmed", !g.confirmed.IsZero(), "confirmed-age-ms", age.Milliseconds(), "bound-ms", g.Bound.Milliseconds())
}

// maxAge returns the age of a confirmation up to which keys are accepted.
func maxAge(bound time.Duration) time.Duration {
	return bound - time.Duration(clockDrift*float64(bound))
}
