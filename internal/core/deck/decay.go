package deck

import (
	"math"
	"time"
)

// Decay returns the factor by which a weight that decays exponentially with the time constant shrinks in the elapsed time.
func Decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
