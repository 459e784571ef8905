package deck

import (
	"time"

	"golang.org/x/sys/unix"
)

// A BootClock counts from the VM's boot. Unlike the monotonic clock of package time, it also advances while the VM is suspended,
// and steps of the wall clock do not change it.
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
