// Package service is a small stand-in for a plain service. It executes every
// call that reaches it, counts the executions of each idempotency key, never
// recognises a repeated key, and fails when it is told to.
package service

import "time"

// The paths that are not calls.
const (
	ExecutionsPath = "/executions"
	LoadPath       = "/load"
	FaultsPath     = "/faults"
)

// KeyHeader carries the idempotency key of a call.
const KeyHeader = "Idempotency-Key"

// StateHeader and its value tell that the service refuses because it leaves.
const (
	StateHeader  = "X-Upstream-State"
	StateLeaving = "leaving"
)

// Settings fixes one stand-in service.
type Settings struct {
	// Name stands in the answers.
	Name string
	// MaxConcurrent bounds the calls executed at once; beyond it the service
	// answers 503.
	MaxConcurrent int
	// MaxBodyBytes bounds a call's body.
	MaxBodyBytes int64
	// MaxKeys bounds the keys whose executions are counted apart.
	MaxKeys int
	// Faults are in force from the start.
	Faults Faults
}

// DefaultSettings returns a quick, faultless service.
func DefaultSettings() Settings {
	return Settings{
		Name:          "service",
		MaxConcurrent: 64,
		MaxBodyBytes:  1 << 20,
		MaxKeys:       1 << 18,
		Faults:        Faults{Delay: 5 * time.Millisecond},
	}
}

// Faults are the ways in which the service misbehaves.
type Faults struct {
	// Leaving makes the service refuse new calls.
	Leaving bool
	// Delay is the time that a call takes.
	Delay time.Duration
	// ResetBefore counts the next calls whose connection is reset before they
	// are executed.
	ResetBefore int
	// ResetAfter counts the next calls whose connection is reset after they are
	// executed.
	ResetAfter int
}

// FaultsChange is the JSON body of PUT /faults. Absent fields stay as they are.
type FaultsChange struct {
	Leaving *bool `json:"leaving,omitempty"`
	// DelayMilliseconds is the time that a call takes.
	DelayMilliseconds *int64 `json:"delay_ms,omitempty"`
	ResetBefore       *int   `json:"reset_before,omitempty"`
	ResetAfter        *int   `json:"reset_after,omitempty"`
	// Crash resets every connection and ends the service.
	Crash bool `json:"crash,omitempty"`
}

// Result is the JSON answer to a call.
type Result struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Execution counts the executions of the key, this one included.
	Execution int `json:"execution"`
	// Echo is the body of the call.
	Echo string `json:"echo"`
}

// Executions is the JSON answer of GET /executions.
type Executions struct {
	Total int `json:"total"`
	// Repeated counts the executions beyond the first of each key.
	Repeated int `json:"repeated"`
	// Keys holds the number of executions of each key.
	Keys map[string]int `json:"keys"`
}

// LoadReport is the JSON answer of GET /load.
type LoadReport struct {
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	KVUsed          int   `json:"kv_used"`
	Leaving         bool  `json:"leaving"`
	AgeMilliseconds int64 `json:"age_ms"`
}

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}
