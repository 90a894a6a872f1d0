package pool

import "time"

// Settings configures a Pool. DefaultSettings returns the values used in production.
type Settings struct {
	// QueueLimit bounds the waiting requests, not counting those protected by
	// floors.
	QueueLimit int
	// Lease is how long an entry may wait before it sends the first byte to the
	// upstream.
	Lease time.Duration
	// ExpiryGrace is the time after a request's deadline at which a grant that
	// was never finished is released.
	ExpiryGrace time.Duration
	// InterTokenHeadroom is the fraction of an inter-token target that
	// predictions may use.
	InterTokenHeadroom float64
	// KVHeadroom is the fraction of an engine's key-value cache that may be
	// booked.
	KVHeadroom float64
	// TierReserve is the fraction of an engine that a tier leaves free for each
	// higher tier in use.
	TierReserve float64
	// FirstTokenMargin is the safety margin subtracted from a request's latest
	// start.
	FirstTokenMargin time.Duration
	// StragglerRatio is the step time relative to the other engines above which
	// an engine is ejected.
	StragglerRatio float64
	// RecoveredRatio is the relative step time below which an ejected engine
	// returns.
	RecoveredRatio float64
	// ProbeInterval is the time between probes of an ejected engine and the
	// initial backoff of a failed one.
	ProbeInterval time.Duration
	// FloorReserveShare bounds the fraction of the pool's capacity that floors
	// may reserve.
	FloorReserveShare float64
	// MinRetryAfter and MaxRetryAfter bound the retry delay in a refusal.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultSettings returns the settings of a pool in production.
func DefaultSettings() Settings {
	return Settings{
		QueueLimit:         1024,
		Lease:              2 * time.Second,
		ExpiryGrace:        5 * time.Second,
		InterTokenHeadroom: 0.96,
		KVHeadroom:         0.95,
		TierReserve:        0.08,
		FirstTokenMargin:   20 * time.Millisecond,
		StragglerRatio:     2,
		RecoveredRatio:     1.4,
		ProbeInterval:      time.Second,
		FloorReserveShare:  0.25,
		MinRetryAfter:      100 * time.Millisecond,
		MaxRetryAfter:      30 * time.Second,
	}
}
