package deck

import (
	"time"

	"golang.org/x/sys/unix"
)

// A BootClock counts from the VM's start and goes on while the VM is suspended, which the monotonic clock of package time
// does not; it does not follow steps of the time of day.
type BootClock struct{}

var _ Clock = BootClock{}

// Now implements Clock.Now; the result can only be compared with other times of a BootClock.
func (BootClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boot clock: " + err.Error()) // present in every supported kernel
	}
	return time.Unix(t.Unix())
}
