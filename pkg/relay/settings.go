package relay

import "time"

// Settings are the relay's intervals and bounds.
type Settings struct {
	// LongPoll is how long one read of the service waits for a change.
	LongPoll time.Duration
	// RetryDelay is the pause after a read that failed.
	RetryDelay time.Duration
	// Readers is the number of instances of each data centre that wait at the
	// service for a change.
	Readers int
	// AuditPeriod is the time between two reads, by any instance of the fleet,
	// that check the readers. Each instance takes its turn at random.
	AuditPeriod time.Duration
	// FanOut is the number of instances that are told of a change at once.
	FanOut int
	// ExchangePeriod is the time between two exchanges with a random instance.
	ExchangePeriod time.Duration
	// PeerTimeout bounds one exchange of revisions.
	PeerTimeout time.Duration
	// PartTimeout bounds the transfer of one part from an instance.
	PartTimeout time.Duration
	// ServicePartTimeout bounds the read of one part from the service, which may
	// be slow, and which nobody can stand in for while the part is new.
	ServicePartTimeout time.Duration
	// PartConcurrency bounds the transfers of parts at once.
	PartConcurrency int
	// AdmissionPeers is the number of serving instances that a fresh one asks
	// before it serves.
	AdmissionPeers int
	// AdmissionWait is how long a fresh instance waits for them.
	AdmissionWait time.Duration
	// FreshReadDelay is how long a fresh instance that is no reader leaves the
	// service to the readers of its data centre, so that a fleet that starts
	// together does not read every part once an instance.
	FreshReadDelay time.Duration
	// ListPeriod is the time between two reads of the instance list while the
	// instance is fresh.
	ListPeriod time.Duration
}

// DefaultSettings returns the settings of a production instance.
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
		FreshReadDelay:     5 * time.Second,
		ListPeriod:         5 * time.Second,
	}
}
