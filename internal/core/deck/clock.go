package deck

import "time"

// A Clock returns the current time; timers come from package time, which testing/synctest virtualises.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the clock has one.
	Now() time.Time
}

// A SystemClock is the clock of the operating system.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now implements Clock.Now.
func (SystemClock) Now() time.Time {
	return time.Now()
}
