package node

import (
	"strconv"
	"time"

	"github.com/umbercrank/umbercrank/pkg/idempotency"
)

// windowClock tells callers which window of this incarnation their idempotency
// keys should name.
type windowClock struct {
	windows idempotency.Windows
	start   time.Time
}

// newWindowClock returns a clock whose windows count from now.
func newWindowClock(windows idempotency.Windows) windowClock {
	return windowClock{windows: windows, start: time.Now()}
}

// Window returns the current window.
func (c windowClock) Window() string {
	current := c.windows.Current(time.Since(c.start))
	return strconv.FormatUint(uint64(current), 10)
}
