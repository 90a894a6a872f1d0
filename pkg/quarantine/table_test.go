package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func testFingerprint(n int) Fingerprint {
	return FingerprintOf("a", "POST", "/", fmt.Appendf(nil, "body %d", n))
}

func TestFingerprintIgnoresJSONFormAndDeliveryFields(t *testing.T) {
	base := FingerprintOf("a", "POST", "/p", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"seed":1.0}`))
	same := []string{
		`{ "messages":[{"content":"x","role":"user"}], "model":"m", "seed":1.0}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"seed":1.0,"stream":true,"user":"u"}`,
	}
	for _, body := range same {
		if FingerprintOf("a", "POST", "/p", []byte(body)) != base {
			t.Errorf("%s has a different fingerprint", body)
		}
	}
	if FingerprintOf("b", "POST", "/p", []byte(same[0])) == base {
		t.Error("another account has the same fingerprint")
	}
	if FingerprintOf("a", "POST", "/p", []byte(`{"model":"m","messages":[],"seed":1.0}`)) == base {
		t.Error("other content has the same fingerprint")
	}
}

// step is one crash. Steps are one minute apart.
type step struct {
	fp          int
	upstream    types.UpstreamID
	onlySuspect bool
}

func TestCondemnationThresholds(t *testing.T) {
	tests := []struct {
		name    string
		steps   []step
		crashes int
		want    bool
	}{
		{"first crash", []step{{1, "u1", true}}, 1, false},
		{"second crash, only suspect", []step{{1, "u1", false}, {1, "u2", true}}, 2, false},
		{"third crash, only suspect", []step{{1, "u1", false}, {1, "u2", true}, {1, "u3", true}}, 3, true},
		{"third crash with another suspect", []step{{1, "u1", false}, {1, "u2", true}, {1, "u3", false}}, 3, false},
		{"too many crashes", []step{{1, "u1", false}, {1, "u2", false}, {1, "u3", false}, {1, "u4", false}, {1, "u5", false}}, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(DefaultSettings())
			now := time.Duration(0)
			for _, s := range test.steps {
				now += time.Minute
				table.RecordCrash(now, testFingerprint(s.fp), CrashedAttempt{s.upstream, time.Second, s.onlySuspect})
			}
			got := table.Lookup(now, testFingerprint(1))
			if got.Condemned != test.want || got.Crashes != test.crashes {
				t.Fatalf("%+v", got)
			}
		})
	}
}

func TestCrashOfCondemnedRequestIsNotCountedForOthers(t *testing.T) {
	table := NewTable(DefaultSettings())
	suspect, poison := testFingerprint(1), testFingerprint(2)
	table.RecordCrash(0, suspect, CrashedAttempt{"u1", time.Second, false})
	table.RecordCrash(time.Millisecond, poison, CrashedAttempt{"u1", time.Second, false})
	table.RecordCrash(time.Minute-time.Second, poison, CrashedAttempt{"u4", time.Second, true})
	table.RecordCrash(time.Minute, poison, CrashedAttempt{"u2", time.Second, true})
	if got := table.Lookup(time.Minute, suspect); got.Crashes != 0 {
		t.Fatalf("crash of the condemned request is still counted: %+v", got)
	}
	table.RecordCrash(time.Minute+time.Millisecond, suspect, CrashedAttempt{"u2", time.Second, true})
	if got := table.Lookup(time.Minute, suspect); got.Crashes != 0 {
		t.Fatalf("new crash of the condemned request is counted: %+v", got)
	}
	table.RecordCrash(2*time.Minute, suspect, CrashedAttempt{"u3", time.Second, true})
	if got := table.Lookup(2*time.Minute, suspect); got.Condemned || got.Crashes != 1 {
		t.Fatalf("after the first crash of its own: %+v", got)
	}
}

func TestCopiesOnOneUpstreamCountOneCrash(t *testing.T) {
	table := NewTable(DefaultSettings())
	table.RecordCrash(time.Second, testFingerprint(1), CrashedAttempt{"u1", time.Second, false})
	if got := table.RecordCrash(time.Second, testFingerprint(1), CrashedAttempt{"u1", time.Second, true}); got.Crashes != 1 {
		t.Fatalf("second copy in the same crash: %+v", got)
	}
	later := time.Second + 10*time.Millisecond
	if got := table.RecordCrash(later, testFingerprint(1), CrashedAttempt{"u1", time.Millisecond, true}); got.Crashes != 2 {
		t.Fatalf("attempt that started after the crash: %+v", got)
	}
}

func TestRecordCompletionRemovesOnlySuspects(t *testing.T) {
	table := NewTable(DefaultSettings())
	table.RecordCrash(0, testFingerprint(1), CrashedAttempt{"u1", time.Second, false})
	table.RecordCompletion(testFingerprint(1))
	table.RecordCrash(0, testFingerprint(2), CrashedAttempt{"u1", time.Second, false})
	table.RecordCrash(0, testFingerprint(2), CrashedAttempt{"u2", time.Second, true})
	table.RecordCrash(0, testFingerprint(2), CrashedAttempt{"u3", time.Second, true})
	table.RecordCompletion(testFingerprint(2))
	if table.Lookup(0, testFingerprint(1)).Crashes != 0 || !table.Lookup(0, testFingerprint(2)).Condemned {
		t.Fatalf("%+v %+v", table.Lookup(0, testFingerprint(1)), table.Lookup(0, testFingerprint(2)))
	}
}

func TestExpiryAndEviction(t *testing.T) {
	settings := Settings{MaxEntries: 3, TTL: time.Minute, CondemnCrashes: 2, MaxCrashes: 4}
	table := NewTable(settings)
	table.RecordCrash(0, testFingerprint(0), CrashedAttempt{"u1", time.Second, false})
	table.RecordCrash(0, testFingerprint(0), CrashedAttempt{"u2", time.Second, true})
	for n := 1; n < 10; n++ {
		table.RecordCrash(time.Duration(n), testFingerprint(n), CrashedAttempt{"u3", time.Second, false})
	}
	if table.Len() != settings.MaxEntries {
		t.Fatalf("%d entries", table.Len())
	}
	if !table.Lookup(time.Second, testFingerprint(0)).Condemned {
		t.Error("the condemned request was evicted before suspects")
	}
	if table.Lookup(time.Minute, testFingerprint(0)).Condemned {
		t.Error("the condemned request did not expire")
	}
}

func TestMergeReturnsOnlyChangedEntries(t *testing.T) {
	table := NewTable(Settings{MaxEntries: 9, TTL: time.Minute, MaxCrashes: 4})
	now := 10 * time.Second
	first := CrashReport{Upstream: "u1", AgeMilliseconds: 5000}
	second := CrashReport{Upstream: "u2", AgeMilliseconds: 10}
	suspect := Entry{Fingerprint: testFingerprint(1), Crashes: []CrashReport{first}}
	condemned := Entry{Fingerprint: testFingerprint(1), Crashes: []CrashReport{first, second}, Condemned: true}
	other := Entry{Fingerprint: testFingerprint(2), Crashes: []CrashReport{second}}
	expired := Entry{Fingerprint: testFingerprint(3), Crashes: []CrashReport{{Upstream: "u1", AgeMilliseconds: 60_000}}, Condemned: true}
	steps := []struct {
		entry   Entry
		changed int
	}{{suspect, 1}, {suspect, 0}, {condemned, 1}, {suspect, 0}, {other, 0}, {expired, 0}}
	for i, step := range steps {
		if changed := table.Merge(now, []Entry{step.entry}); len(changed) != step.changed {
			t.Fatalf("step %d: %v", i, changed)
		}
	}
	list := table.List(now, 5)
	if len(list) != 1 || !list[0].Condemned || len(list[0].Crashes) != 2 || list[0].Crashes[0].AgeMilliseconds != 5000 {
		t.Fatalf("%+v", list)
	}
}

// TestImpossibleAgesAreIgnored guards against quarantine entries of a peer that never expire because the
// ages of their crashes are negative or overflow.
func TestImpossibleAgesAreIgnored(t *testing.T) {
	// A nanosecond count of 64 bits for the second age is that of minus one hour.
	for _, age := range []int64{-time.Hour.Milliseconds(), 18446740473709} {
		table := NewTable(Settings{MaxEntries: 9, TTL: time.Minute, MaxCrashes: 4})
		now := time.Hour
		for _, fp := range []Fingerprint{testFingerprint(1), FingerprintOfPart("a")} {
			impossible := Entry{Fingerprint: fp, Condemned: true, Crashes: []CrashReport{{"u1", age}, {"u2", age}}}
			if changed := table.Merge(now, []Entry{impossible}); len(changed) != 0 {
				t.Errorf("age %d: %+v changed the table", age, changed)
			}
		}
		if list := table.List(now, 9); len(list) != 0 {
			t.Errorf("age %d: the table holds %+v", age, list)
		}
		mixed := Entry{Fingerprint: testFingerprint(1), Condemned: true, Crashes: []CrashReport{{"u1", age}, {"u2", 10}}}
		if changed := table.Merge(now, []Entry{mixed}); len(changed) != 1 || len(changed[0].Crashes) != 1 {
			t.Errorf("age %d: the possible age of the entry is not used: %+v", age, changed)
		}
		if list := table.List(now+time.Minute, 9); len(list) != 0 {
			t.Errorf("age %d: after the lifetime of the entries, the table holds %+v", age, list)
		}
	}
}
