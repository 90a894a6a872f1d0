package permit

import "time"

const (
	// minRate is the lowest rate at which permits are issued, in requests per second.
	// Only a response tells that a limit has ended, so an upstream that accepts fewer
	// requests, or none, still gets one every four seconds.
	minRate = 0.25
	// minBurst and burstTime are the number of unused permits that accumulate, and the
	// time for which more of them do. They cover the time until an instance asks again
	// after a refusal.
	minBurst  = 1.5
	burstTime = 500 * time.Millisecond
)

// Bucket is the token bucket of a limit. A new one is empty, because whoever issued the
// permits before may have just used up its own.
type Bucket struct {
	tokens     float64
	refilledAt time.Duration
	rate       float64
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Duration) Bucket { return Bucket{refilledAt: now} }

// Refill adds the permits that a share of the limit has allowed since the last call.
func (b *Bucket) Refill(now time.Duration, limit Limit, share float64) {
	b.rate = max(limit.PerSecond, minRate) * share
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.rate, b.capacity())
	b.refilledAt = now
}

func (b *Bucket) capacity() float64 { return minBurst + b.rate*burstTime.Seconds() }

// Tokens returns the number of permits that are left. It is rounded up slightly, so that a
// full bucket is not below its capacity.
func (b *Bucket) Tokens() float64 { return b.tokens + 1e-9 }

// Rate returns the number of permits per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Take uses a permit.
func (b *Bucket) Take() { b.tokens-- }
