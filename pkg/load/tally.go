package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = 10 * 60 * 1_000_000
	significantDigits   = 3
)

// maxDetails bounds the details that are kept of violations.
const maxDetails = 20

// tally adds up outcomes. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	classes  map[types.ClassName]*classTally
	accounts map[types.AccountID]*accountTally
	details  []string
}

// accountTally adds up the outcomes of one client account.
type accountTally struct {
	offered  int
	attained int
	tokens   int
}

// classTally adds up the outcomes of one class.
type classTally struct {
	tier    types.Tier
	offered int
	results map[Result]int
	codes   map[fault.Code]int
	// otherClass counts the answers that the router gave another class.
	otherClass int
	retried    int
	attained   int
	firstKept  int
	gapKept    int
	inTime     int
	// tokens counts those of whole answers, goodTokens those of attained ones,
	// lostTokens those that callers received in vain.
	tokens     int
	goodTokens int
	lostTokens int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	refusal    *hdrhistogram.Histogram
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

// class returns the tally of the kind's class. The caller holds the lock.
func (t *tally) class(kind *Kind) *classTally {
	c := t.classes[kind.Class]
	if c == nil {
		c = &classTally{
			tier:       kind.Tier,
			results:    make(map[Result]int),
			codes:      make(map[fault.Code]int),
			firstToken: newHistogram(),
			gap:        newHistogram(),
			total:      newHistogram(),
			refusal:    newHistogram(),
		}
		t.classes[kind.Class] = c
	}
	return c
}

// add takes one outcome.
func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(o.kind).add(o)
	t.addAccount(o)
	if o.violation() && len(t.details) < maxDetails {
		t.details = append(t.details, string(o.kind.Class)+": "+string(o.result)+": "+o.detail)
	}
}

// addAccount counts the outcome for its account. The caller holds the lock.
func (t *tally) addAccount(o *outcome) {
	a := t.accounts[o.account]
	if a == nil {
		a = &accountTally{}
		t.accounts[o.account] = a
	}
	a.offered++
	a.attained += one(o.attained())
	a.tokens += o.tokens
}

func (c *classTally) add(o *outcome) {
	c.offered++
	c.results[o.result]++
	c.lostTokens += o.lost
	if o.tries > 1 {
		c.retried++
	}
	if o.class != "" && o.class != o.kind.Class {
		c.otherClass++
	}
	switch o.result {
	case Answered:
		c.addAnswer(o)
	case Refused, Failed:
		c.codes[o.code]++
		record(c.refusal, o.refusal)
	}
}

func (c *classTally) addAnswer(o *outcome) {
	c.tokens += o.tokens
	record(c.total, o.total)
	if o.kind.Chat != nil && o.kind.Chat.Stream {
		record(c.firstToken, o.firstToken)
		record(c.gap, o.gap)
	}
	c.firstKept += one(o.firstTokenKept())
	c.gapKept += one(o.gapKept())
	c.inTime += one(o.deadlineKept())
	if o.attained() {
		c.attained++
		c.goodTokens += o.tokens
	}
}

// record adds a duration; one beyond the range counts as the highest.
func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	microseconds := min(max(took.Microseconds(), lowestMicroseconds), highestMicroseconds)
	// The value is within the range.
	_ = histogram.RecordValue(microseconds)
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
