package directory

import (
	"cmp"
	"time"
)

// Defaults of the Settings.
const (
	// DefaultLifetime is how long callers may keep an answer.
	DefaultLifetime = 10 * time.Second
	// DefaultMaxAddresses bounds the addresses of one answer.
	DefaultMaxAddresses = 8
	// DefaultMaxAsked bounds the instances that are asked for their status.
	DefaultMaxAsked = 24
	// DefaultRefreshInterval is the time between two rounds of questions.
	DefaultRefreshInterval = 5 * time.Second
	// DefaultAskTimeout bounds one question.
	DefaultAskTimeout = time.Second
	// DefaultStatusLifetime is how long a status is trusted.
	DefaultStatusLifetime = 20 * time.Second
)

// Settings bound the answers and the questions to peers. Zero values mean the
// defaults.
type Settings struct {
	Lifetime        time.Duration
	MaxAddresses    int
	MaxAsked        int
	RefreshInterval time.Duration
	AskTimeout      time.Duration
	StatusLifetime  time.Duration
}

// withDefaults returns a copy in which zero values are replaced.
func (s Settings) withDefaults() Settings {
	s.Lifetime = cmp.Or(s.Lifetime, DefaultLifetime)
	s.MaxAddresses = cmp.Or(s.MaxAddresses, DefaultMaxAddresses)
	s.MaxAsked = cmp.Or(s.MaxAsked, DefaultMaxAsked)
	s.RefreshInterval = cmp.Or(s.RefreshInterval, DefaultRefreshInterval)
	s.AskTimeout = cmp.Or(s.AskTimeout, DefaultAskTimeout)
	s.StatusLifetime = cmp.Or(s.StatusLifetime, DefaultStatusLifetime)
	return s
}
