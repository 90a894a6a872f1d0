package answer

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func TestMatchPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New([]Message{{Role: "user", Content: rapid.String().Draw(t, "prompt")}})
		total := a.Length(0)
		split := rapid.IntRange(0, total).Draw(t, "split")
		tokens, ok := a.MatchPrefix(a.Text(0, split))
		if !ok || tokens != split {
			t.Fatalf("prefix of %d tokens: got %d, %v", split, tokens, ok)
		}
		if a.Text(0, split)+a.Text(split, total) != a.Text(0, total) {
			t.Fatal("the texts before and after the split do not add up to the full text")
		}
		if _, ok := a.MatchPrefix(a.Text(0, split) + "x"); ok {
			t.Fatal("a text that is not a prefix was accepted")
		}
	})
}

func TestLengthDistributionIsHeavyTailed(t *testing.T) {
	var lengths []int
	for i := range 2000 {
		lengths = append(lengths, New([]Message{{Role: "user", Content: strconv.Itoa(i)}}).Length(0))
	}
	slices.Sort(lengths)
	median, p99 := lengths[1000], lengths[1980]
	if median < 25 || median > 40 || p99 < 5*median {
		t.Errorf("median %d, p99 %d", median, p99)
	}
	a := New([]Message{{Role: "user", Content: "0"}})
	if a.Length(1) != 1 || !a.Truncated(1) && a.Length(0) > 1 {
		t.Errorf("limit of one: length %d, truncated %v", a.Length(1), a.Truncated(1))
	}
}
