// Package service is a small stand-in for a plain service. It executes every call it
// admits and counts the executions of each idempotency key, but does not deduplicate
// calls with the same key. It injects faults on request.
package service

import "time"

// HTTP paths with a function of their own. All other paths are calls.
const (
	ExecutionsPath = "/executions"
	LoadPath       = "/load"
	FaultsPath     = "/faults"
)

// KeyHeader is the request header with the idempotency key of a call.
const KeyHeader = "Idempotency-Key"

// StateHeader is a response header. Its value StateLeaving means that the service
// refused the call because it is leaving.
const (
	StateHeader  = "X-Upstream-State"
	StateLeaving = "leaving"
)

// Settings configures a stand-in service.
type Settings struct {
	// Name is the name of the service in its responses.
	Name string
	// MaxConcurrent bounds the calls executed concurrently. The service answers
	// further calls with 503.
	MaxConcurrent int
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes int64
	// MaxKeys bounds the number of keys whose executions are counted individually.
	MaxKeys int
	// Faults are the initial faults.
	Faults Faults
}

// DefaultSettings returns the settings of a service that executes a call in 5 ms and
// has no other faults.
func DefaultSettings() Settings {
	return Settings{
		Name:          "service",
		MaxConcurrent: 64,
		MaxBodyBytes:  1 << 20,
		MaxKeys:       1 << 18,
		Faults:        Faults{Delay: 5 * time.Millisecond},
	}
}

// Faults are the faults that the service injects.
type Faults struct {
	// Leaving makes the service refuse new calls.
	Leaving bool
	// Delay is the execution time of a call.
	Delay time.Duration
	// ResetBefore is the number of upcoming calls whose connection is reset before
	// they are executed.
	ResetBefore int
	// ResetAfter is the number of upcoming calls whose connection is reset after
	// they are executed.
	ResetAfter int
}

// FaultsChange is the JSON body of PUT /faults. Absent fields leave their fault
// unchanged.
type FaultsChange struct {
	Leaving *bool `json:"leaving,omitempty"`
	// DelayMilliseconds is the execution time of a call.
	DelayMilliseconds *int64 `json:"delay_ms,omitempty"`
	ResetBefore       *int   `json:"reset_before,omitempty"`
	ResetAfter        *int   `json:"reset_after,omitempty"`
	// Crash resets every connection and stops the service.
	Crash bool `json:"crash,omitempty"`
}

// Result is the JSON response to a call.
type Result struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Execution is the number of executions of the key, including this one. It is 1
	// for a call without a key and for a key beyond MaxKeys.
	Execution int `json:"execution"`
	// Echo is the body of the call.
	Echo string `json:"echo"`
}

// Executions is the JSON response of GET /executions.
type Executions struct {
	Total int `json:"total"`
	// Repeated counts the executions beyond the first of each key.
	Repeated int `json:"repeated"`
	// Keys maps each key to its number of executions.
	Keys map[string]int `json:"keys"`
}

// LoadReport is the JSON response of GET /load.
type LoadReport struct {
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	KVUsed          int   `json:"kv_used"`
	Leaving         bool  `json:"leaving"`
	AgeMilliseconds int64 `json:"age_ms"`
}

// errorResponse is the JSON body of a refused call.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}
