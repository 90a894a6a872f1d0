// Package clock provides a monotonic clock that includes the time during which the
// system was suspended, so that timeouts have expired when a process resumes.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since an arbitrary fixed point.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME, which is monotonic and includes the time during which
// the system was suspended. The monotonic clock of package time stops during
// suspension.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, no timeout would expire.
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Process returns a clock that starts at zero and stops while the system is
// suspended. Unlike Boot, it follows the fake time of testing/synctest.
func Process() Clock {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}
