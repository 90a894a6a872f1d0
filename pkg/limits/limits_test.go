package limits

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

func account(rate float64, concurrent int) config.Account {
	return config.Account{ID: "a", Limits: config.Limits{RequestsPerSecond: rate, Concurrent: concurrent}}
}

func TestRateLimitRetryAfter(t *testing.T) {
	l := New()
	now := time.Unix(100, 0)
	for range 2 {
		if _, err := l.Admit(account(2, 0), now); err != nil {
			t.Fatal(err)
		}
	}
	_, err := l.Admit(account(2, 0), now)
	if err == nil || fault.From(err).Code != fault.AccountLimit {
		t.Fatalf("third request: %v", err)
	}
	after := fault.From(err).RetryAfter
	if after != 500*time.Millisecond {
		t.Fatalf("retry after %v", after)
	}
	if _, err := l.Admit(account(2, 0), now.Add(after)); err != nil {
		t.Fatal(err)
	}
}

func TestConcurrencyLimitCountsRunningRequests(t *testing.T) {
	l := New()
	now := time.Unix(100, 0)
	release, err := l.Admit(account(0, 1), now)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Admit(account(0, 1), now); err == nil {
		t.Fatal("the second concurrent request was admitted")
	}
	if _, err := l.Admit(account(0, 2), now); err != nil {
		t.Fatalf("after the limit was raised: %v", err)
	}
	release()
	if _, err := l.Admit(account(0, 2), now); err != nil {
		t.Fatal(err)
	}
}

func TestIdleAccountsAreRemoved(t *testing.T) {
	l := New()
	now := time.Unix(100, 0)
	for range admissionsPerSweep {
		now = now.Add(time.Second)
		release, err := l.Admit(account(5, 5), now)
		if err != nil {
			t.Fatal(err)
		}
		release()
	}
	other := account(5, 5)
	other.ID = "b"
	for range admissionsPerSweep {
		now = now.Add(time.Second)
		release, err := l.Admit(other, now)
		if err != nil {
			t.Fatal(err)
		}
		release()
	}
	if _, known := l.accounts["a"]; known {
		t.Fatal("an idle account was not removed")
	}
}
