package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Settings configures the limits of a Table.
type Settings struct {
	// MaxEntries is the maximum number of fingerprints. When the table is full,
	// the fingerprint that expires first is evicted, suspects before condemned
	// requests.
	MaxEntries int
	// TTL is how long a fingerprint is held after its last crash.
	TTL time.Duration
	// CondemnCrashes is the number of crashes after which a request is condemned
	// if it was the only suspect in the last one.
	CondemnCrashes int
	// MaxCrashes is the number of crashes after which a request is condemned even
	// if it was never the only suspect.
	MaxCrashes int
	// TrialJitter is between 0 and 1 and should differ between instances. It delays the
	// trial of a convicted part by up to the length of its sentence, so that the
	// instances do not try it at the same time.
	TrialJitter float64
	// MayTry reports whether this instance is one of the TrialInstances that try a convicted
	// part on behalf of the fleet. Nil means that it is.
	MayTry func(part Fingerprint) bool
}

// DefaultSettings returns settings with a TTL of one hour.
func DefaultSettings() Settings {
	return Settings{MaxEntries: 1024, TTL: time.Hour, CondemnCrashes: 3, MaxCrashes: 5}
}

// crashMatchWindow is the maximum time between two reports of the same upstream
// crash.
const crashMatchWindow = time.Second

// CrashReport describes one upstream crash during an attempt of a request.
type CrashReport struct {
	Upstream types.UpstreamID `json:"upstream"`
	// AgeMilliseconds is the time since the crash. It is relative because the
	// clocks of instances differ.
	AgeMilliseconds int64 `json:"age_ms"`
}

// withPossibleAges returns the reports without those that have impossible ages. A crash in the future
// would never expire.
func withPossibleAges(reports []CrashReport) []CrashReport {
	impossible := func(report CrashReport) bool {
		return !types.PossibleAge(report.AgeMilliseconds)
	}
	if !slices.ContainsFunc(reports, impossible) {
		return reports
	}
	return slices.DeleteFunc(slices.Clone(reports), impossible)
}

// Entry is the state of one fingerprint as exchanged between instances.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crashes     []CrashReport `json:"strikes"`
	Condemned   bool          `json:"condemned,omitempty"`
	// AnsweredMilliseconds is the age of the answer on which a correction rests, an entry of a
	// part without crashes. It refutes no later crash.
	AnsweredMilliseconds int64 `json:"answered_ms,omitempty"`
}

// crash is a CrashReport with the time of the crash on the local clock.
type crash struct {
	upstream types.UpstreamID
	at       time.Duration
}

func (c crash) matches(other crash) bool {
	return c.upstream == other.upstream && (c.at-other.at).Abs() <= crashMatchWindow
}

// fingerprintState is the local state of one fingerprint.
type fingerprintState struct {
	crashes   []crash
	condemned bool
}

// lastCrash returns the time of the last crash.
func (s fingerprintState) lastCrash() time.Duration {
	var last time.Duration
	for _, c := range s.crashes {
		last = max(last, c.at)
	}
	return last
}

// hasCrash reports whether the crash is already counted.
func (s fingerprintState) hasCrash(c crash) bool {
	return slices.ContainsFunc(s.crashes, c.matches)
}

// Table holds suspected and condemned requests and parts of prompts. It reads no clock: callers pass
// the current time as a monotonic duration. It is not safe for concurrent use.
type Table struct {
	settings Settings
	entries  map[Fingerprint]fingerprintState
	parts    partTable
	// version changes with the evidence.
	version uint64
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, entries: make(map[Fingerprint]fingerprintState), parts: newPartTable()}
}

// Len returns the number of fingerprints in the table, those of parts included.
func (t *Table) Len() int { return len(t.entries) + len(t.parts.states) }

// Verdict is the state of a request before it runs.
type Verdict struct {
	// Crashes is the number of upstream crashes during the request that are not
	// attributed to a condemned request.
	Crashes   int
	Condemned bool
}

// Lookup returns the verdict on a request.
func (t *Table) Lookup(now time.Duration, fp Fingerprint) Verdict {
	known := t.unexpired(now, fp)
	return Verdict{Crashes: len(known.crashes), Condemned: known.condemned}
}

// unexpired returns the state of a fingerprint, or an empty state if it is absent
// or expired.
func (t *Table) unexpired(now time.Duration, fp Fingerprint) fingerprintState {
	known, ok := t.entries[fp]
	if !ok || now >= known.lastCrash()+t.settings.TTL {
		return fingerprintState{}
	}
	return known
}

// CrashedAttempt is an attempt that ended because its upstream crashed.
type CrashedAttempt struct {
	Upstream types.UpstreamID
	// Duration is how long the attempt ran.
	Duration time.Duration
	// OnlySuspect is true if no other suspect was running on the upstream.
	OnlySuspect bool
}

// RecordCrash counts a crash of the upstream that ran the request, and condemns
// the request if it reaches a limit in Settings. A crash that a condemned request
// was part of is not counted for other requests. A crash reported by several
// copies of a request is counted once.
func (t *Table) RecordCrash(now time.Duration, fp Fingerprint, attempt CrashedAttempt) Verdict {
	known := t.unexpired(now, fp)
	current := crash{upstream: attempt.Upstream, at: now}
	during := func(c crash) bool { return c.matches(current) && c.at > now-attempt.Duration }
	if known.condemned || slices.ContainsFunc(known.crashes, during) || t.causedByCondemned(during) {
		return t.Lookup(now, fp)
	}
	known.crashes = append(slices.Clone(known.crashes), current)
	known.condemned = t.shouldCondemn(len(known.crashes), attempt.OnlySuspect)
	t.put(now, fp, known)
	return t.Lookup(now, fp)
}

// shouldCondemn reports whether a request with this number of crashes is
// condemned.
func (t *Table) shouldCondemn(crashes int, onlySuspect bool) bool {
	return onlySuspect && crashes >= t.settings.CondemnCrashes || crashes >= t.settings.MaxCrashes
}

// causedByCondemned reports whether a condemned request was part of a crash for
// which match returns true.
func (t *Table) causedByCondemned(match func(crash) bool) bool {
	for _, known := range t.entries {
		if known.condemned && slices.ContainsFunc(known.crashes, match) {
			return true
		}
	}
	return false
}

// discountCrashes removes the crashes of a condemned request from all other
// suspects, and deletes suspects without remaining crashes.
func (t *Table) discountCrashes(condemned Fingerprint) {
	condemnedState := t.entries[condemned]
	for fp, known := range t.entries {
		if fp == condemned || known.condemned {
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(known.crashes), condemnedState.hasCrash)
		if len(remaining) == 0 {
			delete(t.entries, fp)
			continue
		}
		known.crashes = remaining
		t.entries[fp] = known
	}
}

// RecordCompletion removes a suspect that ran to completion. A condemned request
// is kept.
func (t *Table) RecordCompletion(fp Fingerprint) {
	if known, ok := t.entries[fp]; ok && !known.condemned {
		delete(t.entries, fp)
	}
}

// Merge adds the entries of another instance and returns those that changed the
// table. It drops crashes with impossible ages, and entries that have no others.
func (t *Table) Merge(now time.Duration, entries []Entry) []Entry {
	var changed []Entry
	for _, entry := range entries {
		reported := len(entry.Crashes)
		entry.Crashes = withPossibleAges(entry.Crashes)
		// An entry of a part without crashes would clear it.
		if reported > 0 && len(entry.Crashes) == 0 || !types.PossibleAge(entry.AnsweredMilliseconds) {
			continue
		}
		if entry.Fingerprint.IsPart() && t.mergePart(now, entry) || !entry.Fingerprint.IsPart() && t.mergeEntry(now, entry) {
			changed = append(changed, entry)
		}
	}
	return changed
}

func (t *Table) mergeEntry(now time.Duration, entry Entry) bool {
	known := t.unexpired(now, entry.Fingerprint)
	merged := known
	merged.crashes = slices.Clone(known.crashes)
	merged.condemned = known.condemned || entry.Condemned
	for _, report := range entry.Crashes {
		c := crash{upstream: report.Upstream, at: now - time.Duration(report.AgeMilliseconds)*time.Millisecond}
		if t.isNewCrash(now, merged, c) {
			merged.crashes = append(merged.crashes, c)
		}
	}
	if len(merged.crashes) == len(known.crashes) && merged.condemned == known.condemned || len(merged.crashes) == 0 {
		return false
	}
	t.put(now, entry.Fingerprint, merged)
	return true
}

// isNewCrash reports whether a crash reported by another instance is to be
// counted. For a suspect, a crash that a condemned request was part of is not
// counted; for a condemned request it is.
func (t *Table) isNewCrash(now time.Duration, known fingerprintState, c crash) bool {
	if now-c.at >= t.settings.TTL || known.hasCrash(c) || len(known.crashes) >= t.settings.MaxCrashes {
		return false
	}
	return known.condemned || !t.causedByCondemned(c.matches)
}

// List returns up to limit unexpired entries: condemned ones first, then those
// with the most recent crash. Requests and parts alternate.
func (t *Table) List(now time.Duration, limit int) []Entry {
	requests := make([]Entry, 0, len(t.entries))
	for fp := range t.entries {
		if entry, ok := t.entry(now, fp); ok {
			requests = append(requests, entry)
		}
	}
	parts := make([]Entry, 0, len(t.parts.states))
	for fp, state := range t.parts.states {
		if !state.expired(now) {
			parts = append(parts, partEntry(now, fp, state))
		}
	}
	list := alternate(requests, parts)
	return list[:min(limit, len(list))]
}

// alternate sorts both lists and takes their entries in turn, the condemned ones of both
// before the others.
func alternate(a, b []Entry) []Entry {
	slices.SortFunc(a, compareEntries)
	slices.SortFunc(b, compareEntries)
	merged := make([]Entry, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Condemned || !b[0].Condemned {
			merged, a = append(merged, a[0]), a[1:]
		}
		if len(a) == 0 || b[0].Condemned || !a[0].Condemned {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// entry returns the entry of a fingerprint, and false if it has no unexpired state.
func (t *Table) entry(now time.Duration, fp Fingerprint) (Entry, bool) {
	known := t.unexpired(now, fp)
	entry := Entry{Fingerprint: fp, Condemned: known.condemned}
	for _, c := range known.crashes {
		entry.Crashes = append(entry.Crashes, CrashReport{Upstream: c.upstream, AgeMilliseconds: (now - c.at).Milliseconds()})
	}
	return entry, len(known.crashes) > 0
}

func compareEntries(a, b Entry) int {
	if a.Condemned != b.Condemned {
		if a.Condemned {
			return -1
		}
		return 1
	}
	if a.age() != b.age() {
		return cmp.Compare(a.age(), b.age())
	}
	return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
}

// age returns the time since the last crash in milliseconds.
func (e Entry) age() int64 {
	lowest := int64(math.MaxInt64)
	for _, report := range e.Crashes {
		lowest = min(lowest, report.AgeMilliseconds)
	}
	return lowest
}

// put stores the state of a fingerprint. If the table is full, it evicts an entry
// first.
func (t *Table) put(now time.Duration, fp Fingerprint, state fingerprintState) {
	t.version++
	if _, ok := t.entries[fp]; !ok && len(t.entries) >= t.settings.MaxEntries {
		t.evict(now)
	}
	t.entries[fp] = state
	if state.condemned {
		t.discountCrashes(fp)
	}
}

// evict deletes all expired entries. If there are none, it deletes the suspect, or
// else the condemned request, with the oldest last crash.
func (t *Table) evict(now time.Duration) {
	var victim Fingerprint
	var victimState *fingerprintState
	for fp, known := range t.entries {
		if now >= known.lastCrash()+t.settings.TTL {
			delete(t.entries, fp)
			continue
		}
		if victimState == nil || evictsBefore(known, *victimState) {
			victim, victimState = fp, &known
		}
	}
	if len(t.entries) >= t.settings.MaxEntries {
		delete(t.entries, victim)
	}
}

// evictsBefore reports whether a is evicted before b.
func evictsBefore(a, b fingerprintState) bool {
	if a.condemned != b.condemned {
		return b.condemned
	}
	return a.lastCrash() < b.lastCrash()
}
