package membership

import "time"

// Defaults of the Settings.
const (
	// DefaultListInterval is the pause between two reads of the published list.
	DefaultListInterval = 2 * time.Second
	// DefaultListTimeout bounds one read of the published list.
	DefaultListTimeout = 2 * time.Second
)

// Settings are the intervals and bounds of Members. Zero values mean the
// defaults.
type Settings struct {
	ListInterval time.Duration
	ListTimeout  time.Duration
}

// withDefaults returns a copy in which zero values are replaced.
func (s Settings) withDefaults() Settings {
	setDefault(&s.ListInterval, DefaultListInterval)
	setDefault(&s.ListTimeout, DefaultListTimeout)
	return s
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
