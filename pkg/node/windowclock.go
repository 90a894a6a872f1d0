package node

import (
	"strconv"
	"time"

	"github.com/umbercrank/umbercrank/pkg/idempotency"
)

// windowClock returns the window that callers should use in new idempotency keys
// for this incarnation.
type windowClock struct {
	windows idempotency.Windows
	start   time.Time
}

// newWindowClock returns a clock that starts its first window now.
func newWindowClock(windows idempotency.Windows) windowClock {
	return windowClock{windows: windows, start: time.Now()}
}

// Window returns the number of the current window.
func (c windowClock) Window() string {
	current := c.windows.Current(time.Since(c.start))
	return strconv.FormatUint(uint64(current), 10)
}
