package pool

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// maxAnswerTokens is the longest answer that the histogram can record.
	maxAnswerTokens = 1 << 20
	// histogramDigits is the number of significant digits of the histogram.
	histogramDigits = 2
	// quantileCount is the number of cached quantiles.
	quantileCount = 32
	// quantileUpdateSamples is the number of answers between two updates of the
	// quantiles.
	quantileUpdateSamples = 32
	// minLengthSamples is the number of samples from which the lengths or the
	// durations of a class are used for predictions.
	minLengthSamples = 8
	// defaultAnswerTokens is the assumed length of an answer until enough
	// answers have been recorded.
	defaultAnswerTokens = 256
)

// answerLengths learns the distribution of answer lengths of one class, in
// tokens.
type answerLengths struct {
	histogram  *hdrhistogram.Histogram
	newSamples int
	// quantiles holds evenly spaced quantiles in ascending order. It is empty
	// until enough answers have been recorded.
	quantiles []int
}

func newAnswerLengths() *answerLengths {
	return &answerLengths{histogram: hdrhistogram.New(1, maxAnswerTokens, histogramDigits)}
}

// add records the length of a complete answer.
func (l *answerLengths) add(tokens int) {
	if l.histogram.RecordValue(int64(min(max(tokens, 1), maxAnswerTokens))) != nil {
		return
	}
	l.newSamples++
	if l.newSamples >= quantileUpdateSamples || len(l.quantiles) == 0 {
		l.updateQuantiles()
	}
}

// updateQuantiles recomputes the cached quantiles.
func (l *answerLengths) updateQuantiles() {
	l.newSamples = 0
	if l.histogram.TotalCount() < minLengthSamples {
		return
	}
	l.quantiles = l.quantiles[:0]
	for i := range quantileCount {
		quantile := (float64(i) + 0.5) * 100 / quantileCount
		l.quantiles = append(l.quantiles, int(l.histogram.ValueAtQuantile(quantile)))
	}
}

// remaining returns the mean number of tokens still to come in an answer that
// has generated tokens so far. A limit other than zero bounds the total length
// of the answer.
func (l *answerLengths) remaining(generated, limit int) float64 {
	sum, n := 0, 0
	for _, length := range l.quantiles {
		if length > generated {
			sum += length - generated
			n++
		}
	}
	mean := float64(defaultAnswerTokens)
	if n > 0 {
		mean = float64(sum) / float64(n)
	} else if len(l.quantiles) > 0 {
		mean = float64(generated) / 2
	}
	if limit > 0 {
		mean = min(mean, float64(limit-generated))
	}
	return max(mean, 1)
}

// remainingAtQuantile returns the number of tokens still to come at the given
// quantile of the answers that are longer than generated.
func (l *answerLengths) remainingAtQuantile(share float64, generated, limit int) float64 {
	first := 0
	for first < len(l.quantiles) && l.quantiles[first] <= generated {
		first++
	}
	longer := l.quantiles[first:]
	if len(longer) == 0 {
		return l.remaining(generated, limit)
	}
	at := min(int(share*float64(len(longer))), len(longer)-1)
	tokens := float64(longer[at] - generated)
	if limit > 0 {
		tokens = min(tokens, float64(limit-generated))
	}
	return max(tokens, 1)
}
