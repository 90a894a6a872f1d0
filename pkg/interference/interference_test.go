package interference

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestNoEstimateBeforeEnoughSamples(t *testing.T) {
	var e Estimator
	for range minSamples - 1 {
		e.Observe(100 * time.Millisecond)
	}
	if got := e.InterToken(); got != 0 {
		t.Errorf("the estimate is %v after %d samples, want none", got, minSamples-1)
	}
	e.Observe(100 * time.Millisecond)
	if got := e.InterToken(); got != 100*time.Millisecond {
		t.Errorf("the estimate is %v, want 100ms", got)
	}
}

// TestEstimateFollowsEngines checks that the estimate follows engines that are
// replaced by others with a shorter prefill step.
func TestEstimateFollowsEngines(t *testing.T) {
	var e Estimator
	for range windowSize {
		e.Observe(100 * time.Millisecond)
	}
	for range windowSize {
		e.Observe(30 * time.Millisecond)
	}
	if got := e.InterToken(); got != 30*time.Millisecond {
		t.Errorf("the estimate is %v, want 30ms", got)
	}
}

// TestStallsDoNotRaiseEstimate checks that a few stalls of engines or connections do
// not make all streams count as sensitive.
func TestStallsDoNotRaiseEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		count := rapid.IntRange(minSamples*4, 2*windowSize).Draw(t, "samples")
		stalls := rapid.IntRange(0, min(count, windowSize)/25).Draw(t, "stalls")
		for i := range count {
			if i >= count-stalls {
				e.Observe(3 * time.Second)
				continue
			}
			e.Observe(time.Duration(rapid.IntRange(10, 40).Draw(t, "ms")) * time.Millisecond)
		}
		if got := e.InterToken(); got < 10*time.Millisecond || got > 40*time.Millisecond {
			t.Fatalf("the estimate is %v with %d stalls in %d samples", got, stalls, count)
		}
	})
}
