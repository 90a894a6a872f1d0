package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func newTestTable(now time.Time) *table {
	self := fact{Row: row(0), Incarnation: "node-000/1", Version: 100, Health: alive}
	return newTable(self, Settings{}.withDefaults(), now)
}

// drawFact draws a claim about one of few instances. The content follows from
// the version, as it does when only the instance itself raises it.
func drawFact(t *rapid.T) fact {
	version := rapid.Uint64Range(1, 6).Draw(t, "version")
	n := rapid.IntRange(1, 3).Draw(t, "instance")
	return fact{
		Row:         row(n),
		Incarnation: types.Incarnation(fmt.Sprintf("node-%03d/%d", n, version/3)),
		Version:     version,
		Leaving:     version%3 == 2,
		Health:      rapid.SampledFrom([]health{alive, suspect, down}).Draw(t, "health"),
	}
}

func TestOrderOfClaimsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		claims := rapid.SliceOfN(rapid.Custom(drawFact), 1, 12).Draw(t, "claims")
		shuffled := rapid.Permutation(claims).Draw(t, "shuffled")
		a, b := newTestTable(now), newTestTable(now)
		for i := range claims {
			a.merge(claims[i], now)
			b.merge(shuffled[i], now)
		}
		if a.digest() != b.digest() {
			t.Fatalf("views differ: %v and %v", a.marks(), b.marks())
		}
	})
}

func TestDoubtsAboutThisInstanceAreRefuted(t *testing.T) {
	now := time.Now()
	table := newTestTable(now)
	table.merge(fact{Row: row(0), Incarnation: "node-000/1", Version: 100, Health: down}, now)
	if own := table.own(); own.Health != alive || own.Version != 101 {
		t.Fatalf("own claim is %+v", own.fact)
	}
}

func TestAnotherLifeOfThisInstance(t *testing.T) {
	began := time.Now()
	other := fact{Row: row(0), Incarnation: "node-000/0", Version: 500, Health: alive}
	young := newTestTable(began)
	young.merge(other, began.Add(time.Second))
	if young.own().Version != 501 {
		t.Errorf("a young life must outdo an older one, version %d", young.own().Version)
	}
	old := newTestTable(began)
	old.merge(other, began.Add(time.Hour))
	if old.own().Version != 100 || !old.replaced {
		t.Error("an old life must not outdo a later one")
	}
}

func TestListSaysWhoIsLeaving(t *testing.T) {
	now := time.Now()
	leaving := row(1)
	leaving.State = types.InstanceLeaving
	table := newTestTable(now)
	table.list([]types.Instance{row(0), leaving, row(2)}, now)
	if n := len(table.live()); n != 2 {
		t.Fatalf("%d live, want 2", n)
	}
	table.merge(fact{Row: row(1), Incarnation: "node-001/1", Version: 1, Health: alive}, now)
	if n := len(table.live()); n != 2 {
		t.Fatalf("%d live after the word of the leaving life, want 2", n)
	}
	table.merge(fact{Row: row(1), Incarnation: "node-001/2", Version: 2, Health: alive}, now)
	if n := len(table.live()); n != 3 {
		t.Fatalf("%d live after the word of the next life, want 3", n)
	}
}
