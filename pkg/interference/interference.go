// Package interference estimates how slow the streams of an engine become while the
// engine prefills the prompts of other requests. An engine prefills a long prompt in
// chunks, one in each step, and a step with a chunk takes many times as long as one
// that only generates tokens. Which streams that makes late follows from the engines
// and from the objectives, so it is measured.
package interference

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of recent measurements that the estimate uses.
	windowSize = 512
	// minSamples is the number of measurements before there is an estimate.
	minSamples = 16
	// quantile of the measurements that is the estimate. Events between two chunks
	// lower the mean, and stalls of an engine or a connection raise the maximum.
	quantile = 0.95
)

// Estimator estimates the inter-token latency of streams on the engines of one
// service while the engine prefills other prompts. Its zero value is ready to use.
type Estimator struct {
	samples []time.Duration
	next    int
	// estimate is the quantile of the samples, or zero if it has to be computed again.
	estimate time.Duration
}

// Observe adds the inter-token latency of a stream while its engine had a long
// prompt to prefill.
func (e *Estimator) Observe(interToken time.Duration) {
	e.estimate = 0
	if len(e.samples) < windowSize {
		e.samples = append(e.samples, interToken)
		return
	}
	e.samples[e.next] = interToken
	e.next = (e.next + 1) % windowSize
}

// InterToken returns the estimated inter-token latency, or zero while there are too
// few measurements.
func (e *Estimator) InterToken() time.Duration {
	if len(e.samples) < minSamples {
		return 0
	}
	if e.estimate == 0 {
		sorted := slices.Sorted(slices.Values(e.samples))
		e.estimate = sorted[int(quantile*float64(len(sorted)))]
	}
	return e.estimate
}
