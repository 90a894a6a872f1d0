// Package retry limits retries to a fraction of the first attempts, so that
// retries do not overload a failing target.
package retry

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
)

// Settings configures a Budget.
type Settings struct {
	// Ratio is the number of retries that each first attempt within Window allows.
	Ratio float64
	// Burst is the number of retries that a Window allows in addition.
	Burst float64
	// Window is the length of the sliding window.
	Window time.Duration
	// MinShares is the smallest number of shares into which the burst is divided, so that a
	// fleet of up to that size keeps its budget in any partition.
	MinShares int
}

// DefaultSettings allows one retry for five first attempts.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.2, Burst: 256, Window: 10 * time.Second}
}

// slotsPerWindow is the number of slots in which the attempts of a window are
// counted.
const slotsPerWindow = 40

// slot counts the attempts in a fraction of the window.
type slot struct {
	// number is the time since the epoch of the clock in units of the slot length.
	number         int64
	first, retries int
}

// Budget limits the retries in every window. The whole allowance of a window can be
// used at once, as when an upstream crashes with all of its requests. It is safe for
// concurrent use.
type Budget struct {
	clock    clock.Clock
	mu       sync.Mutex
	settings Settings
	// slots is a ring, indexed by number. It has one slot more than the window,
	// because the oldest one is partly inside.
	slots [slotsPerWindow + 1]slot
}

// NewBudget returns a Budget without attempts.
func NewBudget(settings Settings, clock clock.Clock) *Budget {
	return &Budget{settings: settings, clock: clock}
}

// RecordFirst counts a first attempt.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(b.clock()).first++
}

// Spend counts a retry and returns true, or returns false if the window allows no
// more.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(b.clock())
	if !b.allows(current) {
		return false
	}
	current.retries++
	return true
}

// Available reports whether Spend would return true. It counts nothing.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.slot(b.clock()))
}

// Usage is what a window has used and what it allows.
type Usage struct {
	Retries int
	Allowed float64
}

// Usage returns the usage of the window that ends now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(b.slot(b.clock()))
}

// allows reports whether the window that ends with the slot allows a further retry. b.mu must
// be held.
func (b *Budget) allows(current *slot) bool {
	usage := b.usage(current)
	return float64(usage.Retries+1) <= usage.Allowed
}

// usage returns the usage of the window that ends with the slot. b.mu must be held.
func (b *Budget) usage(current *slot) Usage {
	first, retries := 0, 0
	for i := range b.slots {
		age := current.number - b.slots[i].number
		if age > slotsPerWindow {
			continue
		}
		retries += b.slots[i].retries
		if age < slotsPerWindow {
			first += b.slots[i].first
		}
	}
	return Usage{Retries: retries, Allowed: b.settings.Ratio*float64(first) + b.settings.Burst}
}

// Refund takes back the latest retry of the window, which was counted but not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(b.clock())
	var latest *slot
	for i := range b.slots {
		s := &b.slots[i]
		if s.retries > 0 && current.number-s.number <= slotsPerWindow && (latest == nil || s.number > latest.number) {
			latest = s
		}
	}
	if latest != nil {
		latest.retries--
	}
}

// slot returns the slot of a time, emptied if it was used for an earlier one.
// b.mu must be held.
func (b *Budget) slot(now time.Duration) *slot {
	number := int64(now / max(b.settings.Window/slotsPerWindow, 1))
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// SetBurst changes the burst. Instances that divide one budget among themselves call
// it when their number changes.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Burst = burst
}
