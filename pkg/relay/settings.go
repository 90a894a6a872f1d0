package relay

import "time"

// Settings configures the intervals and limits of a Relay.
type Settings struct {
	// LongPoll is how long one read of the configuration service waits for a
	// change.
	LongPoll time.Duration
	// RetryDelay is the mean delay after a failed read.
	RetryDelay time.Duration
	// Readers is the number of instances of each data centre that watch the
	// configuration service for changes.
	Readers int
	// AuditPeriod is the mean time between two audit reads in the whole fleet.
	// Audit reads find revisions that the readers miss; each instance makes them at
	// random intervals.
	AuditPeriod time.Duration
	// FanOut is the number of instances that an instance announces a change to. It
	// also limits the instances that are tried for a part.
	FanOut int
	// ExchangePeriod is the mean time between two exchanges with a random instance.
	ExchangePeriod time.Duration
	// PeerTimeout is the timeout of one version exchange or announcement.
	PeerTimeout time.Duration
	// PartTimeout is the timeout of the transfer of one part from an instance.
	PartTimeout time.Duration
	// ServicePartTimeout is the timeout of the read of one part from the
	// configuration service. It is longer than PartTimeout because the service may
	// be slow and is the only source of a new part.
	ServicePartTimeout time.Duration
	// PartConcurrency is the maximum number of concurrent part transfers.
	PartConcurrency int
	// AdmissionPeers is the number of serving instances that must respond before a
	// starting instance is admitted early.
	AdmissionPeers int
	// AdmissionWait is how long a starting instance waits for them.
	AdmissionWait time.Duration
	// StartupReadDelay is how long a starting instance that is not a reader waits
	// before it reads the configuration service itself. Without the delay, every
	// instance would read every part when the whole fleet starts at once.
	StartupReadDelay time.Duration
	// ListPeriod is the time between two reads of the instance list until the
	// instance is admitted.
	ListPeriod time.Duration
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		LongPoll:           25 * time.Second,
		RetryDelay:         time.Second,
		Readers:            2,
		AuditPeriod:        time.Second,
		FanOut:             4,
		ExchangePeriod:     2 * time.Second,
		PeerTimeout:        time.Second,
		PartTimeout:        2 * time.Second,
		ServicePartTimeout: 5 * time.Second,
		PartConcurrency:    8,
		AdmissionPeers:     3,
		AdmissionWait:      18 * time.Second,
		StartupReadDelay:   5 * time.Second,
		ListPeriod:         5 * time.Second,
	}
}
