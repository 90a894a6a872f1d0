// Package clock reads a clock that counts the time a machine was suspended, so
// that whatever expires has expired when a process wakes up late.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed moment.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME, which never goes back and includes suspension. The
// monotonic clock of package time stands still while the machine is suspended.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing can expire.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
