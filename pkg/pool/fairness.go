package pool

import "github.com/umbercrank/umbercrank/pkg/types"

// flow is the unit of fairness within a tier: one client account in one class.
type flow struct {
	class   types.ClassName
	account types.AccountID
}

// fairShares implements start-time fair queueing for one level of shares. Each
// share has a finish tag in tokens per weight. A share that was idle resumes at
// the current virtual time, so idle shares accumulate no credit.
type fairShares[K comparable] struct {
	virtualTime float64
	finishTags  map[K]float64
}

func newFairShares[K comparable]() *fairShares[K] {
	return &fairShares[K]{finishTags: make(map[K]float64)}
}

// startTag returns the start tag of the share. The share with the smallest tag
// is served next.
func (s *fairShares[K]) startTag(key K) float64 {
	return max(s.virtualTime, s.finishTags[key])
}

// charge charges tokens to the share and advances the virtual time to its start
// tag.
func (s *fairShares[K]) charge(key K, tokens, weight float64) {
	start := s.startTag(key)
	s.virtualTime = start
	s.finishTags[key] = start + tokens/weight
	s.prune()
}

// adjust adds the difference between the tokens served and the tokens charged.
func (s *fairShares[K]) adjust(key K, tokens, weight float64) {
	s.finishTags[key] += tokens / weight
}

// pruneThreshold is the number of shares above which idle ones are removed.
const pruneThreshold = 4096

// prune removes shares whose finish tag the virtual time has passed.
func (s *fairShares[K]) prune() {
	if len(s.finishTags) <= pruneThreshold {
		return
	}
	for key, finish := range s.finishTags {
		if finish <= s.virtualTime {
			delete(s.finishTags, key)
		}
	}
}

// charge charges the job's expected tokens to its class and flow.
func (q *queue) charge(j *job) {
	tq := q.tier(j.req.Tier)
	j.chargedTokens = j.expectedTokens()
	tq.classShares.charge(j.req.Class, j.chargedTokens, 1)
	tq.flowShares.charge(j.flow(), j.chargedTokens, j.weight())
}

// adjust replaces the job's charge with the tokens that it used.
func (q *queue) adjust(j *job) {
	tq := q.tier(j.req.Tier)
	tokens := float64(j.req.PromptTokens + j.tokens)
	tq.classShares.adjust(j.req.Class, tokens-j.chargedTokens, 1)
	tq.flowShares.adjust(j.flow(), tokens-j.chargedTokens, j.weight())
	j.chargedTokens = tokens
}

// expectedTokens returns the prompt and answer tokens that an attempt of the job
// is expected to use.
func (j *job) expectedTokens() float64 {
	return float64(j.req.PromptTokens) + j.class.lengths.remaining(j.req.Generated, j.req.MaxTokens)
}
