// Package admission decides whether a request is sent to its best upstream or
// shed immediately with a time to retry. It is pure.
//
// It bounds the wait during bursts that the engines cannot prefill in time.
// Without a bound all requests miss their objective, and callers that time out
// leave work in the queues whose results are discarded.
package admission

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
)

const (
	// maxWaitShare is the share of the objective that a request may wait before
	// its prefill starts. The rest is needed for the prefill.
	maxWaitShare = 0.9
	// shortWaitShare is the share of the objective that a request may wait however long its
	// own prefill takes, so that the longest prompts are not always shed.
	shortWaitShare = 0.5
	// maxUrgentWaitShare replaces maxWaitShare while less urgent work is served:
	// that work is shed first. Callers abandon a stream that has not started after
	// four times its objective, or two seconds.
	maxUrgentWaitShare = 3.5
	// minWaitBound lets requests with a short objective wait for a step or two.
	minWaitBound = 60 * time.Millisecond
	// minRetryAfter is the shortest retry delay returned with a shed request.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the delay before jitter is added. Callers honour a delay
	// of up to a third of the time that they have.
	maxRetryAfter = 2 * time.Second
	// honouredShare is the share of the time that is left to which callers honour a delay.
	honouredShare = 1.0 / 3
	// lateMargin is the factor by which the predicted first response of late work must be
	// shorter than the time until the caller gives it up. Requests that arrive later pass it.
	// With 1.5, half of the late requests were abandoned in the simulation.
	lateMargin = 3
)

// Request holds the properties of a request that the decision depends on.
type Request struct {
	// Objective is the latency objective. A later response is worth less to the
	// caller.
	Objective time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Patience is the time until the caller abandons a response that has not begun. Zero means
	// that it waits until the deadline.
	Patience time.Duration
	// LateWork reports whether the deployment allows late work.
	LateWork bool
	// OverShare reports whether the request is beyond the share of its account while capacity
	// is short. It is treated as one that cannot be in time unless its best upstream is idle: an
	// idle engine without the cached prompts would prefill them again, at the cost of accounts
	// that are within their share. It has no effect while less urgent work yields to the request.
	OverShare bool
	// Withheld reports whether such a request may not use an idle upstream either, because its
	// account floods more urgent priorities.
	Withheld bool
	// Jitter is uniform in [0, 1). It spreads the retries of shed callers.
	Jitter float64
}

// Decision is the outcome of admission control.
type Decision struct {
	Admit bool
	// Late reports whether the request is admitted as late work.
	Late bool
	// RetryAfter is the delay before a caller that is not admitted may retry.
	RetryAfter time.Duration
}

// Decide admits the request if its wait leaves time for the objective, also for its own
// prefill unless the wait is short. In a burst that the engines cannot prefill in time, a
// request that is late anyway would make those behind it late as well.
func Decide(request Request, choice placement.Choice) Decision {
	share := maxWaitShare
	if choice.LessUrgentWork {
		share = maxUrgentWaitShare
	}
	bound := max(time.Duration(share*float64(request.Objective)), minWaitBound)
	switch {
	case choice.Wait > bound || choice.Wait >= request.Remaining:
		return Decision{RetryAfter: RetryAfter(request, choice.Wait-bound/2)}
	case !choice.LessUrgentWork && !inTime(request, choice):
		return Decision{RetryAfter: RetryAfter(request, choice.Wait)}
	}
	return Decision{Admit: true}
}

// inTime reports whether a request may be sent with regard to its own prefill.
func inTime(request Request, choice placement.Choice) bool {
	shortWait := max(time.Duration(shortWaitShare*float64(request.Objective)), minWaitBound)
	return choice.Wait <= shortWait || choice.FirstResponse <= request.Objective
}

// Place chooses an upstream for the request and decides whether it is admitted.
// If the upstream with the lowest cost is too busy, which may happen to the one
// that caches a session's prompts, an idle upstream is chosen instead: no request
// is shed while there is one, unless it is over the share of its account. During a burst
// there is none, and retrying a little later at the upstream with the cached prompts
// serves callers better. A request that cannot be in time is admitted as late work if the
// deployment allows that and it is likely to be served before the caller gives it up.
// Place returns false if there is no candidate.
func Place(request Request, work *placement.Work, entry placement.Entry, id string, candidates []placement.Candidate) (placement.Choice, Decision, bool) {
	choice, ok := placement.Choose(work, entry, id, candidates)
	if !ok {
		return choice, Decision{}, false
	}
	decision := Decide(request, choice)
	// Priorities come before shares: less urgent work yields first.
	overShare := request.OverShare && !choice.LessUrgentWork
	if overShare && (choice.Wait > 0 || request.Withheld) {
		decision = Decision{RetryAfter: RetryAfter(request, choice.Wait)}
	}
	if decision.Admit {
		return choice, decision, true
	}
	if !overShare {
		if other, ok := placement.Choose(work, entry, id, placement.Idle(work, entry, candidates)); ok {
			return other, Decide(request, other), true
		}
	}
	// As late work the request would wait behind the less urgent work that yields to it now.
	if choice.LessUrgentWork {
		return choice, decision, true
	}
	if late, ok := placeLate(request, work, entry, id, candidates); ok {
		return late, Decision{Admit: true, Late: true}, true
	}
	return choice, decision, true
}

// placeLate chooses an upstream for a request as late work. It returns false unless the first
// response is predicted to come well before the caller gives the request up.
func placeLate(request Request, work *placement.Work, entry placement.Entry, id string, candidates []placement.Candidate) (placement.Choice, bool) {
	if !request.LateWork || !work.Engine {
		return placement.Choice{}, false
	}
	limit := request.Remaining
	if request.Patience > 0 {
		limit = min(limit, request.Patience)
	}
	choice, ok := placement.ChooseLate(work, entry, id, candidates)
	return choice, ok && time.Duration(lateMargin*float64(choice.FirstResponse)) <= limit
}

// RetryAfter returns the delay before a shed caller may retry: the expected time
// until there is capacity, bounded and with jitter added. Where late work takes the capacity
// that is free now, the delays are spread over half of the time that callers honour beyond
// that: in a burst, capacity for those that return soon is as scarce as it was. Spread over
// the whole, callers that return late displaced more requests in time in the simulation.
func RetryAfter(request Request, untilCapacity time.Duration) time.Duration {
	after := min(max(untilCapacity, minRetryAfter), maxRetryAfter)
	spread := after / 2
	if request.LateWork {
		longest := time.Duration(honouredShare * float64(request.Remaining))
		spread = max((min(longest, maxRetryAfter)-after)/2, spread)
	}
	return after + time.Duration(request.Jitter*float64(spread))
}
