package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Range, in microseconds, and precision of the histograms.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = 10 * 60 * 1_000_000
	significantDigits   = 3
)

// maxDetails limits the violations whose details are kept.
const maxDetails = 20

// tally aggregates outcomes. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	classes  map[types.ClassName]*classTally
	accounts map[types.AccountID]*accountTally
	details  []string
}

// accountTally aggregates the outcomes of one client account.
type accountTally struct {
	offered    int
	targetsMet int
	tokens     int
}

// classTally aggregates the outcomes of one class.
type classTally struct {
	tier    types.Tier
	offered int
	results map[Result]int
	codes   map[fault.Code]int
	// classMismatches counts the requests to which the router assigned another
	// class.
	classMismatches int
	retried         int
	targetsMet      int
	firstTokenMet   int
	interTokenMet   int
	deadlineMet     int
	// tokens counts the tokens of complete answers, goodTokens those of answers
	// that met their targets, and lostTokens those of incomplete answers.
	tokens            int
	goodTokens        int
	lostTokens        int
	firstTokenLatency *hdrhistogram.Histogram
	interTokenLatency *hdrhistogram.Histogram
	totalLatency      *hdrhistogram.Histogram
	refusalLatency    *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		classes:  make(map[types.ClassName]*classTally),
		accounts: make(map[types.AccountID]*accountTally),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

// class returns the tally of the kind's class. The caller must hold t.mu.
func (t *tally) class(kind *Kind) *classTally {
	c := t.classes[kind.Class]
	if c == nil {
		c = &classTally{
			tier:              kind.Tier,
			results:           make(map[Result]int),
			codes:             make(map[fault.Code]int),
			firstTokenLatency: newHistogram(),
			interTokenLatency: newHistogram(),
			totalLatency:      newHistogram(),
			refusalLatency:    newHistogram(),
		}
		t.classes[kind.Class] = c
	}
	return c
}

// add adds one outcome.
func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(o.kind).add(o)
	t.addAccount(o)
	if o.isViolation() && len(t.details) < maxDetails {
		t.details = append(t.details, string(o.kind.Class)+": "+string(o.result)+": "+o.detail)
	}
}

// addAccount adds the outcome to the tally of its account. The caller must hold
// t.mu.
func (t *tally) addAccount(o *outcome) {
	a := t.accounts[o.account]
	if a == nil {
		a = &accountTally{}
		t.accounts[o.account] = a
	}
	a.offered++
	a.targetsMet += boolToInt(o.meetsTargets())
	a.tokens += o.tokens
}

func (c *classTally) add(o *outcome) {
	c.offered++
	c.results[o.result]++
	c.lostTokens += o.lostTokens
	if o.tries > 1 {
		c.retried++
	}
	if o.class != "" && o.class != o.kind.Class {
		c.classMismatches++
	}
	switch o.result {
	case Answered:
		c.addAnswer(o)
	case Refused, Failed:
		c.codes[o.code]++
		recordDuration(c.refusalLatency, o.refusalLatency)
	}
}

func (c *classTally) addAnswer(o *outcome) {
	c.tokens += o.tokens
	recordDuration(c.totalLatency, o.totalLatency)
	if o.kind.Chat != nil && o.kind.Chat.Stream {
		recordDuration(c.firstTokenLatency, o.firstTokenLatency)
		recordDuration(c.interTokenLatency, o.interTokenLatency)
	}
	c.firstTokenMet += boolToInt(o.meetsFirstToken())
	c.interTokenMet += boolToInt(o.meetsInterToken())
	c.deadlineMet += boolToInt(o.meetsDeadline())
	if o.meetsTargets() {
		c.targetsMet++
		c.goodTokens += o.tokens
	}
}

// recordDuration adds a duration to the histogram, clamped to its range.
func recordDuration(histogram *hdrhistogram.Histogram, took time.Duration) {
	microseconds := min(max(took.Microseconds(), lowestMicroseconds), highestMicroseconds)
	// RecordValue fails only for a value outside the range.
	_ = histogram.RecordValue(microseconds)
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
