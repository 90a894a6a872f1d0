package placement

import "slices"

const (
	// LatePriority is the priority of late work: requests that cannot be in time and that an
	// engine admits only behind all others.
	LatePriority = 9
	// lateQueueShare bounds the late requests that wait at an engine, as a share of its slots.
	// An engine rejects requests when about two requests for each slot wait.
	lateQueueShare = 0.5
)

// Late reports whether the request is sent as late work.
func (w *Work) Late() bool { return w.LateWork && w.Priority == LatePriority }

// withoutLate returns the candidates without their late work, which neither delays another
// request nor yields a place to it that it would not have anyway.
func withoutLate(work *Work, candidates []Candidate) []Candidate {
	if !work.LateWork || work.Late() {
		return candidates
	}
	others := candidates
	for i := range candidates {
		if _, ok := candidates[i].Load.ByPriority[LatePriority]; !ok {
			continue
		}
		if &others[0] == &candidates[0] {
			others = slices.Clone(candidates)
		}
		others[i].Load = candidates[i].Load.withoutLate()
	}
	return others
}

func (l Load) withoutLate() Load {
	byPriority := make(map[int]PriorityLoad, len(l.ByPriority))
	for priority, load := range l.ByPriority {
		if priority != LatePriority {
			byPriority[priority] = load
		}
	}
	l.ByPriority = byPriority
	return l
}

// ChooseLate returns the placement with the lowest cost for the request as late work, or false
// if none of the candidates that Choose considers accepts another late request. The predicted
// times count all load as ahead of the request.
func ChooseLate(work *Work, entry Entry, request string, candidates []Candidate) (Choice, bool) {
	late := *work
	late.Priority = LatePriority
	return choose(&late, entry, request, candidates, func(c *Candidate, reserved bool) bool {
		return c.acceptsLate(&late, reserved)
	})
}

// acceptsLate reports whether another late request may wait at the candidate. A long prompt may
// not where there are latency-sensitive streams or may soon be: its prefill would make them late
// in every step that has nothing more urgent to prefill.
func (c *Candidate) acceptsLate(work *Work, reserved bool) bool {
	if work.long(c.CachedTokens) && (reserved || c.Load.LatencySensitive > 0) {
		return false
	}
	return float64(c.Load.ByPriority[LatePriority].Waiting) < lateQueueShare*float64(c.Slots)
}
