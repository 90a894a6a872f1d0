package placement

import (
	"cmp"
	"math"
	"time"
)

const (
	// prefillTokensPerMs is the prefill rate of the slower engine type, in prompt
	// tokens per millisecond.
	prefillTokensPerMs = 38.0
	// stepDuration is the duration of an engine step without prefill.
	stepDuration = 5 * time.Millisecond
	// prefillChunkTokens is the number of prompt tokens that one step prefills.
	prefillChunkTokens = 1024
	// startedPrefillTokens bounds the prefill of less urgent prompts that a new
	// request waits for: the chunk of a step that has already started.
	startedPrefillTokens = prefillChunkTokens
	// streamDuration is the assumed mean duration of a stream in a full batch.
	streamDuration = 2 * time.Second
	// defaultServiceTime is the assumed duration of a call to a plain service. It is
	// scaled by the upstream's LatencyRatio once that is known.
	defaultServiceTime = 40 * time.Millisecond
)

// predict returns the predicted times of the request at the candidate. They are relative to
// the factor that the learned capacity puts on the times of all candidates.
func predict(work *Work, candidate *Candidate, least float64) Choice {
	choice := Choice{ID: candidate.ID}
	ratio := cmp.Or(candidate.LatencyRatio, 1) * candidate.factor() / least
	if !work.Engine {
		serviceTime := scale(defaultServiceTime, cmp.Or(candidate.LatencyRatio, candidate.serviceRatio(), candidate.factor()/least))
		utilization := float64(candidate.Load.Total().Waiting) / float64(max(candidate.Slots, 1))
		choice.Wait = time.Duration(math.Max(0, utilization-0.5) * float64(serviceTime))
		choice.FirstResponse = choice.Wait + time.Duration(float64(serviceTime)*(1+utilization/4))
		return choice
	}
	ahead := candidate.Load.ahead(work.Priority)
	choice.Wait = scale(prefillTime(ahead.PrefillTokens)+slotWait(ahead, candidate.Slots), ratio)
	choice.FirstResponse = choice.Wait + work.FirstEventDelay + scale(prefillTime(max(work.Tokens-candidate.CachedTokens, 1))+2*stepDuration, ratio)
	return choice
}

// slotWait returns the wait for a slot in a full batch.
func slotWait(ahead PriorityLoad, slots int) time.Duration {
	excess := ahead.Waiting + ahead.Running - slots
	if slots == 0 || excess < 0 {
		return 0
	}
	return time.Duration(excess+1) * streamDuration / time.Duration(slots)
}

// prefillTime returns the time in which an engine prefills the tokens, including
// the step overhead.
func prefillTime(tokens int) time.Duration {
	tokens = max(tokens, 0)
	prefill := time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
	return prefill + time.Duration(tokens/prefillChunkTokens)*stepDuration
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
