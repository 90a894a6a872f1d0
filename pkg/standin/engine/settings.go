// Package engine is a small stand-in for a model engine: it speaks the OpenAI
// protocol over an imitated engine, and fails when it is told to.
package engine

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// Settings fixes one stand-in engine.
type Settings struct {
	// Name stands in the answers' system_fingerprint.
	Name string
	// ModelName is the model that the engine lists.
	ModelName string
	// Model fixes speed and memory.
	Model model.Settings
	// MaxWaiting bounds the queue; beyond it the engine answers 429.
	MaxWaiting int
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// Faults are in force from the start.
	Faults Faults
}

// DefaultSettings returns a quick, faultless engine.
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

// Faults are the ways in which the engine misbehaves.
type Faults struct {
	// Leaving makes the engine refuse new work.
	Leaving bool
	// Straggle multiplies step times; zero means one.
	Straggle float64
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// PoisonMarker crashes the engine when a prompt contains it; empty is off.
	PoisonMarker string
	// BreakNext counts the next requests whose connection is closed in the
	// middle of the answer.
	BreakNext int
	// BreakAfterTokens is how many tokens of a broken stream are sent before.
	BreakAfterTokens int
}
