package idempotency

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Fingerprint tells requests apart that use the same key.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, uri string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + " " + uri + "\n")
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Result is the outcome of an execution: an answer, or the failure that every
// copy of the request gets.
type Result struct {
	Status  int
	Header  http.Header
	Body    []byte
	Failure *fault.Error
}

// size estimates the memory of the result in bytes.
func (r Result) size() int {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Action says what to do with one copy of a request.
type Action int

const (
	// Execute: this copy is the first; it alone may go to an upstream.
	Execute Action = iota
	// Wait: another copy is running; this one gets the same outcome.
	Wait
	// Replay: the outcome is known.
	Replay
)

// String returns what became of the copy.
func (a Action) String() string {
	switch a {
	case Execute:
		return "executed"
	case Wait:
		return "waited"
	default:
		return "replayed"
	}
}

// ScopedKey identifies a record: keys of different accounts never meet.
type ScopedKey struct {
	Account types.AccountID
	Key     Key
}

// record is what is known of one key. It lives until its window closes.
type record struct {
	fingerprint Fingerprint
	done        bool
	// dropped says that the result was too large to be kept.
	dropped bool
	result  Result
}

// windowsAhead is how far a key may be ahead of the executor's own clock: the
// directory that named the window may read another clock a moment earlier.
const windowsAhead = 1

// Table decides, for one incarnation, which copy of a keyed request executes.
// It is pure: the time is the monotonic time since the start of the instance.
// It is not safe for concurrent use.
type Table struct {
	incarnation types.Incarnation
	settings    Settings
	windows     map[Window]map[ScopedKey]*record
	records     int
	bytes       int
}

// NewTable returns a table without records.
func NewTable(incarnation types.Incarnation, settings Settings) *Table {
	return &Table{
		incarnation: incarnation,
		settings:    settings,
		windows:     make(map[Window]map[ScopedKey]*record),
	}
}

// Begin decides about one copy. It returns OutcomeUnknown for a key of another
// incarnation, KeyInvalid for a window that has not begun, KeyExpired for one
// that has closed, KeyReused for another request under a known key, and
// Overloaded when there is no room for a new key.
func (t *Table) Begin(now time.Duration, name ScopedKey, fp Fingerprint) (Action, Result, error) {
	t.expire(now)
	if err := t.check(now, name.Key); err != nil {
		return Execute, Result{}, err
	}
	known, ok := t.windows[name.Key.Window][name]
	if !ok {
		return Execute, Result{}, t.add(now, name, fp)
	}
	if known.fingerprint != fp {
		return Execute, Result{}, fault.New(fault.KeyReused, "the Idempotency-Key was used before with another request")
	}
	if !known.done {
		return Wait, Result{}, nil
	}
	if known.dropped {
		return Replay, Result{Failure: droppedResult()}, nil
	}
	return Replay, known.result, nil
}

// MayHaveRun reports whether a copy of the request may have run: the key is of
// another incarnation, its window has closed, or it has a record.
func (t *Table) MayHaveRun(now time.Duration, name ScopedKey) bool {
	if name.Key.Incarnation != t.incarnation || t.settings.Windows.Closed(name.Key.Window, now) {
		return true
	}
	_, known := t.windows[name.Key.Window][name]
	return known
}

func droppedResult() *fault.Error {
	return fault.New(fault.OutcomeUnknown, "the request ran; its answer is no longer kept").WithRunState(types.Ran)
}

func (t *Table) check(now time.Duration, key Key) error {
	if key.Incarnation != t.incarnation {
		return fault.New(fault.OutcomeUnknown, "the key names another executor")
	}
	if key.Window > t.settings.Windows.Current(now)+windowsAhead {
		return fault.New(fault.KeyInvalid, "the key names a window that has not begun")
	}
	if t.settings.Windows.Closed(key.Window, now) {
		return fault.New(fault.KeyExpired, "the window of the key has closed; whether the request ran is no longer known")
	}
	return nil
}

// add makes the record before anything runs, so that there is never a second
// first copy.
func (t *Table) add(now time.Duration, name ScopedKey, fp Fingerprint) error {
	if t.records >= t.settings.MaxRecords {
		return fault.New(fault.Overloaded, "too many keys are in use").WithRetryAfter(t.room(now))
	}
	window := t.windows[name.Key.Window]
	if window == nil {
		window = make(map[ScopedKey]*record)
		t.windows[name.Key.Window] = window
	}
	window[name] = &record{fingerprint: fp}
	t.records++
	return nil
}

// room returns the time until the oldest window closes.
func (t *Table) room(now time.Duration) time.Duration {
	wait := t.settings.Windows.Length
	for window := range t.windows {
		wait = min(wait, t.settings.Windows.closing(window)-now)
	}
	return max(wait, time.Second)
}

// Complete keeps the outcome of an execution for later copies. It does nothing
// when the window has closed meanwhile.
func (t *Table) Complete(name ScopedKey, result Result) {
	known, ok := t.windows[name.Key.Window][name]
	if !ok || known.done {
		return
	}
	known.done = true
	if t.bytes+result.size() > t.settings.MaxResultBytes {
		known.dropped = true
		return
	}
	known.result = result
	t.bytes += result.size()
}

// Release forgets a key whose request is known not to have run, so that a later
// copy may execute.
func (t *Table) Release(name ScopedKey) {
	known, ok := t.windows[name.Key.Window][name]
	if !ok || known.done {
		return
	}
	delete(t.windows[name.Key.Window], name)
	t.records--
}

// expire forgets the records of closed windows.
func (t *Table) expire(now time.Duration) {
	for window, records := range t.windows {
		if !t.settings.Windows.Closed(window, now) {
			continue
		}
		for _, known := range records {
			t.bytes -= known.result.size()
		}
		t.records -= len(records)
		delete(t.windows, window)
	}
}
