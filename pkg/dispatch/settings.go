package dispatch

import (
	"cmp"
	"time"
)

// Defaults of the Settings.
const (
	// DefaultBatchInterval is the least time between two messages of one stream.
	DefaultBatchInterval = 2 * time.Millisecond
	// DefaultHeartbeatInterval is the longest time between two messages of one
	// stream in use.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultSilenceBound is how long an entry waits for its dispatcher before
	// it turns to the next one.
	DefaultSilenceBound = 1500 * time.Millisecond
	// DefaultEntrySilence is how long a dispatcher waits for an entry before it
	// drops the entry's requests.
	DefaultEntrySilence = 3 * time.Second
	// DefaultIdleClose is how long a stream without requests stays open.
	DefaultIdleClose = 5 * time.Second
	// DefaultProgressInterval is the time between two reports of the tokens of
	// running requests.
	DefaultProgressInterval = time.Second
	// DefaultMaxProgress bounds the requests of one stream that are reported in
	// each progress interval.
	DefaultMaxProgress = 10
	// DefaultLinger is how long the end of an attempt may wait for other events
	// while no request waits for the place.
	DefaultLinger = 50 * time.Millisecond
	// DefaultLongLinger is the same while the pool is half empty.
	DefaultLongLinger = 250 * time.Millisecond
	// DefaultPolicyInterval is the time between two passes of a policy while
	// requests wait.
	DefaultPolicyInterval = 20 * time.Millisecond
	// DefaultIdlePolicyInterval is the same while none waits.
	DefaultIdlePolicyInterval = 250 * time.Millisecond
	// DefaultProbeInterval is the first pause before an avoided dispatcher is
	// tried again; it doubles with each failure.
	DefaultProbeInterval = time.Second
	// DefaultMaxProbeInterval bounds the pause before an avoided dispatcher is
	// tried again.
	DefaultMaxProbeInterval = 16 * time.Second
	// DefaultSendTimeout bounds the sending of one message.
	DefaultSendTimeout = time.Second
	// DefaultMaxPools bounds the pools that one request is offered to.
	DefaultMaxPools = 4
	// DefaultPollInterval is the mean time between two load reports of one
	// upstream.
	DefaultPollInterval = time.Second
	// DefaultPollTimeout bounds the reading of one load report.
	DefaultPollTimeout = 400 * time.Millisecond
	// DefaultOpenWait is how long a new dispatcher waits for the load reports of
	// all its upstreams once it has one.
	DefaultOpenWait = 100 * time.Millisecond
	// DefaultUpstreamPatience is how long requests wait in a pool without an
	// available upstream.
	DefaultUpstreamPatience = time.Second
	// DefaultIdlePool is how long a dispatcher without streams goes on.
	DefaultIdlePool = time.Minute
	// DefaultSummaryInterval is the least time between two rounds of questions
	// about the load of sibling pools.
	DefaultSummaryInterval = time.Second
	// DefaultSummaryLifetime is how long a pool's load summary is trusted.
	DefaultSummaryLifetime = 3 * time.Second
)

// Settings are the intervals and bounds of Dispatch. Zero values mean the
// defaults.
type Settings struct {
	BatchInterval     time.Duration
	HeartbeatInterval time.Duration
	SilenceBound      time.Duration
	EntrySilence      time.Duration
	IdleClose         time.Duration
	ProgressInterval  time.Duration
	MaxProgress       int
	Linger            time.Duration
	LongLinger        time.Duration
	PolicyInterval    time.Duration

	IdlePolicyInterval time.Duration
	ProbeInterval      time.Duration
	MaxProbeInterval   time.Duration
	SendTimeout        time.Duration
	MaxPools           int
	PollInterval       time.Duration
	PollTimeout        time.Duration
	OpenWait           time.Duration
	UpstreamPatience   time.Duration
	IdlePool           time.Duration
	SummaryInterval    time.Duration
	SummaryLifetime    time.Duration
}

// withDefaults returns a copy in which zero values are replaced.
func (s Settings) withDefaults() Settings {
	s.BatchInterval = cmp.Or(s.BatchInterval, DefaultBatchInterval)
	s.HeartbeatInterval = cmp.Or(s.HeartbeatInterval, DefaultHeartbeatInterval)
	s.SilenceBound = cmp.Or(s.SilenceBound, DefaultSilenceBound)
	s.EntrySilence = cmp.Or(s.EntrySilence, DefaultEntrySilence)
	s.IdleClose = cmp.Or(s.IdleClose, DefaultIdleClose)
	s.ProgressInterval = cmp.Or(s.ProgressInterval, DefaultProgressInterval)
	s.MaxProgress = cmp.Or(s.MaxProgress, DefaultMaxProgress)
	s.Linger = cmp.Or(s.Linger, DefaultLinger)
	s.LongLinger = cmp.Or(s.LongLinger, DefaultLongLinger)
	s.PolicyInterval = cmp.Or(s.PolicyInterval, DefaultPolicyInterval)
	s.IdlePolicyInterval = cmp.Or(s.IdlePolicyInterval, DefaultIdlePolicyInterval)
	s.ProbeInterval = cmp.Or(s.ProbeInterval, DefaultProbeInterval)
	s.MaxProbeInterval = cmp.Or(s.MaxProbeInterval, DefaultMaxProbeInterval)
	s.SendTimeout = cmp.Or(s.SendTimeout, DefaultSendTimeout)
	s.MaxPools = cmp.Or(s.MaxPools, DefaultMaxPools)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.PollTimeout = cmp.Or(s.PollTimeout, DefaultPollTimeout)
	s.OpenWait = cmp.Or(s.OpenWait, DefaultOpenWait)
	s.UpstreamPatience = cmp.Or(s.UpstreamPatience, DefaultUpstreamPatience)
	s.IdlePool = cmp.Or(s.IdlePool, DefaultIdlePool)
	s.SummaryInterval = cmp.Or(s.SummaryInterval, DefaultSummaryInterval)
	s.SummaryLifetime = cmp.Or(s.SummaryLifetime, DefaultSummaryLifetime)
	return s
}
