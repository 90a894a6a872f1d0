package permit

import (
	"maps"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// requestsPerPermit is the number of requests that the issuer aims to get for each
	// permit. It spreads the instances that it refuses so that their requests do not
	// grow with the fleet.
	requestsPerPermit = 4
	// minRetry and maxRetry bound the time after which a refused instance may ask
	// again, before jitter.
	minRetry = 20 * time.Millisecond
	maxRetry = 5 * time.Second
	// MaxRetryAfter is the longest time that an issuer names in a refusal, with jitter.
	MaxRetryAfter = 2 * maxRetry
	// askerTTL is the time after its last request for which an instance counts as one
	// that shares the limit.
	askerTTL = maxRetry
	// unmetTime is the time after the refusal of a request in which those that it
	// precedes get only what it leaves: they need a full bucket.
	unmetTime = time.Second
	// starvationTime is the time without a permit after which a less urgent priority
	// precedes the others once.
	starvationTime = 10 * time.Second
)

// fullShareOf is the part of the known instances that an issuer must see to use the whole
// limit. Two issuers that each see only a part of the fleet then use 4/3 of the limit at
// most, less than the half more that upstreams tolerate.
const fullShareOf = 2.0 / 3

// Share returns the part of a limit that an issuer may use which sees so many of the
// known instances up. The others may have an issuer of their own.
func Share(up, known int) float64 {
	if seen := float64(up) / float64(max(known, 1)); seen < fullShareOf {
		return seen
	}
	return 1
}

// Request asks for permission to send one request to a limited upstream.
type Request struct {
	Upstream types.UpstreamID `json:"upstream"`
	// Priority is that of the request; zero is the most urgent.
	Priority int `json:"priority,omitempty"`
	// From is the instance that asks.
	From types.InstanceID `json:"from"`
	// ColdPerSecond is the limit that the instance assumes because the upstream is cold, or
	// zero. Older builds ignore it.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	// Jitter is uniform in [0, 1). It spreads the times at which instances ask again.
	Jitter float64 `json:"jitter"`
}

// Reply is the decision of the issuer.
type Reply struct {
	Granted bool `json:"granted,omitempty"`
	// RetryAfter is the time after which the instance may ask again for requests that
	// are not more urgent.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Issuer issues the permits of the upstreams that it is responsible for.
type Issuer struct {
	buckets map[types.UpstreamID]*bucket
}

// NewIssuer returns an Issuer that is not responsible for any upstream.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[types.UpstreamID]*bucket)} }

// bucket has the permits of one upstream and who asked for them.
type bucket struct {
	Bucket
	// askers are the instances that share the limit, with their latest request.
	askers map[types.InstanceID]time.Duration
	// refusedAt and grantedAt are the times of the latest refusal and permit of each
	// priority.
	refusedAt, grantedAt map[int]time.Duration
}

// Issue decides on a request for a permit. Share is the part of the limit that this issuer
// may use: less than one while other instances may be issuing too.
func (i *Issuer) Issue(now time.Duration, request Request, limit Limit, share float64) Reply {
	b, ok := i.buckets[request.Upstream]
	if !ok {
		b = &bucket{Bucket: NewBucket(now), askers: make(map[types.InstanceID]time.Duration), refusedAt: make(map[int]time.Duration), grantedAt: make(map[int]time.Duration)}
		i.buckets[request.Upstream] = b
	}
	b.Refill(now, limit, share)
	b.askers[request.From] = now
	if _, known := b.grantedAt[request.Priority]; !known {
		b.grantedAt[request.Priority] = now
	}
	needed := 1.0
	if b.yields(now, request.Priority) {
		needed = b.capacity()
	}
	if b.Tokens() >= needed {
		b.Take()
		b.grantedAt[request.Priority] = now
		return Reply{Granted: true}
	}
	b.refusedAt[request.Priority] = now
	untilToken := time.Duration((needed - b.Tokens()) / b.Rate() * float64(time.Second))
	return Reply{RetryAfter: b.retryAfter(now, untilToken, request.Jitter)}
}

// yields reports whether requests of the priority leave permits to others that were
// refused: to more urgent ones, and to those that starve.
func (b *bucket) yields(now time.Duration, priority int) bool {
	if b.starves(now, priority) {
		return false
	}
	for other, at := range b.refusedAt {
		if now-at < unmetTime && (other < priority || other > priority && b.starves(now, other)) {
			return true
		}
	}
	return false
}

func (b *bucket) starves(now time.Duration, priority int) bool {
	return now-b.grantedAt[priority] >= starvationTime
}

// retryAfter returns when a refused instance may ask again: not before there is a permit,
// and so late that all instances together send requestsPerPermit requests for each.
func (b *bucket) retryAfter(now time.Duration, untilToken time.Duration, jitter float64) time.Duration {
	maps.DeleteFunc(b.askers, func(_ types.InstanceID, at time.Duration) bool { return now-at > askerTTL })
	spread := time.Duration(float64(len(b.askers)) / (requestsPerPermit * b.Rate()) * float64(time.Second))
	after := min(max(untilToken, spread, minRetry), maxRetry)
	return after + time.Duration(jitter*float64(min(after, spread)))
}

// Retain drops the upstreams that this issuer is no longer responsible for. If it becomes
// so again, it starts without permits.
func (i *Issuer) Retain(responsible func(types.UpstreamID) bool) {
	maps.DeleteFunc(i.buckets, func(id types.UpstreamID, _ *bucket) bool { return !responsible(id) })
}
