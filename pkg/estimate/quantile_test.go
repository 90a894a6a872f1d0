package estimate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

const windowSize = 512

func TestNoEstimateBeforeEnoughSamples(t *testing.T) {
	q := NewQuantile(0.95, windowSize)
	for range minSamples - 1 {
		q.Observe(100 * time.Millisecond)
	}
	if got := q.Value(); got != 0 {
		t.Errorf("the estimate is %v after %d samples, want none", got, minSamples-1)
	}
	q.Observe(100 * time.Millisecond)
	if got := q.Value(); got != 100*time.Millisecond {
		t.Errorf("the estimate is %v, want 100ms", got)
	}
}

// TestEstimateFollowsEngines checks that the estimate follows engines that are
// replaced by faster ones.
func TestEstimateFollowsEngines(t *testing.T) {
	q := NewQuantile(0.5, windowSize)
	for range windowSize {
		q.Observe(100 * time.Millisecond)
	}
	for range windowSize {
		q.Observe(30 * time.Millisecond)
	}
	if got := q.Value(); got != 30*time.Millisecond {
		t.Errorf("the estimate is %v, want 30ms", got)
	}
}

// TestStallsDoNotRaiseEstimate checks that a few stalls of engines or connections do
// not change the estimate.
func TestStallsDoNotRaiseEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQuantile(0.95, windowSize)
		count := rapid.IntRange(minSamples*4, 2*windowSize).Draw(t, "samples")
		stalls := rapid.IntRange(0, min(count, windowSize)/25).Draw(t, "stalls")
		for i := range count {
			if i >= count-stalls {
				q.Observe(3 * time.Second)
				continue
			}
			q.Observe(time.Duration(10+i%30) * time.Millisecond)
		}
		if got := q.Value(); got < 10*time.Millisecond || got > 40*time.Millisecond {
			t.Fatalf("the estimate is %v with %d stalls in %d samples", got, stalls, count)
		}
	})
}
