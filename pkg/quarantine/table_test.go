package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func printOf(n int) Fingerprint {
	return Of("a", "POST", "/", fmt.Appendf(nil, "body %d", n))
}

func TestFingerprintIgnoresFormAndDelivery(t *testing.T) {
	base := Of("a", "POST", "/p", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"seed":1.0}`))
	same := []string{
		`{ "messages":[{"content":"x","role":"user"}], "model":"m", "seed":1.0}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"seed":1.0,"stream":true,"user":"u"}`,
	}
	for _, body := range same {
		if Of("a", "POST", "/p", []byte(body)) != base {
			t.Errorf("%s has another fingerprint", body)
		}
	}
	if Of("b", "POST", "/p", []byte(same[0])) == base {
		t.Error("another account has the same fingerprint")
	}
	if Of("a", "POST", "/p", []byte(`{"model":"m","messages":[],"seed":1.0}`)) == base {
		t.Error("other content has the same fingerprint")
	}
}

// step is one crash in a test, a minute after the one before it.
type step struct {
	fp       int
	upstream types.UpstreamID
	only     bool
}

func TestCondemnsTheOnlySuspectOfAThirdCrash(t *testing.T) {
	tests := []struct {
		name    string
		steps   []step
		crashes int
		want    bool
	}{
		{"first crash", []step{{1, "u1", true}}, 1, false},
		{"second crash, only suspect", []step{{1, "u1", false}, {1, "u2", true}}, 2, false},
		{"third crash, only suspect", []step{{1, "u1", false}, {1, "u2", true}, {1, "u3", true}}, 3, true},
		{"third crash beside another suspect", []step{{1, "u1", false}, {1, "u2", true}, {1, "u3", false}}, 3, false},
		{"too many crashes", []step{{1, "u1", false}, {1, "u2", false}, {1, "u3", false}, {1, "u4", false}, {1, "u5", false}}, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(DefaultSettings())
			now := time.Duration(0)
			for _, s := range test.steps {
				now += time.Minute
				table.Crashed(now, printOf(s.fp), Run{s.upstream, time.Second, s.only})
			}
			got := table.Look(now, printOf(1))
			if got.Condemned != test.want || got.Crashes != test.crashes {
				t.Fatalf("%+v", got)
			}
		})
	}
}

func TestCondemnedRequestExplainsTheCrashOfOthers(t *testing.T) {
	table := NewTable(DefaultSettings())
	innocent, poison := printOf(1), printOf(2)
	table.Crashed(0, innocent, Run{"u1", time.Second, false})
	table.Crashed(time.Millisecond, poison, Run{"u1", time.Second, false})
	table.Crashed(time.Minute-time.Second, poison, Run{"u4", time.Second, true})
	table.Crashed(time.Minute, poison, Run{"u2", time.Second, true})
	if got := table.Look(time.Minute, innocent); got.Crashes != 0 {
		t.Fatalf("still suspected: %+v", got)
	}
	table.Crashed(time.Minute+time.Millisecond, innocent, Run{"u2", time.Second, true})
	if got := table.Look(time.Minute, innocent); got.Crashes != 0 {
		t.Fatalf("suspected for an explained crash: %+v", got)
	}
	table.Crashed(2*time.Minute, innocent, Run{"u3", time.Second, true})
	if got := table.Look(2*time.Minute, innocent); got.Condemned || got.Crashes != 1 {
		t.Fatalf("condemned at its first unexplained crash: %+v", got)
	}
}

func TestCopiesOfOneBatchCountOneCrash(t *testing.T) {
	table := NewTable(DefaultSettings())
	table.Crashed(time.Second, printOf(1), Run{"u1", time.Second, false})
	if got := table.Crashed(time.Second, printOf(1), Run{"u1", time.Second, true}); got.Crashes != 1 {
		t.Fatalf("a second copy: %+v", got)
	}
	later := time.Second + 10*time.Millisecond
	if got := table.Crashed(later, printOf(1), Run{"u1", time.Millisecond, true}); got.Crashes != 2 {
		t.Fatalf("an attempt that began after the crash: %+v", got)
	}
}

func TestCompletedClearsOnlySuspects(t *testing.T) {
	table := NewTable(DefaultSettings())
	table.Crashed(0, printOf(1), Run{"u1", time.Second, false})
	table.Completed(printOf(1))
	table.Crashed(0, printOf(2), Run{"u1", time.Second, false})
	table.Crashed(0, printOf(2), Run{"u2", time.Second, true})
	table.Crashed(0, printOf(2), Run{"u3", time.Second, true})
	table.Completed(printOf(2))
	if table.Look(0, printOf(1)).Crashes != 0 || !table.Look(0, printOf(2)).Condemned {
		t.Fatalf("%+v %+v", table.Look(0, printOf(1)), table.Look(0, printOf(2)))
	}
}

func TestExpiryAndBound(t *testing.T) {
	settings := Settings{MaxEntries: 3, Keep: time.Minute, CondemnCrashes: 2, MaxCrashes: 4}
	table := NewTable(settings)
	table.Crashed(0, printOf(0), Run{"u1", time.Second, false})
	table.Crashed(0, printOf(0), Run{"u2", time.Second, true})
	for n := 1; n < 10; n++ {
		table.Crashed(time.Duration(n), printOf(n), Run{"u3", time.Second, false})
	}
	if table.Len() != settings.MaxEntries {
		t.Fatalf("%d entries", table.Len())
	}
	if !table.Look(time.Second, printOf(0)).Condemned {
		t.Error("the condemned request gave way to suspects")
	}
	if table.Look(time.Minute, printOf(0)).Condemned {
		t.Error("the condemned request is held for ever")
	}
}

func TestMergeTakesOnlyNews(t *testing.T) {
	table := NewTable(Settings{MaxEntries: 9, Keep: time.Minute, MaxCrashes: 4})
	now := 10 * time.Second
	first := Strike{Upstream: "u1", AgeMilliseconds: 5000}
	second := Strike{Upstream: "u2", AgeMilliseconds: 10}
	suspect := Entry{Fingerprint: printOf(1), Strikes: []Strike{first}}
	condemned := Entry{Fingerprint: printOf(1), Strikes: []Strike{first, second}, Condemned: true}
	mate := Entry{Fingerprint: printOf(2), Strikes: []Strike{second}}
	old := Entry{Fingerprint: printOf(3), Strikes: []Strike{{Upstream: "u1", AgeMilliseconds: 60_000}}, Condemned: true}
	steps := []struct {
		entry Entry
		news  int
	}{{suspect, 1}, {suspect, 0}, {condemned, 1}, {suspect, 0}, {mate, 0}, {old, 0}}
	for i, step := range steps {
		if news := table.Merge(now, []Entry{step.entry}); len(news) != step.news {
			t.Fatalf("step %d: %v", i, news)
		}
	}
	list := table.List(now, 5)
	if len(list) != 1 || !list[0].Condemned || len(list[0].Strikes) != 2 || list[0].Strikes[0].AgeMilliseconds != 5000 {
		t.Fatalf("%+v", list)
	}
}
