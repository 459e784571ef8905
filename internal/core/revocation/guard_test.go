package revocation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/revocation"
)

// A fakeClock is a clock that counts suspensions; the test advances it.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

const bound = 5 * time.Second

func newGuard() (*revocation.Guard, *fakeClock) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	return &revocation.Guard{Clock: c, Bound: bound}, c
}

// Guards against keys that are accepted by a VM which has been cut off, suspended or restarted.
func TestKeysAreAcceptedWhileTheConfigurationIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(g *revocation.Guard, c *fakeClock)
		want   bool
	}{
		{"restarted from a saved configuration", func(*revocation.Guard, *fakeClock) {}, false},
		{"in touch", func(g *revocation.Guard, c *fakeClock) {
			for range 100 {
				g.Confirm(c.now)
				c.advance(time.Second)
			}
		}, true},
		{"an ordinary change of leader", func(g *revocation.Guard, c *fakeClock) {
			g.Confirm(c.now.Add(-time.Second))
			c.advance(3500 * time.Millisecond)
		}, true},
		{"cut off", func(g *revocation.Guard, c *fakeClock) {
			g.Confirm(c.now)
			c.advance(bound)
		}, false},
		{"confirmed as of long ago", func(g *revocation.Guard, c *fakeClock) { g.Confirm(c.now.Add(-bound)) }, false},
		{"suspended and woken", func(g *revocation.Guard, c *fakeClock) {
			g.Confirm(c.now)
			c.advance(time.Hour)
		}, false},
		{"confirmed again after that", func(g *revocation.Guard, c *fakeClock) {
			g.Confirm(c.now)
			c.advance(time.Hour)
			g.Confirm(c.now)
		}, true},
		{"late confirmation does not replace a newer one", func(g *revocation.Guard, c *fakeClock) {
			g.Confirm(c.now)
			g.Confirm(c.now.Add(-bound))
		}, true},
		{"confirmation of the future counts as of now", func(g *revocation.Guard, c *fakeClock) {
			g.Confirm(c.now.Add(time.Hour))
			c.advance(bound)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, clock := newGuard()
			c.events(g, clock)
			is.Equal(g.Accepts(), c.want)
		})
	}
}

// Guards against keys that are accepted until the bound by a clock that runs slower than that of the operator.
func TestBoundHoldsWithDriftingClocks(t *testing.T) {
	is := is.New(t)
	g, clock := newGuard()
	g.Confirm(clock.now)
	clock.advance(bound * 99 / 100) // 1% slow, while the operator's is 1% fast
	is.True(!g.Accepts())
}

func TestZeroGuardAcceptsKeys(t *testing.T) {
	is := is.New(t)
	var g revocation.Guard
	g.Confirm(time.Now())
	is.True(g.Accepts())
	_, ok := g.Age()
	is.True(!ok)
}
