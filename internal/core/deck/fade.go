package deck

import (
	"math"
	"time"
)

// Fade returns the share of a weight that is left after some time if it fades with the time constant.
func Fade(passed, constant time.Duration) float64 {
	return math.Exp(-passed.Seconds() / constant.Seconds())
}
