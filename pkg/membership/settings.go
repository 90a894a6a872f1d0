package membership

import (
	"cmp"
	"time"
)

// Defaults of the Settings.
const (
	// DefaultListInterval is the least pause between two reads of the published
	// list.
	DefaultListInterval = 5 * time.Second
	// DefaultListShare is the pause for each instance of the fleet.
	DefaultListShare = 250 * time.Millisecond
	// DefaultMaxListInterval is the longest pause.
	DefaultMaxListInterval = time.Minute
	// DefaultListTimeout bounds one read of the published list.
	DefaultListTimeout = 2 * time.Second
	// DefaultExchangeInterval is the mean time between two exchanges that an
	// instance begins.
	DefaultExchangeInterval = 500 * time.Millisecond
	// DefaultExchangeTimeout bounds one exchange.
	DefaultExchangeTimeout = 500 * time.Millisecond
	// DefaultSuspectTimeout is how long a suspected instance has to refute.
	DefaultSuspectTimeout = 2 * time.Second
	// DefaultJoinPeriod is how long after its start an instance takes a rumour
	// about another life of its ID to be an old one.
	DefaultJoinPeriod = 10 * time.Second
	// DefaultForgetAfter is how long an instance that is down and not listed is
	// remembered, so that late rumours of it have no effect.
	DefaultForgetAfter = 10 * time.Minute
	// DefaultReconcileInterval is the least time between two comparisons of
	// whole views by one instance.
	DefaultReconcileInterval = 30 * time.Second
	// DefaultPartners is how many peers an instance takes its random exchanges
	// from, so that its connections do not grow with the fleet.
	DefaultPartners = 6
	// DefaultRotateInterval is the time after which one partner is replaced.
	DefaultRotateInterval = 10 * time.Second
	// DefaultLeaveFanout is how many peers a leaving instance tells itself.
	DefaultLeaveFanout = 16
)

// Settings are the intervals and bounds of Members. Zero values mean the
// defaults.
type Settings struct {
	ListInterval      time.Duration
	ListShare         time.Duration
	MaxListInterval   time.Duration
	ListTimeout       time.Duration
	ExchangeInterval  time.Duration
	ExchangeTimeout   time.Duration
	SuspectTimeout    time.Duration
	JoinPeriod        time.Duration
	ForgetAfter       time.Duration
	ReconcileInterval time.Duration
	Partners          int
	RotateInterval    time.Duration
	LeaveFanout       int
}

// withDefaults returns a copy in which zero values are replaced.
func (s Settings) withDefaults() Settings {
	s.ListInterval = cmp.Or(s.ListInterval, DefaultListInterval)
	s.ListShare = cmp.Or(s.ListShare, DefaultListShare)
	s.MaxListInterval = cmp.Or(s.MaxListInterval, DefaultMaxListInterval)
	s.ListTimeout = cmp.Or(s.ListTimeout, DefaultListTimeout)
	s.ExchangeInterval = cmp.Or(s.ExchangeInterval, DefaultExchangeInterval)
	s.ExchangeTimeout = cmp.Or(s.ExchangeTimeout, DefaultExchangeTimeout)
	s.SuspectTimeout = cmp.Or(s.SuspectTimeout, DefaultSuspectTimeout)
	s.JoinPeriod = cmp.Or(s.JoinPeriod, DefaultJoinPeriod)
	s.ForgetAfter = cmp.Or(s.ForgetAfter, DefaultForgetAfter)
	s.ReconcileInterval = cmp.Or(s.ReconcileInterval, DefaultReconcileInterval)
	s.Partners = cmp.Or(s.Partners, DefaultPartners)
	s.RotateInterval = cmp.Or(s.RotateInterval, DefaultRotateInterval)
	s.LeaveFanout = cmp.Or(s.LeaveFanout, DefaultLeaveFanout)
	return s
}
