package pool

import "time"

// Settings are the parameters of the product's policy. DefaultSettings gives
// the values in use.
type Settings struct {
	// QueueLimit bounds the requests waiting in the pool, apart from those held
	// for the floors of their classes.
	QueueLimit int
	// Lease is how long an entry may wait before its first byte to the upstream.
	Lease time.Duration
	// ExpiryGrace is added to a request's deadline before a grant that was never
	// finished is taken back.
	ExpiryGrace time.Duration
	// BetweenTokensHeadroom is the part of a between-token target that predictions may use.
	BetweenTokensHeadroom float64
	// KVHeadroom is the part of an engine's key-value cache that may be booked.
	KVHeadroom float64
	// TierReserve is the part of an engine that a tier leaves free for each
	// higher tier in use.
	TierReserve float64
	// FirstTokenMargin is kept free between a predicted first token and its
	// target.
	FirstTokenMargin time.Duration
	// StragglerRatio is the step time, relative to the siblings', at which an
	// engine is ejected.
	StragglerRatio float64
	// RecoveredRatio is the relative step time at which an ejected engine
	// returns.
	RecoveredRatio float64
	// ProbeInterval is the time between probes of an ejected or failed engine.
	ProbeInterval time.Duration
	// FloorReserveShare bounds the part of the pool's capacity that floors may
	// reserve.
	FloorReserveShare float64
	// MinRetryAfter and MaxRetryAfter bound the time a refusal tells the caller
	// to wait.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultSettings returns the settings of a pool in production.
func DefaultSettings() Settings {
	return Settings{
		QueueLimit:            1024,
		Lease:                 2 * time.Second,
		ExpiryGrace:           5 * time.Second,
		BetweenTokensHeadroom: 0.96,
		KVHeadroom:            0.95,
		TierReserve:           0.08,
		FirstTokenMargin:      20 * time.Millisecond,
		StragglerRatio:        2,
		RecoveredRatio:        1.4,
		ProbeInterval:         time.Second,
		FloorReserveShare:     0.25,
		MinRetryAfter:         100 * time.Millisecond,
		MaxRetryAfter:         30 * time.Second,
	}
}
