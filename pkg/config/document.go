// Package config defines the published configuration: its documents, their
// validation, and the compiled form that the other packages use. A compiled
// Snapshot is immutable and may be shared between goroutines.
package config

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Document is one whole configuration as published by users, assembled from its
// parts. Documents are ordered by the revision that the configuration
// service assigns.
type Document struct {
	Classes   []Class    `json:"classes"`
	Rules     []Rule     `json:"rules"`
	Targets   []Target   `json:"targets"`
	Upstreams []Upstream `json:"upstreams"`
	Accounts  []Account  `json:"accounts"`

	// source is the text that the document was parsed from. It is used to find the
	// lines of problems.
	source []byte
}

// Milliseconds is a duration in whole milliseconds.
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
	// FirstToken is the target for the time from arrival to the first token. Zero
	// means no target.
	FirstToken Milliseconds `json:"first_token_ms,omitempty"`
	// InterTokenLatency is the target for the mean time between tokens after the
	// first.
	InterTokenLatency Milliseconds `json:"between_tokens_ms,omitempty"`
	// Deadline is the limit for the time from arrival to the complete response.
	Deadline Milliseconds `json:"deadline_ms"`
	// Floor guarantees progress of the class under overload.
	Floor Floor `json:"floor"`
	// Preemptible allows running requests of the class to be preempted by a higher
	// tier. Requests that are not repeatable are never preempted.
	Preemptible bool `json:"preemptible,omitempty"`
}

// Floor guarantees at least Starts request starts per pool in each Interval,
// regardless of the load of higher tiers.
type Floor struct {
	Starts   int          `json:"starts"`
	Interval Milliseconds `json:"interval_ms"`
}

// Rule is one entry of the ordered rule list. The first rule whose When expression
// is true applies; later rules are not evaluated.
type Rule struct {
	Name string `json:"name"`
	// When is a boolean expression over the request's attributes.
	When string `json:"when"`
	// Class is the name of the request's class.
	Class types.ClassName `json:"class"`
	// Target is the name of the target that receives the request.
	Target types.TargetName `json:"target"`
	// Tier overrides the tier of the class if set.
	Tier *types.Tier `json:"tier,omitempty"`
}

// TargetKind is the kind of the upstreams of a target.
type TargetKind string

const (
	// EngineTarget is a set of model engines.
	EngineTarget TargetKind = "engine"
	// ServiceTarget is a set of plain services.
	ServiceTarget TargetKind = "service"
)

// Target is a named set of interchangeable upstreams.
type Target struct {
	Name types.TargetName `json:"name"`
	Kind TargetKind       `json:"kind"`
	// Model is the model name in requests; engines only.
	Model string `json:"model,omitempty"`
	// Service is the name in /v1/services/{name}/; services only.
	Service string `json:"service,omitempty"`
}

// Upstream is one model engine or plain service.
type Upstream struct {
	ID         types.UpstreamID `json:"id"`
	Target     types.TargetName `json:"target"`
	DataCentre types.DataCentre `json:"data_centre"`
	// URL is the base address, such as http://127.0.0.1:9001.
	URL string `json:"url"`
	// MaxConcurrent is the maximum number of concurrent requests.
	MaxConcurrent int `json:"max_concurrent"`
	// KVTokens is the capacity of the engine's key-value cache in tokens; engines
	// only.
	KVTokens int `json:"kv_tokens,omitempty"`
	// Version is the version of the upstream's software; engines only. A stream is
	// continued only by an engine of the version that began it.
	Version types.SoftwareVersion `json:"version,omitempty"`
	// ChecksFencing reports whether the engine rejects requests with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Account is a client account.
type Account struct {
	ID types.AccountID `json:"id"`
	// KeySHA256 contains the hexadecimal SHA-256 digest of each valid API key.
	KeySHA256 []string `json:"key_sha256"`
	// Labels are attributes that rules can test.
	Labels map[string]string `json:"labels,omitempty"`
	Limits Limits            `json:"limits"`
}

// Limits are the limits of one account at each instance. Zero means no limit.
type Limits struct {
	// RequestsPerSecond is the sustained rate. The burst is one second of requests.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Concurrent is the maximum number of concurrent requests.
	Concurrent int `json:"concurrent,omitempty"`
	// Weight is the account's relative share within a class; zero means one.
	Weight float64 `json:"weight,omitempty"`
}
