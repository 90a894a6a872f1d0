package pool

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// maxAnswerTokens is the longest answer that the histograms hold.
	maxAnswerTokens = 1 << 20
	// lengthDigits is the number of significant digits of the histograms.
	lengthDigits = 2
	// lengthPoints is the number of quantiles kept for quick look-up.
	lengthPoints = 32
	// lengthRefresh is the number of answers between two computations of the
	// quantiles.
	lengthRefresh = 32
	// minLengthSamples is the number of answers below which the default holds.
	minLengthSamples = 8
	// defaultAnswerTokens is the length assumed of an answer before enough have
	// been seen.
	defaultAnswerTokens = 256
)

// lengths learns the distribution of answer lengths of one class, in tokens.
type lengths struct {
	histogram *hdrhistogram.Histogram
	pending   int
	// points holds evenly spaced quantiles in ascending order; it is empty until
	// enough answers have been seen.
	points []int
}

func newLengths() *lengths {
	return &lengths{histogram: hdrhistogram.New(1, maxAnswerTokens, lengthDigits)}
}

// add records the length of a complete answer.
func (l *lengths) add(tokens int) {
	if l.histogram.RecordValue(int64(min(max(tokens, 1), maxAnswerTokens))) != nil {
		return
	}
	l.pending++
	if l.pending >= lengthRefresh || len(l.points) == 0 {
		l.refresh()
	}
}

// refresh computes the quantiles.
func (l *lengths) refresh() {
	l.pending = 0
	if l.histogram.TotalCount() < minLengthSamples {
		return
	}
	l.points = l.points[:0]
	for i := range lengthPoints {
		quantile := (float64(i) + 0.5) * 100 / lengthPoints
		l.points = append(l.points, int(l.histogram.ValueAtQuantile(quantile)))
	}
}

// remaining returns the mean number of tokens still to come in an answer that
// has reached generated tokens and may not exceed limit, if limit is not zero.
func (l *lengths) remaining(generated, limit int) float64 {
	sum, n := 0, 0
	for _, length := range l.points {
		if length > generated {
			sum += length - generated
			n++
		}
	}
	mean := float64(defaultAnswerTokens)
	if n > 0 {
		mean = float64(sum) / float64(n)
	} else if len(l.points) > 0 {
		mean = float64(generated) / 2
	}
	if limit > 0 {
		mean = min(mean, float64(limit-generated))
	}
	return max(mean, 1)
}

// quantile returns the tokens still to come at the given share of the answers
// that are longer than generated.
func (l *lengths) quantile(share float64, generated, limit int) float64 {
	first := 0
	for first < len(l.points) && l.points[first] <= generated {
		first++
	}
	longer := l.points[first:]
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
