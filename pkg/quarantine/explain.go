package quarantine

import (
	"slices"
	"time"
)

// explanation is how well something outside a request explains the crashes of one of its
// convicted parts.
type explanation int

const (
	// unexplained means that the part is refused.
	unexplained explanation = iota
	// limited means that single requests are let through to settle which one is guilty.
	limited
	// free means that the part needs no limit.
	free
)

// explainingRounds is the number of rounds from which on a part can explain the crashes
// of another.
const explainingRounds = 2

// toleratedRounds is the number of rounds that need no explanation, because unrelated
// crashes may be among them: they would not convict the part by themselves.
const toleratedRounds = convictionRounds - 1

// widerRounds is the number of rounds without this part that the other must have, so that
// crashes after the conviction are tolerated too. Otherwise one of these settles that this
// part is guilty.
const widerRounds = 2

// explainersAge is how long the explainers of a part are used while the table does not
// change. Evidence only expires meanwhile.
const explainersAge = time.Second

// explainer is a part or a condemned request that explains the crashes of a part.
type explainer struct {
	fingerprint Fingerprint
	how         explanation
}

// explanation returns how well the parts outside the request, or condemned requests,
// explain the crashes of a convicted part.
func (t *Table) explanation(now time.Duration, convicted *partState, request []Fingerprint) explanation {
	if convicted.explainedFor != t.version || now-convicted.explainedAt >= explainersAge {
		convicted.explainers = t.explainersOf(now, convicted)
		convicted.explainedFor, convicted.explainedAt = t.version, now
	}
	best := unexplained
	for _, other := range convicted.explainers {
		if !slices.Contains(request, other.fingerprint) {
			best = max(best, other.how)
		}
	}
	return best
}

// explainersOf returns what explains the crashes of a convicted part.
func (t *Table) explainersOf(now time.Duration, convicted *partState) []explainer {
	var list []explainer
	for fp, other := range t.parts.states {
		if other == convicted || len(other.crashes) < explainingRounds || !t.mayBeGuilty(now, fp, other) {
			continue
		}
		if how := convicted.explainedBy(other, maxPartCrashes); how != unexplained {
			list = append(list, explainer{fingerprint: fp, how: how})
		}
	}
	for fp, known := range t.entries {
		if !known.condemned || now >= known.lastCrash()+t.settings.TTL {
			continue
		}
		if how := convicted.explainedBy(known.asPart(), t.settings.MaxCrashes); how != unexplained {
			list = append(list, explainer{fingerprint: fp, how: how})
		}
	}
	return list
}

// asPart returns the state of a condemned request in the form of a convicted part.
func (s fingerprintState) asPart() *partState {
	state := &partState{convicted: true}
	for _, c := range s.crashes {
		state.crashes = append(state.crashes, partCrash{crash: c})
	}
	return state
}

// mayBeGuilty reports whether a part can explain the crashes of others: it is convicted, or
// suspected and not known to be sound.
func (t *Table) mayBeGuilty(now time.Duration, fp Fingerprint, state *partState) bool {
	if state.expired(now) {
		return false
	}
	_, isSound := t.parts.sound.get(now, fp)
	return state.convicted || !isSound
}

// explainedBy returns how well another part explains the crashes of this one. capacity is
// the maximum number of crashes kept for the other.
func (s *partState) explainedBy(other *partState, capacity int) explanation {
	if rounds(other.crashes) < explainingRounds {
		return unexplained
	}
	missing := s.missingFrom(other, len(other.crashes) >= capacity)
	if rounds(missing) > toleratedRounds {
		return unexplained
	}
	var apart []partCrash
	if other.convicted {
		apart = other.missingFrom(s, false)
	}
	wider := rounds(apart)
	switch {
	case len(missing) == 0 && wider > 0:
		return free
	case len(missing) == 0 || wider >= widerRounds || missing[len(missing)-1].at <= s.since+roundSpacing:
		return limited
	case balanced(missing, apart):
		return limited
	}
	return unexplained
}

// balanced reports whether two convicted parts have as many rounds without each other and the
// one with the crashes in missing had its last one first. Such rounds do not tell which part is
// guilty, because an unrelated crash may be one of them, and the sentences would be long for both.
// From the first of these rounds on the other part was let through without a limit: a guilty one
// then crashes an upstream soon, a sound one is cleared by its first answer. So the part with the
// first round is more likely to be sound, and a trial of it costs fewer upstreams. If it crashes
// again, its second round settles that it is guilty.
func balanced(missing, apart []partCrash) bool {
	return len(apart) > 0 && rounds(missing) <= rounds(apart) && missing[len(missing)-1].at <= apart[len(apart)-1].at
}

// missingFrom returns the crashes that are not among those of another part.
func (s *partState) missingFrom(other *partState, full bool) []partCrash {
	var missing []partCrash
	for _, c := range s.crashes {
		if !other.covers(c, full) {
			missing = append(missing, c)
		}
	}
	return missing
}

// covers reports whether the crash is one of this part. Of a full list, crashes may have
// been dropped that lie close to those kept or before them.
func (s *partState) covers(c partCrash, full bool) bool {
	return slices.ContainsFunc(s.crashes, func(own partCrash) bool {
		return own.matchesPart(c) || full && (own.at-c.at).Abs() < roundSpacing
	}) || full && c.at < s.crashes[0].at
}
