// Package admission decides whether a request is sent to its best upstream or
// refused at once with the time to come back. It is pure.
//
// It answers the load of a burst that the engines cannot read in time: without a
// bound everything waits beyond its objective, and the callers who give up leave
// work behind that nobody gets.
package admission

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
)

const (
	// waitShare is the part of the objective that a request may wait before its
	// prompt is read; the rest is needed to read it.
	waitShare = 0.9
	// urgentShare is the same for requests beside which less urgent ones are
	// served: these are refused first, and callers leave a stream that has not
	// begun after four times its objective, or two seconds.
	urgentShare = 3.5
	// minWait lets requests of short objectives wait for a step or two.
	minWait = 60 * time.Millisecond
	// shortestReturn is the soonest that a refused caller is asked to come back.
	shortestReturn = 100 * time.Millisecond
	// longestReturn bounds it: callers honour up to a third of their time.
	longestReturn = 2 * time.Second
)

// Request is what the decision needs to know of a request.
type Request struct {
	// Objective is the time in which the answer is worth its full value.
	Objective time.Duration
	// Remaining is the time until its deadline.
	Remaining time.Duration
	// Spread is uniform in [0, 1); it keeps callers from coming back together.
	Spread float64
}

// Decision is the outcome.
type Decision struct {
	Admit bool
	// ReturnAfter tells the caller when to come back, if it is not admitted.
	ReturnAfter time.Duration
}

// Decide admits the request if the wait before its work begins leaves time for
// the objective. The length of its own prompt does not count, so that long
// requests are not the ones that are always refused.
func Decide(request Request, choice placement.Choice) Decision {
	share := waitShare
	if choice.Urgent {
		share = urgentShare
	}
	bound := max(time.Duration(share*float64(request.Objective)), minWait)
	if choice.Wait <= bound && choice.Wait < request.Remaining {
		return Decision{Admit: true}
	}
	return Decision{ReturnAfter: Return(request, choice.Wait-bound/2)}
}

// Place chooses an upstream for the request and decides whether it is admitted.
// If the best one by cost is too busy, as the one that keeps a session's prompts
// may be, an idle one is chosen: nobody is refused while there is any. In a burst
// there is none, and callers are served better where their session's prompts were
// read, a little later. It returns false when there is no candidate.
func Place(request Request, work *placement.Work, entry placement.Entry, id string, candidates []placement.Candidate) (placement.Choice, Decision, bool) {
	choice, ok := placement.Choose(work, entry, id, candidates)
	if !ok {
		return choice, Decision{}, false
	}
	decision := Decide(request, choice)
	if decision.Admit {
		return choice, decision, true
	}
	if other, ok := placement.Choose(work, entry, id, placement.Idle(work, entry, candidates)); ok {
		return other, Decide(request, other), true
	}
	return choice, decision, true
}

// Return is when a refused caller may come back, given the time until there is
// room.
func Return(request Request, room time.Duration) time.Duration {
	after := min(max(room, shortestReturn), longestReturn)
	return after + time.Duration(request.Spread*float64(after)/2)
}
