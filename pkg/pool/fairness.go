package pool

import "github.com/umbercrank/umbercrank/pkg/types"

// flow is the unit of fairness within a tier: one client account in one class.
type flow struct {
	class   types.ClassName
	account types.AccountID
}

// ledger keeps start-time fair queueing for one level of shares. Each share has
// a finish tag in tokens per weight; a share that was idle resumes at the
// virtual clock, so that idleness saves up no credit.
type ledger[K comparable] struct {
	clock  float64
	finish map[K]float64
}

func newLedger[K comparable]() *ledger[K] {
	return &ledger[K]{finish: make(map[K]float64)}
}

// tag returns the start tag of the share; the smallest is served next.
func (l *ledger[K]) tag(key K) float64 {
	return max(l.clock, l.finish[key])
}

// charge books tokens to the share and moves the clock to its start tag.
func (l *ledger[K]) charge(key K, tokens, weight float64) {
	start := l.tag(key)
	l.clock = start
	l.finish[key] = start + tokens/weight
	l.prune()
}

// correct adds the difference between the tokens served and those charged.
func (l *ledger[K]) correct(key K, tokens, weight float64) {
	l.finish[key] += tokens / weight
}

// ledgerSize is the number of shares above which idle ones are forgotten.
const ledgerSize = 4096

// prune forgets shares that the clock has overtaken.
func (l *ledger[K]) prune() {
	if len(l.finish) <= ledgerSize {
		return
	}
	for key, finish := range l.finish {
		if finish <= l.clock {
			delete(l.finish, key)
		}
	}
}

// charge books the tokens that the job is expected to take to its shares.
func (q *queue) charge(j *job) {
	tq := q.tier(j.req.Tier)
	j.charge = j.expectedTokens()
	tq.classes.charge(j.req.Class, j.charge, 1)
	tq.shares.charge(j.flow(), j.charge, j.weight())
}

// correct replaces the job's charge by the tokens that it took.
func (q *queue) correct(j *job) {
	tq := q.tier(j.req.Tier)
	tokens := float64(j.req.PromptTokens + j.tokens)
	tq.classes.correct(j.req.Class, tokens-j.charge, 1)
	tq.shares.correct(j.flow(), tokens-j.charge, j.weight())
	j.charge = tokens
}

// expectedTokens returns the tokens that an attempt of the job is expected to
// take, prompt and answer.
func (j *job) expectedTokens() float64 {
	return float64(j.req.PromptTokens) + j.class.lengths.remaining(j.req.Generated, j.req.MaxTokens)
}
