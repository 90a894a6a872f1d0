package idempotency

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const self = types.Incarnation("01ARZ3NDEKTSV4RRFFQ69G5FAV")

func testSettings() Settings {
	return Settings{Windows: Windows{Length: 10, Grace: 20}, MaxRecords: 3, MaxResultBytes: 8}
}

func scopedKey(window Window, nonce string) ScopedKey {
	return ScopedKey{Account: "a", Key: Key{Incarnation: self, Window: window, Nonce: nonce}}
}

func code(err error) fault.Code {
	if err == nil {
		return ""
	}
	return fault.From(err).Code
}

func TestParseKey(t *testing.T) {
	tests := []struct {
		text string
		code fault.Code
	}{
		{string(self) + ".0.n", ""},
		{string(self) + ".12.a.b", ""},
		{"", fault.KeyRequired},
		{"my-own-key", fault.KeyInvalid},
		{"nobody.0.n", fault.KeyInvalid},
		{string(self) + ".x.n", fault.KeyInvalid},
		{string(self) + ".-1.n", fault.KeyInvalid},
		{string(self) + ".01.n", fault.KeyInvalid},
		{string(self) + ".1.", fault.KeyInvalid},
	}
	for _, test := range tests {
		key, err := ParseKey(test.text)
		if code(err) != test.code {
			t.Errorf("%q: %v", test.text, err)
		}
		if err == nil && key.String() != test.text {
			t.Errorf("key %q formatted as %q", test.text, key)
		}
	}
}

func TestWindowBoundaries(t *testing.T) {
	tests := []struct {
		now    time.Duration
		window Window
		code   fault.Code
	}{
		{0, 0, ""}, {0, 1, ""}, {0, 2, fault.KeyInvalid}, {9, 2, fault.KeyInvalid}, {10, 2, ""},
		{29, 0, ""}, {30, 0, fault.KeyExpired}, {39, 1, ""}, {40, 1, fault.KeyExpired},
		{1 << 40, 0, fault.KeyExpired}, {0, 1 << 62, fault.KeyInvalid},
	}
	for _, test := range tests {
		table := NewTable(self, testSettings())
		if _, _, err := table.Begin(test.now, scopedKey(test.window, "n"), 1); code(err) != test.code {
			t.Errorf("window %d at %d: %v", test.window, test.now, err)
		}
	}
}

func TestActionsForCopiesOfOneKey(t *testing.T) {
	table := NewTable(self, testSettings())
	id := scopedKey(0, "n")
	expect := func(now time.Duration, fp Fingerprint, want Action, wantCode fault.Code) Result {
		t.Helper()
		action, result, err := table.Begin(now, id, fp)
		if code(err) != wantCode || err == nil && action != want {
			t.Fatalf("at %d: action %d, %v", now, action, err)
		}
		return result
	}
	expect(0, 1, Execute, "")
	expect(1, 1, Wait, "")
	expect(2, 2, Execute, fault.KeyReused)
	table.Release(id)
	expect(3, 1, Execute, "")
	table.Complete(id, Result{Status: 200, Body: []byte("ok")})
	table.Release(id)
	if got := expect(4, 1, Replay, ""); string(got.Body) != "ok" {
		t.Fatalf("replayed %q", got.Body)
	}
	expect(30, 1, Execute, fault.KeyExpired)
	if table.records != 0 || table.bytes != 0 {
		t.Fatalf("%d records and %d bytes left", table.records, table.bytes)
	}
}

func TestRecordAndResultLimits(t *testing.T) {
	table := NewTable(self, testSettings())
	for _, nonce := range []string{"1", "2", "3"} {
		if _, _, err := table.Begin(0, scopedKey(0, nonce), 1); err != nil {
			t.Fatal(err)
		}
	}
	_, _, err := table.Begin(0, scopedKey(0, "4"), 1)
	if code(err) != fault.Overloaded || fault.From(err).RunState != types.NotRun || fault.From(err).RetryAfter <= 0 {
		t.Fatalf("above MaxRecords: %v", err)
	}
	table.Complete(scopedKey(0, "1"), Result{Body: make([]byte, 9)})
	_, result, err := table.Begin(1, scopedKey(0, "1"), 1)
	if err != nil || result.Failure == nil || result.Failure.RunState != types.Ran {
		t.Fatalf("result above MaxResultBytes: %+v, %v", result, err)
	}
	if _, _, err := table.Begin(30, scopedKey(1, "4"), 1); err != nil {
		t.Fatalf("after the window closed: %v", err)
	}
}

func TestKeyOfAnotherIncarnation(t *testing.T) {
	table := NewTable("01BX5ZZKBKACTAV9WEVGEMMVRZ", testSettings())
	_, _, err := table.Begin(0, scopedKey(0, "n"), 1)
	if code(err) != fault.OutcomeUnknown || fault.From(err).RunState != types.MayHaveRun {
		t.Fatalf("%v", err)
	}
}
