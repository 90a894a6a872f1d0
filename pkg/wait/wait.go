// Package wait provides a sleep that ends early when its context is done.
package wait

import (
	"context"
	"time"
)

// For waits until the duration has elapsed or ctx is done. It reports whether the
// full duration has elapsed.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
