package permit

import (
	"slices"
	"time"
)

// MostInWindow returns the largest number of events in any window of the given length.
func MostInWindow(times []time.Duration, window time.Duration) int {
	sorted := slices.Sorted(slices.Values(times))
	most, first := 0, 0
	for i, at := range sorted {
		for at-sorted[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
