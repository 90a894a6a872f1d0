package pool

import (
	"math/bits"
	"time"
)

// average is an exponentially weighted mean with its mean deviation, in
// seconds.
type average struct {
	mean      float64
	deviation float64
	samples   int
}

const (
	// requestWeight is the weight of a new sample of which each request gives
	// one, once the average is warm.
	requestWeight = 0.05
	// stepWeight is that of a sample of which each running request gives one a
	// second: the average must outlast the prompts that are being read.
	stepWeight = 0.002
)

// add takes one sample whose weight does not fall below the given one.
func (a *average) add(seconds, least float64) {
	a.samples++
	weight := max(least, 1/float64(a.samples))
	difference := seconds - a.mean
	a.mean += weight * difference
	if difference < 0 {
		difference = -difference
	}
	a.deviation += weight * (difference - a.deviation)
}

// stepTime learns the time between tokens against the batch size. It keeps a
// mean for each range of batch sizes, so that a long time at one size does not
// forget the others, and fits a line through them.
type stepTime struct {
	ranges [stepRanges]stepRange
	// base and slope are the fitted line in seconds and seconds per sequence.
	base  float64
	slope float64
	known bool
}

// stepRange is what was seen at a range of batch sizes.
type stepRange struct {
	batch float64
	gap   average
}

const (
	// stepRanges is the number of ranges of batch sizes.
	stepRanges = 24
	// minStepSamples is the number of samples that make a range count.
	minStepSamples = 4
)

// rangeOf returns the range of a batch size: two for each power of two.
func rangeOf(batch int) int {
	if batch < 2 {
		return 0
	}
	power := bits.Len(uint(batch)) - 1
	half := (batch >> (power - 1)) & 1
	return min(2*power-1+half, stepRanges-1)
}

// add takes one mean gap seen at a batch size.
func (s *stepTime) add(batch int, gap time.Duration) {
	if batch < 1 || gap <= 0 {
		return
	}
	r := &s.ranges[rangeOf(batch)]
	r.gap.add(gap.Seconds(), stepWeight)
	weight := max(stepWeight, 1/float64(r.gap.samples))
	r.batch += weight * (float64(batch) - r.batch)
	s.fit()
}

// fit draws the line through the ranges by least squares.
func (s *stepTime) fit() {
	var n, x, y, xx, xy float64
	for _, r := range s.ranges {
		if r.gap.samples < minStepSamples {
			continue
		}
		n++
		x += r.batch
		y += r.gap.mean
		xx += r.batch * r.batch
		xy += r.batch * r.gap.mean
	}
	if n == 0 {
		return
	}
	s.known = true
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

// at returns the expected gap in seconds at a batch size; zero when nothing is
// known.
func (s *stepTime) at(batch int) float64 {
	return max(s.base+s.slope*float64(batch), 0)
}

// batchWithin returns the largest batch size whose gap stays within the limit
// in seconds, at most bound.
func (s *stepTime) batchWithin(limit float64, bound int) int {
	if !s.known || s.at(bound) <= limit {
		return bound
	}
	if s.slope <= 0 {
		return bound
	}
	return min(max(int((limit-s.base)/s.slope), 1), bound)
}

// firstToken learns the time from the call to the first token against the
// length of the prompt.
type firstToken struct {
	byLength [promptRanges]average
}

// promptRanges is the number of ranges of prompt lengths, powers of two.
const promptRanges = 20

func promptRange(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), promptRanges-1)
}

// add takes one time seen for a prompt length.
func (f *firstToken) add(promptTokens int, took time.Duration) {
	if took > 0 {
		f.byLength[promptRange(promptTokens)].add(took.Seconds(), requestWeight)
	}
}

// upper returns a time in seconds that most first tokens keep to: the mean and
// twice the mean deviation.
func (f *firstToken) upper(promptTokens int) float64 {
	a := f.nearest(promptTokens)
	return a.mean + 2*a.deviation
}

// lower returns a time in seconds that few first tokens beat: the mean less
// twice the mean deviation, and at most half of the mean.
func (f *firstToken) lower(promptTokens int) float64 {
	a := f.nearest(promptTokens)
	return max(min(a.mean-2*a.deviation, a.mean/2), 0)
}

// perToken returns the time in seconds that each token of a prompt adds, between
// the shortest and the longest prompts seen.
func (f *firstToken) perToken() float64 {
	shortest, longest := -1, -1
	for i := range promptRanges {
		if f.byLength[i].samples < minStepSamples {
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

// nearest returns the average of the nearest range that has been seen.
func (f *firstToken) nearest(promptTokens int) average {
	at := promptRange(promptTokens)
	for distance := range promptRanges {
		for _, i := range [2]int{at - distance, at + distance} {
			if i < 0 || i >= promptRanges || f.byLength[i].samples == 0 {
				continue
			}
			return f.byLength[i]
		}
	}
	return average{}
}
