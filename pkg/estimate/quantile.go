// Package estimate estimates properties of upstreams from recent measurements. It is
// pure and is used for what differs between engines and is not published.
package estimate

import (
	"slices"
	"time"
)

// minSamples is the number of measurements before there is an estimate.
const minSamples = 16

// Quantile estimates a quantile of a duration.
type Quantile struct {
	quantile float64
	window   int
	// samples are in the order of their arrival, from next on once the window is full.
	samples []time.Duration
	next    int
	// sorted has the same samples in ascending order.
	sorted []time.Duration
}

// NewQuantile returns an estimator of a quantile between zero and one of the most
// recent measurements in a window of at least sixteen.
func NewQuantile(quantile float64, window int) *Quantile {
	return &Quantile{quantile: quantile, window: max(window, minSamples)}
}

// Observe adds a measurement.
func (q *Quantile) Observe(measured time.Duration) {
	if len(q.samples) < q.window {
		q.samples = append(q.samples, measured)
	} else {
		oldest, _ := slices.BinarySearch(q.sorted, q.samples[q.next])
		q.sorted = slices.Delete(q.sorted, oldest, oldest+1)
		q.samples[q.next] = measured
		q.next = (q.next + 1) % q.window
	}
	position, _ := slices.BinarySearch(q.sorted, measured)
	q.sorted = slices.Insert(q.sorted, position, measured)
}

// Value returns the estimate, or zero while there are too few measurements.
func (q *Quantile) Value() time.Duration {
	if len(q.samples) < minSamples {
		return 0
	}
	return q.sorted[int(q.quantile*float64(len(q.sorted)))]
}
