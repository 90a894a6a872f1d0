package origin

import (
	"strconv"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestPagesHaveEachOriginOnce guards against origins that a copy in pages leaves out, and against
// those of the former lifetime becoming new by being copied.
func TestPagesHaveEachOriginOnce(t *testing.T) {
	holder := NewTable(0)
	for key := range Key(10) {
		holder.Record(0, Stream{key, of("s", "v1")})
	}
	for key := Key(8); key < 25; key++ {
		holder.Record(MinLifetime, Stream{key, of("s", "v1")})
	}
	copied := NewTable(MinLifetime)
	var after *Key
	pages := 0
	for {
		page := holder.Page(after, 4, func(key Key) bool { return key != 20 })
		copied.Adopt(MinLifetime, page)
		if pages++; page.Len() > 4 || pages > 10 {
			t.Fatalf("page %d has %d origins", pages, page.Len())
		}
		if after = page.Next; after == nil {
			break
		}
	}
	for key := range Key(25) {
		if _, ok := copied.Lookup(key); ok != (key != 20) {
			t.Errorf("the origin of stream %d was copied: %t", key, ok)
		}
	}
	copied.Record(2*MinLifetime+time.Second, Stream{100, of("s", "v1")})
	for key, want := range map[Key]bool{0: false, 9: true, 15: true} {
		if _, ok := copied.Lookup(key); ok != want {
			t.Errorf("a lifetime later, the origin of stream %d is kept: %t, want %t", key, ok, want)
		}
	}
}

// TestConflictingCopyMakesOriginAmbiguous guards against a stream that continues at one of two
// versions that are recorded for its ID.
func TestConflictingCopyMakesOriginAmbiguous(t *testing.T) {
	table := NewTable(0)
	table.Record(0, Stream{1, of("s", "v1")})
	table.Adopt(0, Page{Earlier: []Batch{{of("s", "v2"), []Key{1, 2}}}})
	if found, ok := table.Lookup(1); !ok || found != (Origin{}) {
		t.Errorf("the origin is %v, %t, want an ambiguous one", found, ok)
	}
	if found, ok := table.Lookup(2); !ok || found != of("s", "v2") {
		t.Errorf("the copied origin is %v, %t", found, ok)
	}
}

// TestPageExaminesFewKeys guards against an instance that serves no requests while it searches all its
// origins for each page of a copy.
func TestPageExaminesFewKeys(t *testing.T) {
	const total, limit = 200_000, 1024
	table := NewTable(0)
	for n := range total {
		table.Record(0, Stream{KeyOf(types.RequestID(strconv.Itoa(n))), of("s", "v1")})
	}
	examined := 0
	page := table.Page(nil, limit, func(Key) bool { examined++; return true })
	if page.Len() != limit || page.Next == nil {
		t.Errorf("the page has %d origins, want %d and a next page", page.Len(), limit)
	}
	if examined > total/10 {
		t.Errorf("%d of %d keys were examined for a page of %d", examined, total, limit)
	}
}

func BenchmarkPage(b *testing.B) {
	table := NewTable(0)
	for n := range 150_000 {
		table.Record(0, Stream{KeyOf(types.RequestID(strconv.Itoa(n))), of("s", "v1")})
	}
	for b.Loop() {
		table.Page(nil, 1024, func(Key) bool { return true })
	}
}
