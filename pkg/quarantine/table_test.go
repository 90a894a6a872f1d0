package quarantine

import (
	"fmt"
	"testing"
	"time"
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

func TestCondemnsTheOnlySuspectOfASecondCrash(t *testing.T) {
	tests := []struct {
		name    string
		only    []bool
		crashes int
		want    bool
	}{
		{"first crash", []bool{true}, 1, false},
		{"second crash, only suspect", []bool{false, true}, 2, true},
		{"second crash beside another suspect", []bool{false, false}, 2, false},
		{"too many crashes", []bool{false, false, false, false}, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(DefaultSettings())
			for _, only := range test.only {
				table.Crashed(0, printOf(1), only)
			}
			got := table.Look(0, printOf(1))
			if got.Condemned != test.want || got.Crashes != test.crashes {
				t.Fatalf("%+v", got)
			}
		})
	}
}

func TestCompletedClearsOnlySuspects(t *testing.T) {
	table := NewTable(DefaultSettings())
	table.Crashed(0, printOf(1), false)
	table.Completed(printOf(1))
	table.Crashed(0, printOf(2), false)
	table.Crashed(0, printOf(2), true)
	table.Completed(printOf(2))
	if table.Look(0, printOf(1)).Crashes != 0 || !table.Look(0, printOf(2)).Condemned {
		t.Fatalf("%+v %+v", table.Look(0, printOf(1)), table.Look(0, printOf(2)))
	}
}

func TestExpiryAndBound(t *testing.T) {
	settings := Settings{MaxEntries: 3, Keep: time.Minute, MaxCrashes: 4}
	table := NewTable(settings)
	table.Crashed(0, printOf(0), false)
	table.Crashed(0, printOf(0), true)
	for n := 1; n < 10; n++ {
		table.Crashed(time.Duration(n), printOf(n), false)
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
	table := NewTable(DefaultSettings())
	suspect := Entry{Fingerprint: printOf(1), Crashes: 1, KeepMilliseconds: 1000}
	condemned := Entry{Fingerprint: printOf(1), Crashes: 2, Condemned: true, KeepMilliseconds: 1000}
	steps := []struct {
		entry Entry
		news  int
	}{{suspect, 1}, {suspect, 0}, {condemned, 1}, {suspect, 0}, {Entry{Fingerprint: printOf(2)}, 0}}
	for i, step := range steps {
		if news := table.Merge(0, []Entry{step.entry}); len(news) != step.news {
			t.Fatalf("step %d: %v", i, news)
		}
	}
	if !table.Look(0, printOf(1)).Condemned || table.Look(time.Second, printOf(1)).Condemned {
		t.Fatal("the merged entry is not in force for its time")
	}
	if list := table.List(0, 5); len(list) != 1 || list[0].KeepMilliseconds != 1000 {
		t.Fatalf("%+v", list)
	}
}
