package types

import "testing"

func TestRevisionsAreOrderedByEra(t *testing.T) {
	var last Revision
	for _, c := range []struct {
		era, number uint64
		text        string
	}{{0, 1, "1"}, {0, 70, "70"}, {0, maxNumber, "140737488355327"}, {1, 0, "1:0"}, {1, 60, "1:60"}, {1, maxNumber, "1:140737488355327"}, {2, 1, "2:1"}, {maxEra, maxNumber, "65535:140737488355327"}} {
		revision, ok := NewRevision(c.era, c.number)
		if !ok || revision.Era() != c.era || revision.Number() != c.number || revision.String() != c.text || revision.IsCarried() {
			t.Errorf("era %d, number %d: %v, %t", c.era, c.number, revision, ok)
		}
		if revision <= last {
			t.Errorf("%v is not above %v", revision, last)
		}
		last = revision
		next, ok := NewRevision(c.era, c.number+1)
		carried := revision.Carried()
		if ok && (revision.Next() != next || carried.Next() != next) {
			t.Errorf("after %v comes %v, after the carried one %v", revision, revision.Next(), carried.Next())
		}
		if c.era > 0 && (!carried.IsCarried() || carried <= revision || ok && carried >= next || carried.Number() != c.number) {
			t.Errorf("the carried revision of %v is %v", revision, carried)
		}
	}
}

func TestRevisionOutOfRange(t *testing.T) {
	for _, c := range [][2]uint64{{0, maxNumber + 1}, {1, maxNumber + 1}, {maxEra + 1, 1}} {
		if revision, ok := NewRevision(c[0], c[1]); ok {
			t.Errorf("era %d, number %d gives %v", c[0], c[1], revision)
		}
	}
}
