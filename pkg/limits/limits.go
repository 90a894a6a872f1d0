// Package limits bounds each client account's request rate and concurrency at
// one instance.
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

// concurrencyRetryAfter tells a caller over its concurrency when to come back.
const concurrencyRetryAfter = 100 * time.Millisecond

// sweepEvery is the number of admissions between two removals of idle accounts.
const sweepEvery = 1024

// Limiter holds the use of the accounts that are active. It is safe for
// concurrent use.
type Limiter struct {
	mu         sync.Mutex
	accounts   map[types.AccountID]*usage
	admissions int
}

// usage is the state of one account.
type usage struct {
	running int
	limit   float64
	bucket  *rate.Limiter
}

// New returns a Limiter without any use.
func New() *Limiter {
	return &Limiter{accounts: make(map[types.AccountID]*usage)}
}

// Admit takes one request of the account at the time now and returns the
// function that ends it, which must be called once. It returns AccountLimit
// when the account is over its rate or concurrency.
func (l *Limiter) Admit(account config.Account, now time.Time) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	use := l.use(account)
	if account.Limits.Concurrent > 0 && use.running >= account.Limits.Concurrent {
		return nil, refusal("the account has too many requests at once", concurrencyRetryAfter)
	}
	if wait := use.take(now); wait > 0 {
		return nil, refusal("the account is over its request rate", wait)
	}
	use.running++
	return func() { l.release(use) }, nil
}

func refusal(message string, after time.Duration) error {
	return fault.New(fault.AccountLimit, message).WithRetryAfter(after)
}

func (l *Limiter) release(use *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use.running--
}

// use returns the account's state, adapted to the limits now in force.
func (l *Limiter) use(account config.Account) *usage {
	use, ok := l.accounts[account.ID]
	if !ok {
		use = &usage{}
		l.accounts[account.ID] = use
	}
	if limit := account.Limits.RequestsPerSecond; use.limit != limit {
		use.limit = limit
		use.bucket = newBucket(limit)
	}
	return use
}

func newBucket(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(math.Ceil(perSecond)))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// take returns zero after taking a token, or the time until the next one.
func (u *usage) take(now time.Time) time.Duration {
	if u.bucket == nil || u.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - u.bucket.TokensAt(now)
	return max(time.Millisecond, time.Duration(missing/u.limit*float64(time.Second)))
}

// sweep forgets, now and then, the accounts that are idle with a full bucket.
func (l *Limiter) sweep(now time.Time) {
	l.admissions++
	if l.admissions%sweepEvery != 0 {
		return
	}
	for id, use := range l.accounts {
		full := use.bucket == nil || use.bucket.TokensAt(now) >= float64(use.bucket.Burst())
		if use.running == 0 && full {
			delete(l.accounts, id)
		}
	}
}
