// Package engine is a small stand-in for a model engine. It serves the OpenAI API on
// top of a simulated engine and injects faults on request.
package engine

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// Settings configures a stand-in engine.
type Settings struct {
	// Name is the system_fingerprint of the answers.
	Name string
	// ModelName is the model listed by GET /v1/models.
	ModelName string
	// Model configures the speed and the memory.
	Model model.Settings
	// MaxWaiting bounds the queue. When it is full, the engine answers 429.
	MaxWaiting int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Faults are the initial faults.
	Faults Faults
}

// DefaultSettings returns the settings of a fast engine. Its only fault is a lag of
// its load reports of 200 ms.
func DefaultSettings() Settings {
	return Settings{
		Name:         "engine",
		ModelName:    "standin",
		Model:        model.DefaultSettings(),
		MaxWaiting:   256,
		MaxBodyBytes: 1 << 20,
		Faults:       Faults{LoadLag: 200 * time.Millisecond},
	}
}

// Faults are the faults that the engine injects.
type Faults struct {
	// Leaving makes the engine refuse new requests.
	Leaving bool
	// Straggle multiplies the duration of each step; zero means 1.
	Straggle float64
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// MaxRequestsPerSecond is the limit in the load reports, or nil if there is none.
	MaxRequestsPerSecond *float64
	// PoisonMarker crashes the engine when it processes a prompt that contains the
	// marker. An empty marker disables the fault.
	PoisonMarker string
	// BreakNext is the number of upcoming requests whose connection is closed
	// before the answer is complete.
	BreakNext int
	// BreakAfterTokens is the number of tokens sent before a stream is broken.
	BreakAfterTokens int
}
