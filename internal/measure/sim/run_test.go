package sim

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a figure that is not reproducible from its seed.
func TestSameSeedSameFigure(t *testing.T) {
	is := is.New(t)
	c := cell{deployments[1], 7}
	run := func() (float64, int) {
		f := c.fleet(production)
		f.resend = true
		f.interactive(4*time.Second, 700, crest(700, time.Second, time.Second))
		f.batchLoop(100)
		f.s.runUntil(4 * time.Second)
		return f.p99(0, 4*time.Second), f.attempts
	}
	p1, n1 := run()
	p2, n2 := run()
	is.Equal(p1, p2)
	is.Equal(n1, n2)
	is.True(n1 > 100)
}

// Guards against a name that is silently ignored.
func TestUnknownFigure(t *testing.T) {
	is := is.New(t)
	is.True(Run(&bytes.Buffer{}, []string{"no-such-figure"}) != nil)
}
