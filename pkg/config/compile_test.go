package config

import (
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// largeAccounts is the number of client accounts of the design size.
const largeAccounts = 47_000

// TestIncrementalCompileMatchesFullCompile checks that compiling with a previous
// configuration gives the same result and content as compiling without one.
func TestIncrementalCompileMatchesFullCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var previous *Snapshot
		for revision := types.Revision(1); revision <= 6; revision++ {
			parts, err := Split(drawDocument(t))
			if err != nil {
				t.Fatal(err)
			}
			encoded, _ := Encode(revision, parts)
			full, fullErr := CompileParts(revision, encoded, nil)
			incremental, incrementalErr := CompileParts(revision, encoded, previous)
			if (fullErr == nil) != (incrementalErr == nil) {
				t.Fatalf("without previous: %v, with previous: %v", fullErr, incrementalErr)
			}
			if fullErr != nil {
				continue
			}
			previous = incremental
			if full.Digest() != incremental.Digest() {
				t.Fatal("the digests differ")
			}
			for key := range 30 {
				name := fmt.Sprintf("key-%d", key)
				a, aFound := full.AccountByKey(name)
				b, bFound := incremental.AccountByKey(name)
				if aFound != bFound || a.ID != b.ID {
					t.Fatalf("%s: %v %v, %v %v", name, a.ID, aFound, b.ID, bFound)
				}
			}
		}
	})
}

// drawDocument returns a document with a few random accounts, some of which may
// share an ID or a key.
func drawDocument(t *rapid.T) *Document {
	document := sampleDocument(0)
	for range rapid.IntRange(0, 12).Draw(t, "accounts") {
		account := sampleAccount(rapid.IntRange(0, 25).Draw(t, "id"))
		account.KeySHA256 = nil
		for range rapid.IntRange(1, 2).Draw(t, "keys") {
			key := rapid.IntRange(0, 29).Draw(t, "key")
			account.KeySHA256 = append(account.KeySHA256, hexKey(fmt.Sprintf("key-%d", key)))
		}
		document.Accounts = append(document.Accounts, account)
	}
	if rapid.Bool().Draw(t, "tier") {
		document.Classes[0].Tier++
	}
	return document
}

// FuzzParse checks that any text either parses and compiles or is rejected with an
// InvalidConfiguration error that lists problems.
func FuzzParse(f *testing.F) {
	valid, err := Split(sampleDocument(1))
	if err != nil {
		f.Fatal(err)
	}
	for _, part := range valid {
		f.Add(part)
	}
	for _, seed := range []string{"", "{", "[]", "null", `{"classes": null}`, "classes:\n- name: x\n", "a: &a [*a]", "{\"accounts\":[{\"id\":\"a\"}]}", "- {", "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse(text)
		if err == nil {
			_, err = Compile(1, document)
		}
		if err != nil && (fault.From(err).Code != fault.InvalidConfiguration || len(Problems(err)) == 0) {
			t.Fatalf("%v", err)
		}
	})
}

// largeParts returns the encoded parts of the document.
func largeParts(b *testing.B, revision types.Revision, document *Document) []EncodedPart {
	b.Helper()
	parts, err := Split(document)
	if err != nil {
		b.Fatal(err)
	}
	encoded, _ := Encode(revision, parts)
	return encoded
}

// BenchmarkCompileWhole compiles 47,000 accounts without a previous configuration,
// as a starting instance does, and reports the memory that the result retains.
func BenchmarkCompileWhole(b *testing.B) {
	parts := largeParts(b, 1, sampleDocument(largeAccounts))
	bytes := 0
	for _, part := range parts {
		bytes += len(part.Bytes)
	}
	before := liveHeap()
	var snapshot *Snapshot
	for b.Loop() {
		var err error
		if snapshot, err = CompileParts(1, parts, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes), "parts-B")
	b.ReportMetric(float64(liveHeap()-before), "kept-B")
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(parts)
}

// BenchmarkApplyOneChange compiles a change of one of 47,000 accounts with the
// previous configuration.
func BenchmarkApplyOneChange(b *testing.B) {
	document := sampleDocument(largeAccounts)
	previous, err := CompileParts(1, largeParts(b, 1, document), nil)
	if err != nil {
		b.Fatal(err)
	}
	document.Accounts[123].Limits.Concurrent++
	document.Accounts[123].KeySHA256 = append(document.Accounts[123].KeySHA256, hexKey("another"))
	parts := largeParts(b, 2, document)
	changed := 0
	for _, part := range parts {
		if existing, ok := previous.decodedPart(part.Name); !ok || existing.digest != part.Digest {
			changed += len(part.Bytes)
		}
	}
	store := NewStore()
	if err := store.Apply(previous); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CompileParts(2, parts, previous); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(changed), "changed-B")
}

// BenchmarkAccountByKey looks up one of 47,000 accounts by API key.
func BenchmarkAccountByKey(b *testing.B) {
	snapshot, err := CompileParts(1, largeParts(b, 1, sampleDocument(largeAccounts)), nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := snapshot.AccountByKey("key-12345"); !ok {
			b.Fatal("not found")
		}
	}
}

// liveHeap returns the size of live heap objects in bytes after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
