package dispatch

import (
	"context"
	"time"
)

// sendWhenDue calls send whenever a batch is due, until send returns true or
// ctx is done. dueIn returns the time until the next batch is due; it is evaluated
// again after a receive from wake.
func sendWhenDue(ctx context.Context, wake <-chan struct{}, dueIn func() time.Duration, send func() (ended bool)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		if dueIn() <= 0 && send() {
			return
		}
		timer.Reset(max(0, dueIn()))
	}
}
