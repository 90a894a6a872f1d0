package directory

import (
	"cmp"
	"time"
)

// Defaults of the Settings.
const (
	// DefaultLifetime is the time for which callers may cache an answer.
	DefaultLifetime = 10 * time.Second
	// DefaultMaxAddresses is the maximum number of addresses in one answer.
	DefaultMaxAddresses = 8
	// DefaultMaxStatusPeers is the maximum number of instances whose status is
	// fetched.
	DefaultMaxStatusPeers = 24
	// DefaultRefreshInterval is the time between two refreshes of the statuses.
	DefaultRefreshInterval = 5 * time.Second
	// DefaultStatusTimeout is the timeout for fetching one status.
	DefaultStatusTimeout = time.Second
	// DefaultStatusLifetime is the time after which a status expires.
	DefaultStatusLifetime = 20 * time.Second
)

// Settings configures the limits of answers and of status requests to peers. Zero
// values mean the defaults.
type Settings struct {
	Lifetime        time.Duration
	MaxAddresses    int
	MaxStatusPeers  int
	RefreshInterval time.Duration
	StatusTimeout   time.Duration
	StatusLifetime  time.Duration
}

// withDefaults returns a copy in which zero values are replaced by the defaults.
func (s Settings) withDefaults() Settings {
	s.Lifetime = cmp.Or(s.Lifetime, DefaultLifetime)
	s.MaxAddresses = cmp.Or(s.MaxAddresses, DefaultMaxAddresses)
	s.MaxStatusPeers = cmp.Or(s.MaxStatusPeers, DefaultMaxStatusPeers)
	s.RefreshInterval = cmp.Or(s.RefreshInterval, DefaultRefreshInterval)
	s.StatusTimeout = cmp.Or(s.StatusTimeout, DefaultStatusTimeout)
	s.StatusLifetime = cmp.Or(s.StatusLifetime, DefaultStatusLifetime)
	return s
}
