// Package config defines the published configuration: its documents, their
// validation, and the compiled form that the other packages read. A compiled
// Snapshot is immutable and may be shared between goroutines.
package config

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Document is one whole configuration as users publish it, assembled from its
// parts. The platform's revision orders documents.
type Document struct {
	Classes   []Class    `json:"classes"`
	Rules     []Rule     `json:"rules"`
	Targets   []Target   `json:"targets"`
	Upstreams []Upstream `json:"upstreams"`
	Accounts  []Account  `json:"accounts"`

	// source is the text that the document was parsed from, kept for the lines
	// of problems.
	source []byte
}

// Milliseconds is a duration written as a whole number of milliseconds.
type Milliseconds int64

// Duration returns the value as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Class declares the service level of one kind of request.
type Class struct {
	Name types.ClassName `json:"name"`
	// Tier orders classes; a larger number is a higher tier.
	Tier types.Tier `json:"tier"`
	// FirstToken is the target from arrival to the first token. Zero means that
	// the class has no such target.
	FirstToken Milliseconds `json:"first_token_ms,omitempty"`
	// BetweenTokens is the target for the mean gap between tokens after the first.
	BetweenTokens Milliseconds `json:"between_tokens_ms,omitempty"`
	// Deadline is the limit from arrival to the complete answer.
	Deadline Milliseconds `json:"deadline_ms"`
	// Floor guarantees progress to the class under overload.
	Floor Floor `json:"floor"`
	// Preemptible says that running work of the class may give way to a higher
	// tier. Work that is not repeatable is never preempted.
	Preemptible bool `json:"preemptible,omitempty"`
}

// Floor promises at least Starts starts in each Interval per pool, whatever
// the load of higher tiers.
type Floor struct {
	Starts   int          `json:"starts"`
	Interval Milliseconds `json:"interval_ms"`
}

// Rule is one when-then entry of the ordered list. The first rule whose When
// holds decides; no later rule is consulted.
type Rule struct {
	Name string `json:"name"`
	// When is a boolean expression over the request's attributes.
	When string `json:"when"`
	// Class names the class of the request.
	Class types.ClassName `json:"class"`
	// Target names where the request goes.
	Target types.TargetName `json:"target"`
	// Tier overrides the tier of the class when present.
	Tier *types.Tier `json:"tier,omitempty"`
}

// TargetKind tells model engines from plain services.
type TargetKind string

const (
	// EngineTarget is a set of model engines.
	EngineTarget TargetKind = "engine"
	// ServiceTarget is a set of plain service workers.
	ServiceTarget TargetKind = "service"
)

// Target is a named set of interchangeable upstreams.
type Target struct {
	Name types.TargetName `json:"name"`
	Kind TargetKind       `json:"kind"`
	// Model is the model name that callers use; engines only.
	Model string `json:"model,omitempty"`
	// Service is the name in /v1/services/{name}/; services only.
	Service string `json:"service,omitempty"`
}

// Upstream is one model engine or plain service worker.
type Upstream struct {
	ID         types.UpstreamID `json:"id"`
	Target     types.TargetName `json:"target"`
	DataCentre types.DataCentre `json:"data_centre"`
	// URL is the base address, such as http://127.0.0.1:9001.
	URL string `json:"url"`
	// MaxConcurrent bounds the requests running at once.
	MaxConcurrent int `json:"max_concurrent"`
	// KVTokens is the engine's key-value cache in tokens; engines only.
	KVTokens int `json:"kv_tokens,omitempty"`
	// ChecksFencing says that the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Account is a client account.
type Account struct {
	ID types.AccountID `json:"id"`
	// KeySHA256 holds the hexadecimal SHA-256 of each API key in force.
	KeySHA256 []string `json:"key_sha256"`
	// Labels are attributes that rules may test.
	Labels map[string]string `json:"labels,omitempty"`
	Limits Limits            `json:"limits"`
}

// Limits bounds one account at each instance. Zero means no limit.
type Limits struct {
	// RequestsPerSecond is the sustained rate, with a burst of one second.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Concurrent bounds the requests held at once.
	Concurrent int `json:"concurrent,omitempty"`
	// Weight is the account's share in its class; zero means one.
	Weight float64 `json:"weight,omitempty"`
}
