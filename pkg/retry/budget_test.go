package retry

import "testing"

func TestBudgetLimitsRetriesToRatio(t *testing.T) {
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

func TestSetBurst(t *testing.T) {
	b := NewBudget(Settings{Ratio: 1, Burst: 8})
	b.SetBurst(2)
	for want := range 2 {
		if !b.Spend() {
			t.Fatalf("a burst of 2 gave %d retries", want)
		}
	}
	if b.Spend() {
		t.Fatal("a burst of 2 gave 3 retries")
	}
	b.SetBurst(4)
	if b.Spend() {
		t.Fatal("a larger burst gave retries that were not earned")
	}
}
