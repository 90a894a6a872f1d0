package pool

import (
	"math/bits"
	"time"
)

// movingAverage is an exponentially weighted mean and mean absolute deviation,
// in seconds.
type movingAverage struct {
	mean      float64
	deviation float64
	samples   int
}

const (
	// requestSampleWeight is the minimum weight of a sample when each request
	// gives one.
	requestSampleWeight = 0.05
	// stepSampleWeight is the minimum weight of a sample when each running
	// request gives one per second. It is low so that the average outlasts the
	// prefill of prompts.
	stepSampleWeight = 0.002
)

// add adds one sample. Its weight is 1/n for the nth sample, but at least
// minWeight.
func (a *movingAverage) add(seconds, minWeight float64) {
	a.samples++
	weight := max(minWeight, 1/float64(a.samples))
	difference := seconds - a.mean
	a.mean += weight * difference
	if difference < 0 {
		difference = -difference
	}
	a.deviation += weight * (difference - a.deviation)
}

// stepTimeModel learns the time between tokens as a function of the batch size.
// It keeps a mean for each range of batch sizes, so that a long period at one
// size does not displace the samples of the others, and fits a line through the
// means.
type stepTimeModel struct {
	ranges [batchRangeCount]batchRange
	// base and slope are the fitted line, in seconds and seconds per sequence.
	base   float64
	slope  float64
	fitted bool
}

// batchRange holds the samples of one range of batch sizes.
type batchRange struct {
	batch   float64
	latency movingAverage
}

const (
	// batchRangeCount is the number of ranges of batch sizes.
	batchRangeCount = 24
	// minRangeSamples is the number of samples from which a range is used.
	minRangeSamples = 4
)

// batchRangeIndex returns the index of the range for a batch size. Each power of
// two has two ranges.
func batchRangeIndex(batch int) int {
	if batch < 2 {
		return 0
	}
	power := bits.Len(uint(batch)) - 1
	half := (batch >> (power - 1)) & 1
	return min(2*power-1+half, batchRangeCount-1)
}

// add adds one mean inter-token latency observed at a batch size.
func (s *stepTimeModel) add(batch int, latency time.Duration) {
	if batch < 1 || latency <= 0 {
		return
	}
	r := &s.ranges[batchRangeIndex(batch)]
	r.latency.add(latency.Seconds(), stepSampleWeight)
	weight := max(stepSampleWeight, 1/float64(r.latency.samples))
	r.batch += weight * (float64(batch) - r.batch)
	s.fit()
}

// fit fits the line through the ranges by least squares.
func (s *stepTimeModel) fit() {
	var n, x, y, xx, xy float64
	for _, r := range s.ranges {
		if r.latency.samples < minRangeSamples {
			continue
		}
		n++
		x += r.batch
		y += r.latency.mean
		xx += r.batch * r.batch
		xy += r.batch * r.latency.mean
	}
	if n == 0 {
		return
	}
	s.fitted = true
	s.base, s.slope = y/n, 0
	spread := n*xx - x*x
	if n < 2 || spread <= 0 {
		return
	}
	slope := (n*xy - x*y) / spread
	if slope > 0 {
		s.slope = slope
		s.base = (y - slope*x) / n
	}
}

// predict returns the expected inter-token latency in seconds at a batch size,
// or zero if no samples exist.
func (s *stepTimeModel) predict(batch int) float64 {
	return max(s.base+s.slope*float64(batch), 0)
}

// maxBatch returns the largest batch size, at most bound, whose inter-token
// latency stays within the limit in seconds.
func (s *stepTimeModel) maxBatch(limit float64, bound int) int {
	if !s.fitted || s.predict(bound) <= limit {
		return bound
	}
	if s.slope <= 0 {
		return bound
	}
	return min(max(int((limit-s.base)/s.slope), 1), bound)
}

// firstTokenModel learns the time from the call to the first token as a function
// of the prompt length.
type firstTokenModel struct {
	byLength [promptRangeCount]movingAverage
}

// promptRangeCount is the number of ranges of prompt lengths; each spans a power
// of two.
const promptRangeCount = 20

func promptRangeIndex(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), promptRangeCount-1)
}

// add adds one time to first token for a prompt length.
func (f *firstTokenModel) add(promptTokens int, took time.Duration) {
	if took > 0 {
		f.byLength[promptRangeIndex(promptTokens)].add(took.Seconds(), requestSampleWeight)
	}
}

// upperEstimate returns a time in seconds within which most first tokens arrive:
// the mean plus twice the mean deviation.
func (f *firstTokenModel) upperEstimate(promptTokens int) float64 {
	a := f.nearest(promptTokens)
	return a.mean + 2*a.deviation
}

// lowerEstimate returns a time in seconds before which few first tokens arrive:
// the mean minus twice the mean deviation, but at most half of the mean.
func (f *firstTokenModel) lowerEstimate(promptTokens int) float64 {
	a := f.nearest(promptTokens)
	return max(min(a.mean-2*a.deviation, a.mean/2), 0)
}

// secondsPerToken returns the time in seconds that each prompt token adds to the
// first token, taken between the shortest and the longest prompts observed.
func (f *firstTokenModel) secondsPerToken() float64 {
	shortest, longest := -1, -1
	for i := range promptRangeCount {
		if f.byLength[i].samples < minRangeSamples {
			continue
		}
		if shortest < 0 {
			shortest = i
		}
		longest = i
	}
	if shortest == longest {
		return 0
	}
	tokens := float64(int(1)<<longest - int(1)<<shortest)
	return max((f.byLength[longest].mean-f.byLength[shortest].mean)/tokens, 0)
}

// nearest returns the average of the nearest range that has samples.
func (f *firstTokenModel) nearest(promptTokens int) movingAverage {
	at := promptRangeIndex(promptTokens)
	for distance := range promptRangeCount {
		for _, i := range [2]int{at - distance, at + distance} {
			if i < 0 || i >= promptRangeCount || f.byLength[i].samples == 0 {
				continue
			}
			return f.byLength[i]
		}
	}
	return movingAverage{}
}
