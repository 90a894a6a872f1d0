package membership

import (
	"cmp"
	"time"
)

// Defaults of the Settings.
const (
	// DefaultListInterval is the minimum interval between two reads of the published
	// list.
	DefaultListInterval = 5 * time.Second
	// DefaultListIntervalPerInstance is the interval per instance of the fleet.
	DefaultListIntervalPerInstance = 250 * time.Millisecond
	// DefaultMaxListInterval is the maximum interval.
	DefaultMaxListInterval = time.Minute
	// DefaultListTimeout is the timeout of one read of the published list.
	DefaultListTimeout = 2 * time.Second
	// DefaultExchangeInterval is the mean time between two exchanges that an
	// instance starts.
	DefaultExchangeInterval = 500 * time.Millisecond
	// DefaultExchangeTimeout is the timeout of one exchange.
	DefaultExchangeTimeout = 500 * time.Millisecond
	// DefaultSuspectTimeout is the time that a suspect instance has to refute the
	// suspicion before it is marked as down.
	DefaultSuspectTimeout = 2 * time.Second
	// DefaultJoinPeriod is the time after the start in which an instance treats a
	// state with its ID and another incarnation as stale.
	DefaultJoinPeriod = 10 * time.Second
	// DefaultRemoveAfter is the time for which an instance that is down and not
	// listed is kept, so that late updates about it have no effect.
	DefaultRemoveAfter = 10 * time.Minute
	// DefaultReconcileInterval is the minimum time between two comparisons of
	// whole views that one instance starts.
	DefaultReconcileInterval = 30 * time.Second
	// DefaultPartners is the number of peers from which an instance chooses its
	// random exchanges. It keeps the number of connections independent of the
	// fleet size.
	DefaultPartners = 6
	// DefaultRotateInterval is the time after which one partner is replaced.
	DefaultRotateInterval = 10 * time.Second
	// DefaultLeaveFanout is the number of peers that a leaving instance informs
	// directly.
	DefaultLeaveFanout = 16
)

// Settings configures the intervals and limits of Members. Zero values mean the
// defaults.
type Settings struct {
	ListInterval            time.Duration
	ListIntervalPerInstance time.Duration
	MaxListInterval         time.Duration
	ListTimeout             time.Duration
	ExchangeInterval        time.Duration
	ExchangeTimeout         time.Duration
	SuspectTimeout          time.Duration
	JoinPeriod              time.Duration
	RemoveAfter             time.Duration
	ReconcileInterval       time.Duration
	Partners                int
	RotateInterval          time.Duration
	LeaveFanout             int
}

// withDefaults returns a copy in which zero values are replaced by the defaults.
func (s Settings) withDefaults() Settings {
	s.ListInterval = cmp.Or(s.ListInterval, DefaultListInterval)
	s.ListIntervalPerInstance = cmp.Or(s.ListIntervalPerInstance, DefaultListIntervalPerInstance)
	s.MaxListInterval = cmp.Or(s.MaxListInterval, DefaultMaxListInterval)
	s.ListTimeout = cmp.Or(s.ListTimeout, DefaultListTimeout)
	s.ExchangeInterval = cmp.Or(s.ExchangeInterval, DefaultExchangeInterval)
	s.ExchangeTimeout = cmp.Or(s.ExchangeTimeout, DefaultExchangeTimeout)
	s.SuspectTimeout = cmp.Or(s.SuspectTimeout, DefaultSuspectTimeout)
	s.JoinPeriod = cmp.Or(s.JoinPeriod, DefaultJoinPeriod)
	s.RemoveAfter = cmp.Or(s.RemoveAfter, DefaultRemoveAfter)
	s.ReconcileInterval = cmp.Or(s.ReconcileInterval, DefaultReconcileInterval)
	s.Partners = cmp.Or(s.Partners, DefaultPartners)
	s.RotateInterval = cmp.Or(s.RotateInterval, DefaultRotateInterval)
	s.LeaveFanout = cmp.Or(s.LeaveFanout, DefaultLeaveFanout)
	return s
}
