package idempotency

import "time"

// Settings configures the windows and the limits of a Table.
type Settings struct {
	Windows Windows
	// MaxRecords is the maximum number of keys in all open windows.
	MaxRecords int
	// MaxResultBytes is the maximum total size of the results kept for replay.
	MaxResultBytes int
}

// DefaultSettings returns settings in which the current window stays open for
// another 10 to 15 minutes.
func DefaultSettings() Settings {
	return Settings{
		Windows:        Windows{Length: 5 * time.Minute, Grace: 10 * time.Minute},
		MaxRecords:     20000,
		MaxResultBytes: 8 << 20,
	}
}
