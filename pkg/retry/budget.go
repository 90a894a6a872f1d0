// Package retry bounds retries to a share of the first attempts, so that a
// failing target is not flooded with repeated work.
package retry

import "sync"

// Settings shapes a Budget.
type Settings struct {
	// Ratio is the part of a retry that each first attempt earns.
	Ratio float64
	// Burst bounds the saved retries, and is what a new budget starts with.
	Burst float64
}

// DefaultSettings returns one retry to five first attempts.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.2, Burst: 256}
}

// Budget is a token bucket that first attempts fill and retries drain. It is
// safe for concurrent use.
type Budget struct {
	settings Settings
	mu       sync.Mutex
	tokens   float64
}

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings, tokens: settings.Burst}
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.settings.Ratio, b.settings.Burst)
}

// Spend takes one retry from the budget, or reports false when none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Share sets the saved retries that the budget may hold, as the share of a
// larger one changes with the number of those who hold it.
func (b *Budget) Share(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Burst = burst
	b.tokens = min(b.tokens, burst)
}
