// Package wait holds the one pause that background work makes between rounds.
package wait

import (
	"context"
	"time"
)

// For waits for the duration or the end of ctx. It reports whether the whole
// duration has passed.
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
