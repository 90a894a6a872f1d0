// Package retry limits retries to a fraction of the first attempts, so that
// retries do not overload a failing target.
package retry

import "sync"

// Settings configures a Budget.
type Settings struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the capacity of the budget and its initial content, in retries.
	Burst float64
}

// DefaultSettings allows one retry for five first attempts.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.2, Burst: 256}
}

// Budget is a token bucket that first attempts refill and retries take from. It
// is safe for concurrent use.
type Budget struct {
	settings Settings
	mu       sync.Mutex
	tokens   float64
}

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings, tokens: settings.Burst}
}

// Earn adds Ratio retries to the budget for a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.settings.Ratio, b.settings.Burst)
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetBurst changes the capacity of the budget. Instances that divide one budget
// among themselves call it when their number changes.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Burst = burst
	b.tokens = min(b.tokens, burst)
}
