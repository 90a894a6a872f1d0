package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// testBudget is a Budget with a clock that the test sets.
type testBudget struct {
	*Budget
	now time.Duration
}

func newTestBudget(settings Settings) *testBudget {
	b := new(testBudget)
	b.Budget = NewBudget(settings, func() time.Duration { return b.now })
	return b
}

// spendAll returns the number of retries that the budget gives at a time.
func (b *testBudget) spendAll(now time.Duration) int {
	b.now = now
	count := 0
	for b.Spend() {
		count++
	}
	return count
}

func (b *testBudget) record(now time.Duration, attempts int) {
	b.now = now
	for range attempts {
		b.RecordFirst()
	}
}

func TestBudgetLimitsRetriesToRatio(t *testing.T) {
	b := newTestBudget(Settings{Ratio: 0.25, Burst: 2, Window: 10 * time.Second})
	if got := b.spendAll(0); got != 2 {
		t.Errorf("a new budget gave %d retries, want 2", got)
	}
	b.record(time.Second, 4)
	if got := b.spendAll(time.Second); got != 1 {
		t.Errorf("four first attempts gave %d retries, want 1", got)
	}
	if got := b.spendAll(10*time.Second + b.settings.Window); got != 2 {
		t.Errorf("an empty window gave %d retries, want 2", got)
	}
}

// TestCrashUsesWholeWindow checks that the requests of a crashed upstream can use the
// allowance of the whole window at once.
func TestCrashUsesWholeWindow(t *testing.T) {
	b := newTestBudget(Settings{Ratio: 0.2, Burst: 5, Window: 10 * time.Second})
	for second := range 9 {
		b.record(time.Duration(second)*time.Second, 10)
	}
	if got := b.spendAll(9 * time.Second); got != 5+18 {
		t.Errorf("a crash after 90 first attempts has %d retries, want 23", got)
	}
}

func TestSetBurst(t *testing.T) {
	b := newTestBudget(Settings{Ratio: 1, Burst: 8, Window: time.Second})
	b.SetBurst(2)
	if got := b.spendAll(0); got != 2 {
		t.Errorf("a burst of 2 gave %d retries", got)
	}
	b.SetBurst(4)
	if got := b.spendAll(0); got != 2 {
		t.Errorf("after 2 retries a burst of 4 gave %d more", got)
	}
}

// TestNoWindowExceedsItsAllowance checks every span of the length of the window: its
// retries are bounded by the first attempts of the windows that end with a retry in it.
func TestNoWindowExceedsItsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Ratio: 0.2, Burst: 4, Window: 10 * time.Second}
		b := newTestBudget(settings)
		var firsts, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				b.record(now, 1)
				firsts = append(firsts, now)
				continue
			}
			if b.now = now; b.Spend() {
				retries = append(retries, now)
			}
		}
		within := func(times []time.Duration, from, to time.Duration) int {
			count := 0
			for _, at := range times {
				if at > from && at <= to {
					count++
				}
			}
			return count
		}
		for _, end := range retries {
			used, allowed := within(retries, end-settings.Window, end), settings.Ratio*float64(within(firsts, end-settings.Window, end))+settings.Burst
			if float64(used) > allowed {
				t.Fatalf("%d retries in the window before %v, %.1f are allowed", used, end, allowed)
			}
		}
	})
}

func TestRefundReturnsARetryOfItsWindow(t *testing.T) {
	b := newTestBudget(Settings{Burst: 2, Window: 10 * time.Second})
	b.Spend()
	b.Refund()
	if got := b.spendAll(time.Second); got != 2 {
		t.Errorf("after a refund a burst of 2 gave %d retries", got)
	}
	b.now = 30 * time.Second
	b.Refund()
	if got := b.spendAll(30 * time.Second); got != 2 {
		t.Errorf("a refund after the window raised a burst of 2 to %d retries", got)
	}
}
