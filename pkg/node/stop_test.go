package node

import (
	"testing"
	"time"
)

// TestLateNodeEndsItsRequestsBeforeItsStopTimeout guards against a node that counts its stop from when it notices the signal,
// and leaves a constant time for the responses of the requests that it ends.
func TestLateNodeEndsItsRequestsBeforeItsStopTimeout(t *testing.T) {
	const timeout = 10 * time.Second
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, time.Minute} {
		total, serving := stopTimes(timeout, late)
		if late < timeout/2 && total > timeout-late {
			t.Errorf("late by %v: stops %v after the signal", late, total+late)
		}
		if left := total - serving; left < answerTime || late < timeout/8 && left < 3*late {
			t.Errorf("late by %v: %v remain for the responses", late, left)
		}
		if serving < timeout/4 {
			t.Errorf("late by %v: ends requests after %v", late, serving)
		}
	}
}
