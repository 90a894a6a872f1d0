package dispatch

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	// DefaultBatchInterval is the minimum time between two messages of one
	// stream.
	DefaultBatchInterval = 2 * time.Millisecond
	// DefaultHeartbeatInterval is the maximum time between two messages of an
	// open stream.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultDispatcherTimeout is how long an entry waits for a message from
	// its dispatcher before it fails over to the next one.
	DefaultDispatcherTimeout = 1500 * time.Millisecond
	// DefaultEntryTimeout is how long a dispatcher waits for a message from an
	// entry before it drops the entry's requests.
	DefaultEntryTimeout = 3 * time.Second
	// DefaultStreamIdleTimeout is how long a stream without requests stays
	// open.
	DefaultStreamIdleTimeout = 5 * time.Second
	// DefaultProgressInterval is the time between two rounds of progress events
	// for the running requests of one stream.
	DefaultProgressInterval = time.Second
	// DefaultMaxProgressReports is the maximum number of progress events that
	// one stream queues per progress interval.
	DefaultMaxProgressReports = 10
	// DefaultLinger is how long finish and progress events wait to be batched
	// with other events. Finish events wait only while no request is waiting in
	// the pool.
	DefaultLinger = 50 * time.Millisecond
	// DefaultLowLoadLinger is the linger time of finish events while the
	// utilization of the pool is low.
	DefaultLowLoadLinger = 250 * time.Millisecond
	// DefaultPolicyInterval is the time between two runs of a policy while
	// requests wait.
	DefaultPolicyInterval = 20 * time.Millisecond
	// DefaultIdlePolicyInterval is the time between two runs of a policy while
	// no request waits.
	DefaultIdlePolicyInterval = 250 * time.Millisecond
	// DefaultProbeInterval is the initial backoff before an excluded dispatcher
	// is probed. It doubles with each failed probe.
	DefaultProbeInterval = time.Second
	// DefaultMaxProbeInterval is the maximum backoff before an excluded
	// dispatcher is probed.
	DefaultMaxProbeInterval = 16 * time.Second
	// DefaultSendTimeout is the timeout for sending one message.
	DefaultSendTimeout = time.Second
	// DefaultMaxPools is the maximum number of pools tried for one request.
	DefaultMaxPools = 4
	// DefaultPollInterval is the mean time between two load reports of one
	// upstream.
	DefaultPollInterval = time.Second
	// DefaultPollTimeout is the timeout for reading one load report.
	DefaultPollTimeout = 400 * time.Millisecond
	// DefaultReportWait is how long a new dispatcher waits for the load reports
	// of all its upstreams if at least one has been polled.
	DefaultReportWait = 100 * time.Millisecond
	// DefaultNoUpstreamTimeout is how long requests wait in a pool without an
	// available upstream.
	DefaultNoUpstreamTimeout = time.Second
	// DefaultDispatcherIdleTimeout is how long a dispatcher without streams
	// keeps running.
	DefaultDispatcherIdleTimeout = time.Minute
	// DefaultSummaryInterval is the minimum time between two rounds of requests
	// for the load summaries of sibling pools.
	DefaultSummaryInterval = time.Second
	// DefaultSummaryTTL is how long a pool's load summary is used.
	DefaultSummaryTTL = 3 * time.Second
)

// Settings configures the intervals and limits of a Dispatch. Zero values mean the
// defaults.
type Settings struct {
	BatchInterval      time.Duration
	HeartbeatInterval  time.Duration
	DispatcherTimeout  time.Duration
	EntryTimeout       time.Duration
	StreamIdleTimeout  time.Duration
	ProgressInterval   time.Duration
	MaxProgressReports int
	Linger             time.Duration
	LowLoadLinger      time.Duration
	PolicyInterval     time.Duration

	IdlePolicyInterval    time.Duration
	ProbeInterval         time.Duration
	MaxProbeInterval      time.Duration
	SendTimeout           time.Duration
	MaxPools              int
	PollInterval          time.Duration
	PollTimeout           time.Duration
	ReportWait            time.Duration
	NoUpstreamTimeout     time.Duration
	DispatcherIdleTimeout time.Duration
	SummaryInterval       time.Duration
	SummaryTTL            time.Duration
}

// withDefaults returns a copy with zero values replaced by the defaults.
func (s Settings) withDefaults() Settings {
	s.BatchInterval = cmp.Or(s.BatchInterval, DefaultBatchInterval)
	s.HeartbeatInterval = cmp.Or(s.HeartbeatInterval, DefaultHeartbeatInterval)
	s.DispatcherTimeout = cmp.Or(s.DispatcherTimeout, DefaultDispatcherTimeout)
	s.EntryTimeout = cmp.Or(s.EntryTimeout, DefaultEntryTimeout)
	s.StreamIdleTimeout = cmp.Or(s.StreamIdleTimeout, DefaultStreamIdleTimeout)
	s.ProgressInterval = cmp.Or(s.ProgressInterval, DefaultProgressInterval)
	s.MaxProgressReports = cmp.Or(s.MaxProgressReports, DefaultMaxProgressReports)
	s.Linger = cmp.Or(s.Linger, DefaultLinger)
	s.LowLoadLinger = cmp.Or(s.LowLoadLinger, DefaultLowLoadLinger)
	s.PolicyInterval = cmp.Or(s.PolicyInterval, DefaultPolicyInterval)
	s.IdlePolicyInterval = cmp.Or(s.IdlePolicyInterval, DefaultIdlePolicyInterval)
	s.ProbeInterval = cmp.Or(s.ProbeInterval, DefaultProbeInterval)
	s.MaxProbeInterval = cmp.Or(s.MaxProbeInterval, DefaultMaxProbeInterval)
	s.SendTimeout = cmp.Or(s.SendTimeout, DefaultSendTimeout)
	s.MaxPools = cmp.Or(s.MaxPools, DefaultMaxPools)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.PollTimeout = cmp.Or(s.PollTimeout, DefaultPollTimeout)
	s.ReportWait = cmp.Or(s.ReportWait, DefaultReportWait)
	s.NoUpstreamTimeout = cmp.Or(s.NoUpstreamTimeout, DefaultNoUpstreamTimeout)
	s.DispatcherIdleTimeout = cmp.Or(s.DispatcherIdleTimeout, DefaultDispatcherIdleTimeout)
	s.SummaryInterval = cmp.Or(s.SummaryInterval, DefaultSummaryInterval)
	s.SummaryTTL = cmp.Or(s.SummaryTTL, DefaultSummaryTTL)
	return s
}

// pauseThreshold is the time between two ticks from which this process was paused. Ticks
// are due twice in a heartbeat interval.
func (s Settings) pauseThreshold() time.Duration { return 2 * s.HeartbeatInterval }
