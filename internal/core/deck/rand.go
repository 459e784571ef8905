package deck

import "math/rand/v2"

// A Rand is a source of random numbers; goroutines that share one must serialise their calls.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64

	// IntN returns a number in [0, n); n must be positive.
	IntN(n int) int
}

var _ Rand = (*rand.Rand)(nil)
