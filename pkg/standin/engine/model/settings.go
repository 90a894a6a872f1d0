// Package model simulates the step times and the key-value cache of a model engine
// with continuous batching. It reads no clock: the caller passes the time, queries
// when the current step ends, and collects the tokens that the step produced. An Engine
// is not safe for concurrent use.
package model

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Settings configures the speed and the capacity of an engine.
type Settings struct {
	// Seed seeds the random generator of the step-time jitter.
	Seed uint64 `json:"seed"`
	// StepBase is the duration of a step before the costs of its batch.
	StepBase time.Duration `json:"step_base_ns"`
	// StepPerSequence is added for each sequence that generates a token in the step.
	StepPerSequence time.Duration `json:"step_per_sequence_ns"`
	// StepPerPrefillToken is added for each token prefilled in the step.
	StepPerPrefillToken time.Duration `json:"step_per_prefill_token_ns"`
	// StepPerContextKilotoken is added for each thousand context tokens of the
	// sequences that generate a token in the step.
	StepPerContextKilotoken time.Duration `json:"step_per_context_kilotoken_ns"`
	// PrefillPerMegapair is added for each million pairs of a prefilled token and an
	// earlier token of the same sequence. It models the quadratic cost of attention.
	PrefillPerMegapair time.Duration `json:"prefill_per_megapair_ns"`
	// Jitter is the largest relative deviation of a step's duration, from 0 to 1.
	Jitter float64 `json:"jitter"`
	// Straggle multiplies the duration of each step; 1 is normal speed.
	Straggle float64 `json:"straggle"`
	// CrowdedFactor multiplies the duration of the steps with more than CrowdedFrom
	// sequences in the batch; zero means that a nearly full batch is not slower.
	CrowdedFactor float64 `json:"crowded_factor,omitempty"`
	CrowdedFrom   int     `json:"crowded_from,omitempty"`
	// MaxBatch bounds the number of sequences in the batch.
	MaxBatch int `json:"max_batch"`
	// PrefillChunk bounds the tokens prefilled in one step.
	PrefillChunk int `json:"prefill_chunk"`
	// KVTokens is the capacity of the key-value cache in tokens.
	KVTokens int `json:"kv_tokens"`
	// PrefixTokens bounds the tokens of idle shared segments in the prefix cache.
	// They count towards KVTokens and are evicted when running sequences need the
	// memory.
	PrefixTokens int `json:"prefix_tokens"`
}

// DefaultSettings returns the settings of a small engine with steps of a few
// milliseconds.
func DefaultSettings() Settings {
	return Settings{
		Seed:                1,
		StepBase:            4 * time.Millisecond,
		StepPerSequence:     250 * time.Microsecond,
		StepPerPrefillToken: 20 * time.Microsecond,
		Jitter:              0.05,
		Straggle:            1,
		MaxBatch:            32,
		PrefillChunk:        512,
		KVTokens:            32 * 1024,
		PrefixTokens:        16 * 1024,
	}
}

// Request is one sequence to generate.
type Request struct {
	ID types.RequestID `json:"id"`
	// PromptTokens is the length of the prompt, including the partial answer that
	// the request resumes.
	PromptTokens int `json:"prompt_tokens"`
	// OutputTokens is the number of tokens to generate, at least one.
	OutputTokens int `json:"output_tokens"`
	// Priority orders the sequences; a lower value runs first.
	Priority int `json:"priority"`
	// PrefixHash identifies the shared prefix of the prompt; zero means none.
	PrefixHash uint64 `json:"prefix_hash,omitempty"`
	// PrefixTokens is the length of the shared prefix; zero means the whole
	// prompt.
	PrefixTokens int `json:"prefix_tokens,omitempty"`
	// Segments are the shared segments of the prompt in order. They override
	// PrefixHash.
	Segments []PromptSegment `json:"parts,omitempty"`
}

// segments returns the shared segments of the prompt.
func (r Request) segments() []PromptSegment {
	if len(r.Segments) > 0 || r.PrefixHash == 0 {
		return r.Segments
	}
	tokens := r.PrefixTokens
	if tokens == 0 {
		tokens = r.PromptTokens
	}
	return []PromptSegment{{ID: r.PrefixHash, Tokens: min(tokens, r.PromptTokens)}}
}

// Event is the progress of one sequence in one step.
type Event struct {
	ID types.RequestID `json:"id"`
	// Tokens is the number of tokens generated in the step.
	Tokens int `json:"tokens"`
	// Done is set when the sequence is complete and removed from the engine.
	Done bool `json:"done,omitempty"`
}

// Load is the load that an engine reports.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the size of the key-value cache in use, in tokens.
	KVUsed int `json:"kv_used"`
}

// Counters are cumulative totals.
type Counters struct {
	Steps           int `json:"steps"`
	GeneratedTokens int `json:"generated_tokens"`
	PrefillTokens   int `json:"prefill_tokens"`
	// CachedTokens counts the prompt tokens served from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// Preemptions counts the sequences returned to the queue to free memory or to
	// admit a sequence of higher priority.
	Preemptions int `json:"preemptions"`
}

// Add adds the totals of another engine, or of this one before a restart.
func (c *Counters) Add(other Counters) {
	c.Steps += other.Steps
	c.GeneratedTokens += other.GeneratedTokens
	c.PrefillTokens += other.PrefillTokens
	c.CachedTokens += other.CachedTokens
	c.Preemptions += other.Preemptions
}
