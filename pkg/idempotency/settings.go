package idempotency

import "time"

// Settings bounds what an instance keeps of keys.
type Settings struct {
	Windows Windows
	// MaxRecords bounds the keys of the open windows.
	MaxRecords int
	// MaxResultBytes bounds the results kept for copies, all keys together.
	MaxResultBytes int
}

// DefaultSettings returns windows that stay open for 10 to 15 minutes after a
// caller learns of them.
func DefaultSettings() Settings {
	return Settings{
		Windows:        Windows{Length: 5 * time.Minute, Grace: 10 * time.Minute},
		MaxRecords:     20000,
		MaxResultBytes: 8 << 20,
	}
}
