// Package limits enforces the request rate and concurrency limits of client
// accounts at one instance.
package limits

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// concurrencyRetryAfter is the retry delay for a request over the concurrency
// limit.
const concurrencyRetryAfter = 100 * time.Millisecond

// admissionsPerSweep is the number of admissions between two removals of idle
// accounts.
const admissionsPerSweep = 1024

// Limiter tracks the usage of the active accounts. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	accounts   map[types.AccountID]*usage
	admissions int
}

// usage is the state of one account.
type usage struct {
	running int
	// limit is the rate of the bucket in requests per second.
	limit  float64
	bucket *rate.Limiter
}

// New returns a Limiter without active accounts.
func New() *Limiter {
	return &Limiter{accounts: make(map[types.AccountID]*usage)}
}

// Admit admits one request of the account at the time now. It returns a function
// that must be called once when the request ends. It returns a fault with the code
// AccountLimit if the account exceeds its rate or concurrency limit.
func (l *Limiter) Admit(account config.Account, now time.Time) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	u := l.usageOf(account)
	if account.Limits.Concurrent > 0 && u.running >= account.Limits.Concurrent {
		return nil, limitError("the account has reached its limit of concurrent requests", concurrencyRetryAfter)
	}
	if wait := u.take(now); wait > 0 {
		return nil, limitError("the account exceeds its request rate limit", wait)
	}
	u.running++
	return func() { l.release(u) }, nil
}

func limitError(message string, after time.Duration) error {
	return fault.New(fault.AccountLimit, message).WithRetryAfter(after)
}

func (l *Limiter) release(u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.running--
}

// usageOf returns the usage of the account. It replaces the token bucket if the
// configured rate has changed.
func (l *Limiter) usageOf(account config.Account) *usage {
	u, ok := l.accounts[account.ID]
	if !ok {
		u = &usage{}
		l.accounts[account.ID] = u
	}
	if limit := account.Limits.RequestsPerSecond; u.limit != limit {
		u.limit = limit
		u.bucket = newBucket(limit)
	}
	return u
}

func newBucket(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(math.Ceil(perSecond)))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// take takes a token and returns zero, or returns the time until the next token if
// there is none.
func (u *usage) take(now time.Time) time.Duration {
	if u.bucket == nil || u.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - u.bucket.TokensAt(now)
	return max(time.Millisecond, time.Duration(missing/u.limit*float64(time.Second)))
}

// sweep removes the accounts without running requests whose bucket is full, once
// per admissionsPerSweep calls.
func (l *Limiter) sweep(now time.Time) {
	l.admissions++
	if l.admissions%admissionsPerSweep != 0 {
		return
	}
	for id, u := range l.accounts {
		full := u.bucket == nil || u.bucket.TokensAt(now) >= float64(u.bucket.Burst())
		if u.running == 0 && full {
			delete(l.accounts, id)
		}
	}
}
