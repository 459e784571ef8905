package sim

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against a figure that is not reproducible from its seed.
func TestSameSeedSameFigure(t *testing.T) {
	is := is.New(t)
	c := cell{soloDeployment, 7}
	run := func() (float64, int) {
		f := c.crest(production, overload, true)
		return f.p99(0, crestEnd), f.attempts
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
