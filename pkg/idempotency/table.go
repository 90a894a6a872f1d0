package idempotency

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Fingerprint is a hash of a request. It detects the reuse of a key for a
// different request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, uri string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + " " + uri + "\n")
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Result is the outcome of an execution, returned to every copy of the request:
// an answer, or a failure if Failure is set.
type Result struct {
	Status  int
	Header  http.Header
	Body    []byte
	Failure *fault.Error
}

// size estimates the memory use of the result in bytes.
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

// Action is how one copy of a request is to be handled.
type Action int

const (
	// Execute means that this copy is the first. Only this copy may be sent to an
	// upstream.
	Execute Action = iota
	// Wait means that another copy is running. This copy gets the same result.
	Wait
	// Replay means that the result is known and is returned again.
	Replay
)

// String returns the name of the action in metrics.
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

// ScopedKey identifies a record. Equal keys of different accounts are distinct.
type ScopedKey struct {
	Account types.AccountID
	Key     Key
}

// record is the state of one key. It is kept until its window closes.
type record struct {
	fingerprint Fingerprint
	done        bool
	// dropped is true if the result was not kept because of MaxResultBytes.
	dropped bool
	result  Result
}

// maxWindowsAhead is how many windows a key may be ahead of the executor's
// current window. The directory that published the window may use a clock that
// is slightly ahead of the executor's clock.
const maxWindowsAhead = 1

// Table decides, for one incarnation, which copy of a request with a key is
// executed. It reads no clock: callers pass the monotonic time since the start of
// the instance. It is not safe for concurrent use.
type Table struct {
	incarnation types.Incarnation
	settings    Settings
	windows     map[Window]map[ScopedKey]*record
	records     int
	bytes       int
}

// NewTable returns an empty table.
func NewTable(incarnation types.Incarnation, settings Settings) *Table {
	return &Table{
		incarnation: incarnation,
		settings:    settings,
		windows:     make(map[Window]map[ScopedKey]*record),
	}
}

// Begin returns the action for one copy of a request, and the result if the
// action is Replay. It returns an error with code OutcomeUnknown for a key of
// another incarnation, KeyInvalid for a window that has not begun, KeyExpired for
// a closed window, KeyReused for a known key with a different request, and
// Overloaded if the table is full.
func (t *Table) Begin(now time.Duration, id ScopedKey, fp Fingerprint) (Action, Result, error) {
	t.expire(now)
	if err := t.check(now, id.Key); err != nil {
		return Execute, Result{}, err
	}
	known, ok := t.windows[id.Key.Window][id]
	if !ok {
		return Execute, Result{}, t.add(now, id, fp)
	}
	if known.fingerprint != fp {
		return Execute, Result{}, fault.New(fault.KeyReused, "the Idempotency-Key was already used for a different request")
	}
	if !known.done {
		return Wait, Result{}, nil
	}
	if known.dropped {
		return Replay, Result{Failure: droppedResultError()}, nil
	}
	return Replay, known.result, nil
}

// MayHaveRun reports whether a copy of the request may have run. This is the case
// if the key belongs to another incarnation, its window has closed, or it has a
// record.
func (t *Table) MayHaveRun(now time.Duration, id ScopedKey) bool {
	if id.Key.Incarnation != t.incarnation || t.settings.Windows.Closed(id.Key.Window, now) {
		return true
	}
	_, known := t.windows[id.Key.Window][id]
	return known
}

// droppedResultError returns the failure for a copy whose result was not kept.
func droppedResultError() *fault.Error {
	return fault.New(fault.OutcomeUnknown, "the request ran; its answer is no longer kept").WithRunState(types.Ran)
}

// check returns an error if the key belongs to another incarnation or its window
// is not open.
func (t *Table) check(now time.Duration, key Key) error {
	if key.Incarnation != t.incarnation {
		return fault.New(fault.OutcomeUnknown, "the key names another executor")
	}
	if key.Window > t.settings.Windows.Current(now)+maxWindowsAhead {
		return fault.New(fault.KeyInvalid, "the key names a window that has not begun")
	}
	if t.settings.Windows.Closed(key.Window, now) {
		return fault.New(fault.KeyExpired, "the window of the key has closed; whether the request ran is no longer known")
	}
	return nil
}

// add creates the record of a key before its request runs, so that only one copy
// gets the action Execute.
func (t *Table) add(now time.Duration, id ScopedKey, fp Fingerprint) error {
	if t.records >= t.settings.MaxRecords {
		return fault.New(fault.Overloaded, "too many keys are in use").WithRetryAfter(t.retryAfter(now))
	}
	window := t.windows[id.Key.Window]
	if window == nil {
		window = make(map[ScopedKey]*record)
		t.windows[id.Key.Window] = window
	}
	window[id] = &record{fingerprint: fp}
	t.records++
	return nil
}

// retryAfter returns the time until the oldest window closes and its records are
// deleted, but at least one second. If that takes longer than the length of a
// window, it returns the length.
func (t *Table) retryAfter(now time.Duration) time.Duration {
	wait := t.settings.Windows.Length
	for window := range t.windows {
		wait = min(wait, t.settings.Windows.closingTime(window)-now)
	}
	return max(wait, time.Second)
}

// Complete keeps the result of an execution for later copies. It does nothing if
// the key is already complete or its window has closed.
func (t *Table) Complete(id ScopedKey, result Result) {
	known, ok := t.windows[id.Key.Window][id]
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

// Release deletes the record of a key whose request did not run, so that a later
// copy can be executed.
func (t *Table) Release(id ScopedKey) {
	known, ok := t.windows[id.Key.Window][id]
	if !ok || known.done {
		return
	}
	delete(t.windows[id.Key.Window], id)
	t.records--
}

// expire deletes the records of closed windows.
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
