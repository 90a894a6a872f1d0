package types

import "strconv"

// Revision is a position in the history of a published collection. A larger revision is
// newer; zero means that nothing has been published. The upper bits hold the era of the
// store: a store that has returned from an older copy gives out numbers again in a higher
// era. In era zero, which includes all stores that have no eras, a Revision is the plain
// number. In the others the lowest bit marks a carried revision.
type Revision uint64

const (
	numberBits = 48
	maxNumber  = 1<<(numberBits-1) - 1
	maxEra     = 1<<(64-numberBits) - 1
	carriedBit = 1
)

// NewRevision returns the revision with the number that the store gave out in the era, or
// false if one of them is out of range.
func NewRevision(era, number uint64) (Revision, bool) {
	if era > maxEra || number > maxNumber {
		return 0, false
	}
	if era == 0 {
		return Revision(number), true
	}
	return Revision(era<<numberBits | number<<1), true
}

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number that the store gave out.
func (r Revision) Number() uint64 {
	number := uint64(r) & (1<<numberBits - 1)
	if r.Era() == 0 {
		return number
	}
	return number >> 1
}

// Carried returns the revision of a value of an earlier era that stays in force in place of
// the older one that the store has at this revision. It is newer than this revision and older
// than the next one. Era zero has no earlier one.
func (r Revision) Carried() Revision {
	if r.Era() == 0 {
		return r
	}
	return r | carriedBit
}

// IsCarried reports whether the revision was returned by Carried.
func (r Revision) IsCarried() bool { return r.Era() > 0 && r&carriedBit != 0 }

// CrossesEra reports whether the revision is of a later era than the value that current belongs
// to, which may be carried.
func (r Revision) CrossesEra(current Revision) bool {
	return r.Era() > current.Era() || current.IsCarried()
}

// Next returns the revision that the store gives out after this one.
func (r Revision) Next() Revision {
	if r.Era() == 0 {
		return r + 1
	}
	return r&^carriedBit + 1<<1
}

// String returns the number, preceded by the era if that is not zero.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + ":" + number
}
