package quarantine

import (
	"slices"
	"time"
)

// Settings bounds a Table.
type Settings struct {
	// MaxEntries bounds the fingerprints held; the one that expires first gives
	// way to a new one, and a suspect gives way before a condemned request.
	MaxEntries int
	// Keep is how long a fingerprint is held after its last crash.
	Keep time.Duration
	// MaxCrashes condemns a request that was part of so many crashes, though
	// never as the only suspect.
	MaxCrashes int
}

// DefaultSettings returns settings that hold a request for an hour.
func DefaultSettings() Settings {
	return Settings{MaxEntries: 1024, Keep: time.Hour, MaxCrashes: 4}
}

// Entry is what is known of one fingerprint. Times are remaining durations,
// because the clocks of instances differ.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes counts the crashes that the request was part of.
	Crashes   int  `json:"crashes"`
	Condemned bool `json:"condemned,omitempty"`
	// KeepMilliseconds is how long the entry remains in force.
	KeepMilliseconds int64 `json:"keep_ms"`
}

// suspicion is the state of one fingerprint.
type suspicion struct {
	crashes   int
	condemned bool
	until     time.Duration
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
	// Crashes counts the crashes that the request was part of.
	Crashes   int
	Condemned bool
}

// Look returns what is known of the request.
func (t *Table) Look(now time.Duration, print Fingerprint) Verdict {
	known, ok := t.entries[print]
	if !ok || now >= known.until {
		return Verdict{}
	}
	return Verdict{Crashes: known.crashes, Condemned: known.condemned}
}

// Crashed counts a crash of an upstream that ran the request. It condemns the
// request when it was a suspect before and the only one on that upstream.
func (t *Table) Crashed(now time.Duration, print Fingerprint, onlySuspect bool) Verdict {
	before := t.Look(now, print)
	after := suspicion{
		crashes:   before.Crashes + 1,
		condemned: before.Condemned,
		until:     now + t.settings.Keep,
	}
	if before.Crashes > 0 && onlySuspect || after.crashes >= t.settings.MaxCrashes {
		after.condemned = true
	}
	t.put(now, print, after)
	return Verdict{Crashes: after.crashes, Condemned: after.condemned}
}

// Completed clears a suspect that ran to its end. A condemned request stays.
func (t *Table) Completed(print Fingerprint) {
	if known, ok := t.entries[print]; ok && !known.condemned {
		delete(t.entries, print)
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
	keep := min(time.Duration(entry.KeepMilliseconds)*time.Millisecond, t.settings.Keep)
	if keep <= 0 || entry.Crashes <= 0 {
		return false
	}
	known := t.Look(now, entry.Fingerprint)
	if known.Crashes >= entry.Crashes && (known.Condemned || !entry.Condemned) {
		return false
	}
	t.put(now, entry.Fingerprint, suspicion{
		crashes:   max(known.Crashes, entry.Crashes),
		condemned: known.Condemned || entry.Condemned,
		until:     now + keep,
	})
	return true
}

// List returns all entries in force, condemned ones first, at most limit.
func (t *Table) List(now time.Duration, limit int) []Entry {
	list := make([]Entry, 0, len(t.entries))
	for print, known := range t.entries {
		if now < known.until {
			list = append(list, known.entry(now, print))
		}
	}
	slices.SortFunc(list, compareEntries)
	return list[:min(limit, len(list))]
}

func (s suspicion) entry(now time.Duration, print Fingerprint) Entry {
	return Entry{
		Fingerprint:      print,
		Crashes:          s.crashes,
		Condemned:        s.condemned,
		KeepMilliseconds: (s.until - now).Milliseconds(),
	}
}

func compareEntries(a, b Entry) int {
	if a.Condemned != b.Condemned {
		if a.Condemned {
			return -1
		}
		return 1
	}
	if a.KeepMilliseconds != b.KeepMilliseconds {
		return int(b.KeepMilliseconds - a.KeepMilliseconds)
	}
	return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
}

// put keeps the state, and makes room for it when the table is full.
func (t *Table) put(now time.Duration, print Fingerprint, state suspicion) {
	if _, ok := t.entries[print]; !ok && len(t.entries) >= t.settings.MaxEntries {
		t.evict(now)
	}
	t.entries[print] = state
}

// evict forgets expired entries, or else the least valuable one.
func (t *Table) evict(now time.Duration) {
	var worst Fingerprint
	var least *suspicion
	for print, known := range t.entries {
		if now >= known.until {
			delete(t.entries, print)
			continue
		}
		if least == nil || lessValuable(known, *least) {
			worst, least = print, &known
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
	return a.until < b.until
}
