package sim

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against figures that differ between runs with the same seed, for example through map iteration order.
func TestSameSeedSameFigure(t *testing.T) {
	is := is.New(t)
	sc := scenario{deployments[1], 7}
	run := func() (float64, int) {
		f := sc.buildFleet(production)
		f.callersRetry = true
		f.startInteractive(4*time.Second, 700, surgeRate(700, time.Second, time.Second))
		f.startBatch(100)
		f.sched.runUntil(4 * time.Second)
		return f.firstTokenP99Ms(0, 4*time.Second), f.attempts
	}
	p1, n1 := run()
	p2, n2 := run()
	is.Equal(p1, p2)
	is.Equal(n1, n2)
	is.True(n1 > 100)
}

// Guards against a mistyped figure name that is ignored, so that nothing is measured.
func TestUnknownFigure(t *testing.T) {
	is := is.New(t)
	is.True(Run(&bytes.Buffer{}, []string{"no-such-figure"}) != nil)
}
