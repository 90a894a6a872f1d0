package quarantine

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxParts is the maximum number of suspected and convicted parts.
	maxParts = 1024
	// maxConvictedParts is the maximum number of convicted parts. The rest of maxParts
	// is left for suspects, so that new parts can still be convicted.
	maxConvictedParts = maxParts * 3 / 4
	// maxReportedParts is the maximum number of entries that one crash adds to the
	// reports to peers.
	maxReportedParts = 64
	// trialInterval is the minimum time between two requests that are let through to
	// settle whether a convicted part is guilty.
	trialInterval = time.Second
	// settleSpread is the range over which the instances spread the first of these
	// requests after a crash, or after the first one that may settle it: otherwise all
	// begin at once where that becomes possible long after the crash.
	settleSpread = 2 * time.Second
	// correctionSpread is the longest delay before peers are corrected. Instances differ
	// in it, so that most hear the correction of another and stay silent.
	correctionSpread = 200 * time.Millisecond
	// correctionPause is the minimum time between two corrections about a part, those of
	// other instances included.
	correctionPause = 2 * time.Second
	// clearingRounds is the number of rounds against a part known to be sound from
	// which on peers are told that it is sound.
	clearingRounds = 2
)

// PartVerdict explains why a request is refused.
type PartVerdict struct {
	Part Fingerprint
	// Crashes are those of the part, oldest first.
	Crashes []CrashReport
	// Rounds is the number of crashes that count as separate evidence.
	Rounds int
	// ConvictedFor is the time since the conviction.
	ConvictedFor time.Duration
	// OnTrial is set if the sentence has ended and another request is on trial now.
	OnTrial bool
	// TrialIn is the time until the part may be tried again.
	TrialIn time.Duration
}

// partTable is the part of a Table that holds parts of prompts.
type partTable struct {
	states map[Fingerprint]*partState
	sound  soundMemory
	// answered is the time of the last evidence that any part is sound.
	answered time.Duration
	// corrections holds when peers must be told the state of a part.
	corrections map[Fingerprint]time.Duration
	// corrected holds when a part was last the subject of a correction.
	corrected map[Fingerprint]time.Duration
}

func newPartTable() partTable {
	return partTable{
		states:      make(map[Fingerprint]*partState),
		sound:       newSoundMemory(),
		corrections: make(map[Fingerprint]time.Duration),
		corrected:   make(map[Fingerprint]time.Duration),
	}
}

// RefusedPart returns the verdict on a request that must not run because of one of its
// parts, and false if the request may run. It lets through single requests that settle
// whether a part is guilty, so callers ask once for each attempt, right before they
// send it.
func (t *Table) RefusedPart(now time.Duration, parts []Fingerprint) (PartVerdict, bool) {
	verdict, tried, refused := t.refusedPart(now, parts)
	for _, state := range tried {
		state.passed, state.wasTried = now, true
	}
	return verdict, refused
}

// PeekPart returns the verdict that RefusedPart would return, for a request that is not
// sent yet.
func (t *Table) PeekPart(now time.Duration, parts []Fingerprint) (PartVerdict, bool) {
	verdict, _, refused := t.refusedPart(now, parts)
	return verdict, refused
}

// refusedPart returns the verdict or, for a request that may run, the convicted parts that
// it puts on trial. It looks at all parts also if one is refused, so that their waits before the
// first trial run at the same time and not one after the other.
func (t *Table) refusedPart(now time.Duration, parts []Fingerprint) (verdict PartVerdict, tried []*partState, refused bool) {
	if len(t.parts.states) == 0 {
		return PartVerdict{}, nil, false
	}
	for _, fp := range parts {
		state, ok := t.parts.states[fp]
		if !ok || !state.convicted || state.expired(now) {
			continue
		}
		onTrial := now >= t.trialAt(state)
		found := limited
		if !onTrial {
			found = t.explanation(now, state, parts)
		}
		if found == free {
			continue
		}
		state.noteTriable(now, !onTrial && found != unexplained, refused)
		if found != unexplained && t.mayTry(now, fp, state) {
			tried = append(tried, state)
		} else if !refused {
			verdict, refused = t.partVerdict(now, fp, state, onTrial), true
		}
	}
	if refused {
		return verdict, nil, true
	}
	return PartVerdict{}, tried, false
}

// mayTry reports whether this instance may let a request through that settles whether a
// part is guilty.
func (t *Table) mayTry(now time.Duration, fp Fingerprint, state *partState) bool {
	if state.wasTried && now-state.passed < trialInterval {
		return false
	}
	if t.settings.MayTry != nil && !t.settings.MayTry(fp) {
		return false
	}
	return now-max(state.lastCrash(), state.triableSince) >= time.Duration(t.settings.TrialJitter*float64(settleSpread))
}

// sentence returns the time from the last crash to the trial of a convicted part. It is
// short while nothing has been answered since the conviction: then no answer tells the part
// from those that all requests share.
func (t *Table) sentence(state *partState) time.Duration {
	if state.firm() && t.parts.answered > state.since {
		return state.longSentence()
	}
	return state.shortSentence()
}

// trialAt returns when the sentence of a convicted part ends at this instance.
func (t *Table) trialAt(state *partState) time.Duration {
	length := t.sentence(state)
	return state.lastCrash() + length + time.Duration(t.settings.TrialJitter*float64(max(length, minTrialSpread)))
}

func (t *Table) partVerdict(now time.Duration, fp Fingerprint, state *partState, onTrial bool) PartVerdict {
	trial := t.trialAt(state)
	if onTrial {
		trial = state.passed + trialInterval
	}
	return PartVerdict{
		Part:         fp,
		Crashes:      reports(now, state.crashes),
		Rounds:       rounds(state.crashes),
		ConvictedFor: now - state.since,
		OnTrial:      onTrial,
		TrialIn:      max(trial-now, 0),
	}
}

// RecordPartCrash counts the crash of an upstream against the parts of an attempt that the
// upstream had begun, or was about to answer, and returns the entries to report to peers.
// The duration is the time from the begin of the attempt to this call.
func (t *Table) RecordPartCrash(now time.Duration, parts []Fingerprint, upstream types.UpstreamID, duration time.Duration) []Entry {
	current := partCrash{crash: crash{upstream: upstream, at: now}, began: now - duration, own: true}
	var changed, doubted []Entry
	for _, fp := range parts {
		_, isSound := t.parts.sound.get(now, fp)
		state := t.partEvidence(now, fp)
		if !state.add(current) {
			continue
		}
		state.judge(now, requiredRounds(isSound))
		t.putPart(now, fp, state)
		if isSound && !state.convicted {
			doubted = append(doubted, newestCrash(now, fp, state))
		} else {
			changed = append(changed, partReport(now, fp, state))
		}
	}
	changed = append(changed, doubted...)
	return changed[:min(len(changed), maxReportedParts)]
}

func requiredRounds(isSound bool) int {
	if isSound {
		return doubtRounds
	}
	return convictionRounds
}

// partEvidence returns the state of a part without what has expired.
func (t *Table) partEvidence(now time.Duration, fp Fingerprint) *partState {
	state, ok := t.parts.states[fp]
	if !ok || state.expired(now) {
		return &partState{}
	}
	if !state.convicted {
		state.dropBefore(now - suspicionTTL)
	}
	return state
}

// partReport returns what peers are told of a crash. If the part is convicted or may
// explain the crashes of one that is, it is everything, in case that earlier reports were
// lost.
func partReport(now time.Duration, fp Fingerprint, state *partState) Entry {
	if state.convicted || rounds(state.crashes) >= explainingRounds {
		return partEntry(now, fp, state)
	}
	return newestCrash(now, fp, state)
}

func newestCrash(now time.Duration, fp Fingerprint, state *partState) Entry {
	return Entry{Fingerprint: fp, Crashes: reports(now, state.crashes[len(state.crashes)-1:])}
}

func partEntry(now time.Duration, fp Fingerprint, state *partState) Entry {
	return Entry{Fingerprint: fp, Crashes: reports(now, state.crashes), Condemned: state.convicted}
}

// RecordPartsSound records a complete answer, which began at a time, to a request with these
// parts. The part that crashes upstreams does so when an answer begins, so the answer refutes the
// crashes until then. It clears the parts that have no others, and convicted ones whose others
// are too few for a part known to be sound. It returns the clearings to report to peers.
func (t *Table) RecordPartsSound(now, began time.Duration, parts []Fingerprint) []Entry {
	t.parts.answered = now
	var cleared []Entry
	for _, fp := range parts {
		known, isSound := t.parts.sound.get(now, fp)
		state, suspected := t.parts.states[fp]
		crashedSince := suspected && state.lastCrash() > began
		if crashedSince && state.convicted && rounds(state.crashesAfter(began)) >= doubtRounds {
			continue
		}
		answered := began
		if known.own {
			answered = max(began, known.answered)
		}
		t.parts.sound.put(fp, soundness{at: max(began, known.at), own: true, answered: answered})
		if !suspected {
			continue
		}
		t.refute(now, fp, began)
		if crashedSince && !state.convicted {
			continue
		}
		if !isSound || state.convicted || rounds(state.crashes) >= clearingRounds {
			// Without an age, because peers date the crashes later than this instance.
			cleared = append(cleared, Entry{Fingerprint: fp})
		}
	}
	return cleared
}

// mergePart adds the entry of a part from another instance and reports whether it
// changed the table.
func (t *Table) mergePart(now time.Duration, entry Entry) bool {
	if len(entry.Crashes) == 0 {
		return t.mergeClearing(now, entry)
	}
	known, isSound := t.parts.sound.get(now, entry.Fingerprint)
	state := t.partEvidence(now, entry.Fingerprint)
	changed := false
	told := entry.crashes(now)
	for _, c := range told {
		if now-c.at >= suspicionTTL && !entry.Condemned || isSound && c.at <= known.at {
			continue
		}
		changed = state.add(c) || changed
	}
	if entry.Condemned && !isSound && len(state.crashes) > 0 {
		state.minRounds = max(state.minRounds, rounds(told), convictionRounds)
		state.minWeight = max(state.minWeight, weight(told))
		changed = state.judge(now, 0) || changed
	}
	changed = state.judge(now, requiredRounds(isSound)) || changed
	if len(state.crashes) > 0 && changed && !state.expired(now) {
		t.putPart(now, entry.Fingerprint, state)
	}
	t.planCorrection(now, entry, known, isSound, state)
	return changed
}

// mergeClearing merges that another instance found a part to be sound.
func (t *Table) mergeClearing(now time.Duration, entry Entry) bool {
	fp := entry.Fingerprint
	answered := now - time.Duration(entry.AnsweredMilliseconds)*time.Millisecond
	known, isSound := t.parts.sound.get(now, fp)
	t.noteCorrection(now, fp)
	t.parts.answered = now
	known.at = max(known.at, answered)
	known.clearings++
	state, suspected := t.parts.states[fp]
	if suspected && state.convicted && rounds(state.crashesAfter(answered)) >= doubtRounds {
		return false
	}
	t.parts.sound.put(fp, known)
	t.refute(now, fp, answered)
	return suspected || !isSound
}

// refute drops the crashes of a part until a time, and its conviction.
func (t *Table) refute(now time.Duration, fp Fingerprint, until time.Duration) {
	state, ok := t.parts.states[fp]
	if !ok {
		return
	}
	t.deletePart(fp)
	if later := state.crashesAfter(until); len(later) > 0 {
		t.putPart(now, fp, &partState{crashes: later})
	}
}

// planCorrection schedules a correction if a peer suspects a part that this instance
// knows to be sound or has convicted. The conviction by a peer replaces a correction.
func (t *Table) planCorrection(now time.Duration, entry Entry, known soundness, isSound bool, state *partState) {
	if state.convicted {
		if entry.Condemned {
			t.noteCorrection(now, entry.Fingerprint)
			return
		}
	} else if !isSound || !known.own || known.clearings >= maxClearings ||
		!entry.Condemned && rounds(state.crashes) < clearingRounds {
		return
	}
	if last, ok := t.parts.corrected[entry.Fingerprint]; ok && now-last < correctionPause {
		return
	}
	if _, ok := t.parts.corrections[entry.Fingerprint]; !ok {
		t.parts.corrections[entry.Fingerprint] = now + time.Duration(t.settings.TrialJitter*float64(correctionSpread))
	}
}

// noteCorrection records that peers are being told the state of a part.
func (t *Table) noteCorrection(now time.Duration, fp Fingerprint) {
	delete(t.parts.corrections, fp)
	if len(t.parts.corrected) >= maxParts {
		for old, at := range t.parts.corrected {
			if now-at >= correctionPause {
				delete(t.parts.corrected, old)
			}
		}
	}
	if len(t.parts.corrected) < maxParts {
		t.parts.corrected[fp] = now
	}
}

// Corrections returns the entries that correct peers: those that suspect a part that is
// known to be sound, and those that have not heard of a conviction. Callers ask after
// Merge and at regular intervals.
func (t *Table) Corrections(now time.Duration) []Entry {
	var due []Entry
	for fp, at := range t.parts.corrections {
		if now < at {
			continue
		}
		t.noteCorrection(now, fp)
		if entry, ok := t.correction(now, fp); ok {
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, compareEntries)
	return due
}

func (t *Table) correction(now time.Duration, fp Fingerprint) (Entry, bool) {
	if state, ok := t.parts.states[fp]; ok && state.convicted {
		return partEntry(now, fp, state), !state.expired(now)
	}
	known, isSound := t.parts.sound.get(now, fp)
	if !isSound {
		return Entry{}, false
	}
	known.clearings++
	t.parts.sound.put(fp, known)
	return Entry{Fingerprint: fp, AnsweredMilliseconds: (now - known.answered).Milliseconds()}, true
}

// PartCounts returns the number of parts that are suspected and convicted.
func (t *Table) PartCounts() (suspected, convicted int) {
	for _, state := range t.parts.states {
		if state.convicted {
			convicted++
		}
	}
	return len(t.parts.states) - convicted, convicted
}

// putPart stores the state of a part. If there are too many, it evicts one first.
func (t *Table) putPart(now time.Duration, fp Fingerprint, state *partState) {
	t.version++
	_, known := t.parts.states[fp]
	if !known && len(t.parts.states) >= maxParts {
		t.evictPart(now, func(*partState) bool { return true })
	}
	t.parts.states[fp] = state
	if !state.convicted {
		return
	}
	t.parts.sound.forget(fp)
	if _, convicted := t.PartCounts(); convicted > maxConvictedParts {
		t.evictPart(now, func(s *partState) bool { return s.convicted })
	}
}

func (t *Table) deletePart(fp Fingerprint) {
	t.version++
	delete(t.parts.states, fp)
	delete(t.parts.corrections, fp)
}

// evictPart deletes the expired parts. If there are none, it deletes the part with the
// oldest last crash among those that match, suspects before convicted ones.
func (t *Table) evictPart(now time.Duration, match func(*partState) bool) {
	before := len(t.parts.states)
	var victim Fingerprint
	var victimState *partState
	for fp, state := range t.parts.states {
		if state.expired(now) {
			t.deletePart(fp)
			continue
		}
		if match(state) && (victimState == nil || evictsPartBefore(state, victimState)) {
			victim, victimState = fp, state
		}
	}
	if len(t.parts.states) == before && victimState != nil {
		t.deletePart(victim)
	}
}

func evictsPartBefore(a, b *partState) bool {
	if a.convicted != b.convicted {
		return b.convicted
	}
	return a.lastCrash() < b.lastCrash()
}
