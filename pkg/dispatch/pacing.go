package dispatch

import (
	"context"
	"time"
)

// paced calls send whenever it is due, until send reports the end or ctx ends.
// dueIn returns how long the next call may wait; wake asks for it again.
func paced(ctx context.Context, wake <-chan struct{}, dueIn func() time.Duration, send func() (ended bool)) {
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
