package retry

import "testing"

func TestBudgetIsAShareOfFirstAttempts(t *testing.T) {
	b := NewBudget(Settings{Ratio: 0.25, Burst: 2})
	spent := func() int {
		count := 0
		for b.Spend() {
			count++
		}
		return count
	}
	if got := spent(); got != 2 {
		t.Fatalf("a new budget gave %d retries", got)
	}
	for range 4 {
		b.Earn()
	}
	if got := spent(); got != 1 {
		t.Fatalf("four first attempts gave %d retries", got)
	}
	for range 100 {
		b.Earn()
	}
	if got := spent(); got != 2 {
		t.Fatalf("a full budget gave %d retries", got)
	}
}
