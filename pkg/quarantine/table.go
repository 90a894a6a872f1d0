package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Settings bounds a Table.
type Settings struct {
	// MaxEntries bounds the fingerprints held; the one that expires first gives
	// way to a new one, and a suspect gives way before a condemned request.
	MaxEntries int
	// TTL is how long a fingerprint is held after its last crash.
	TTL time.Duration
	// CondemnCrashes condemns a request that was part of so many crashes, of the
	// last as the only suspect.
	CondemnCrashes int
	// MaxCrashes condemns a request that was part of so many crashes, though
	// never as the only suspect.
	MaxCrashes int
}

// DefaultSettings returns settings that hold a request for an hour.
func DefaultSettings() Settings {
	return Settings{MaxEntries: 1024, TTL: time.Hour, CondemnCrashes: 3, MaxCrashes: 5}
}

// sameCrash is how far two reports of one crash of an upstream may be apart.
const sameCrash = time.Second

// CrashReport is one crash that a request was part of.
type CrashReport struct {
	Upstream types.UpstreamID `json:"upstream"`
	// AgeMilliseconds is the time since the crash, because the clocks of
	// instances differ.
	AgeMilliseconds int64 `json:"age_ms"`
}

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crashes     []CrashReport `json:"strikes"`
	Condemned   bool          `json:"condemned,omitempty"`
}

// crash is a strike in the time of this instance.
type crash struct {
	upstream types.UpstreamID
	at       time.Duration
}

func (c crash) same(other crash) bool {
	return c.upstream == other.upstream && (c.at-other.at).Abs() <= sameCrash
}

// suspicion is the state of one fingerprint.
type suspicion struct {
	crashes   []crash
	condemned bool
}

// last returns the time of the last crash.
func (s suspicion) last() time.Duration {
	var last time.Duration
	for _, c := range s.crashes {
		last = max(last, c.at)
	}
	return last
}

// has reports whether the crash is counted already.
func (s suspicion) has(c crash) bool {
	return slices.ContainsFunc(s.crashes, c.same)
}

// Table holds suspected and condemned requests. It is pure: the time is any
// monotonic reading. It is not safe for concurrent use.
type Table struct {
	settings Settings
	entries  map[Fingerprint]suspicion
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, entries: make(map[Fingerprint]suspicion)}
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int { return len(t.entries) }

// Verdict is what is known of a request before it runs.
type Verdict struct {
	// Crashes counts the unexplained crashes that the request was part of.
	Crashes   int
	Condemned bool
}

// Lookup returns what is known of the request.
func (t *Table) Lookup(now time.Duration, fp Fingerprint) Verdict {
	known := t.inForce(now, fp)
	return Verdict{Crashes: len(known.crashes), Condemned: known.condemned}
}

func (t *Table) inForce(now time.Duration, fp Fingerprint) suspicion {
	known, ok := t.entries[fp]
	if !ok || now >= known.last()+t.settings.TTL {
		return suspicion{}
	}
	return known
}

// Run is one attempt of a request that ended with a crash of its upstream.
type CrashedAttempt struct {
	Upstream types.UpstreamID
	// Duration is how long the attempt ran.
	Duration time.Duration
	// OnlySuspect says that no other suspect ran there.
	OnlySuspect bool
}

// RecordCrash counts a crash of the upstream that ran the request, and condemns the
// request when there are enough. A crash that a condemned request explains
// counts for no other, and one that another copy of the request has reported
// counts once.
func (t *Table) RecordCrash(now time.Duration, fp Fingerprint, attempt CrashedAttempt) Verdict {
	known := t.inForce(now, fp)
	here := crash{upstream: attempt.Upstream, at: now}
	during := func(c crash) bool { return c.same(here) && c.at > now-attempt.Duration }
	if known.condemned || slices.ContainsFunc(known.crashes, during) || t.explained(during) {
		return t.Lookup(now, fp)
	}
	known.crashes = append(slices.Clone(known.crashes), here)
	known.condemned = t.enough(len(known.crashes), attempt.OnlySuspect)
	t.put(now, fp, known)
	return t.Lookup(now, fp)
}

// enough reports whether so many crashes condemn a request.
func (t *Table) enough(crashes int, onlySuspect bool) bool {
	return onlySuspect && crashes >= t.settings.CondemnCrashes || crashes >= t.settings.MaxCrashes
}

// explained reports whether a condemned request was part of such a crash.
func (t *Table) explained(such func(crash) bool) bool {
	for _, known := range t.entries {
		if known.condemned && slices.ContainsFunc(known.crashes, such) {
			return true
		}
	}
	return false
}

// explain takes the crashes of a condemned request from all other suspects, and
// clears those that have none left.
func (t *Table) explain(condemned Fingerprint) {
	culprit := t.entries[condemned]
	for fp, known := range t.entries {
		if fp == condemned || known.condemned {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(known.crashes), culprit.has)
		if len(left) == 0 {
			delete(t.entries, fp)
			continue
		}
		known.crashes = left
		t.entries[fp] = known
	}
}

// RecordCompletion clears a suspect that ran to its end. A condemned request stays.
func (t *Table) RecordCompletion(fp Fingerprint) {
	if known, ok := t.entries[fp]; ok && !known.condemned {
		delete(t.entries, fp)
	}
}

// Merge takes what another instance knows and returns the entries that were
// news.
func (t *Table) Merge(now time.Duration, entries []Entry) []Entry {
	var news []Entry
	for _, entry := range entries {
		if t.mergeOne(now, entry) {
			news = append(news, entry)
		}
	}
	return news
}

func (t *Table) mergeOne(now time.Duration, entry Entry) bool {
	known := t.inForce(now, entry.Fingerprint)
	merged := known
	merged.crashes = slices.Clone(known.crashes)
	merged.condemned = known.condemned || entry.Condemned
	for _, strike := range entry.Crashes {
		c := crash{upstream: strike.Upstream, at: now - time.Duration(strike.AgeMilliseconds)*time.Millisecond}
		if t.counts(now, merged, c) {
			merged.crashes = append(merged.crashes, c)
		}
	}
	if len(merged.crashes) == len(known.crashes) && merged.condemned == known.condemned || len(merged.crashes) == 0 {
		return false
	}
	t.put(now, entry.Fingerprint, merged)
	return true
}

// counts reports whether a crash that another instance reports is news. That of
// a condemned request is, even when another condemned one was part of it.
func (t *Table) counts(now time.Duration, known suspicion, c crash) bool {
	if now-c.at >= t.settings.TTL || known.has(c) || len(known.crashes) >= t.settings.MaxCrashes {
		return false
	}
	return known.condemned || !t.explained(c.same)
}

// List returns all entries in force, condemned ones first, at most limit.
func (t *Table) List(now time.Duration, limit int) []Entry {
	list := make([]Entry, 0, len(t.entries))
	for fp := range t.entries {
		if entry, ok := t.entry(now, fp); ok {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list[:min(limit, len(list))]
}

// entry returns the entry of a fingerprint in force.
func (t *Table) entry(now time.Duration, fp Fingerprint) (Entry, bool) {
	known := t.inForce(now, fp)
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
	youngest := int64(math.MaxInt64)
	for _, strike := range e.Crashes {
		youngest = min(youngest, strike.AgeMilliseconds)
	}
	return youngest
}

// put keeps the state, and makes room for it when the table is full.
func (t *Table) put(now time.Duration, fp Fingerprint, state suspicion) {
	if _, ok := t.entries[fp]; !ok && len(t.entries) >= t.settings.MaxEntries {
		t.evict(now)
	}
	t.entries[fp] = state
	if state.condemned {
		t.explain(fp)
	}
}

// evict forgets expired entries, or else the least valuable one.
func (t *Table) evict(now time.Duration) {
	var worst Fingerprint
	var least *suspicion
	for fp, known := range t.entries {
		if now >= known.last()+t.settings.TTL {
			delete(t.entries, fp)
			continue
		}
		if least == nil || lessValuable(known, *least) {
			worst, least = fp, &known
		}
	}
	if len(t.entries) >= t.settings.MaxEntries {
		delete(t.entries, worst)
	}
}

func lessValuable(a, b suspicion) bool {
	if a.condemned != b.condemned {
		return b.condemned
	}
	return a.last() < b.last()
}
