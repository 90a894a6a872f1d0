package directory

import "time"

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
	setDefault(&s.Lifetime, DefaultLifetime)
	setDefault(&s.MaxAddresses, DefaultMaxAddresses)
	setDefault(&s.MaxAsked, DefaultMaxAsked)
	setDefault(&s.RefreshInterval, DefaultRefreshInterval)
	setDefault(&s.AskTimeout, DefaultAskTimeout)
	setDefault(&s.StatusLifetime, DefaultStatusLifetime)
	return s
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
