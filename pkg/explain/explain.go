// Package explain defines the explanation of a placement decision and how a client proves to
// an instance that it may ask for one.
package explain

import (
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Path is the path of explanations on the metrics listener of an instance. The body of the
// POST request is the request to explain, as a caller would send it over HTTP/1.1.
const Path = "/debug/explain"

// Outcome is what would become of a request.
type Outcome string

const (
	// Placed means that the request would be sent to Choice.
	Placed Outcome = "placed"
	// Refused means that the caller would get the error Refusal.
	Refused Outcome = "refused"
	// Undetermined means that the decision depends on replies of peers, which are not asked.
	Undetermined Outcome = "undetermined"
)

// Explanation is where a request would go now, and why. Fields that end in _ms are
// milliseconds. A part that the decision did not get to is missing.
type Explanation struct {
	Instance   types.InstanceID   `json:"instance"`
	DataCentre types.DataCentre   `json:"data_centre"`
	Request    types.RequestID    `json:"request,omitempty"`
	Outcome    Outcome            `json:"outcome"`
	Choice     types.UpstreamID   `json:"choice,omitempty"`
	Refusal    *Refusal           `json:"refusal,omitempty"`
	Config     *Configuration     `json:"configuration,omitempty"`
	Route      *Route             `json:"route,omitempty"`
	Account    types.AccountID    `json:"account,omitempty"`
	Priority   *int               `json:"priority,omitempty"`
	Prompt     *Prompt            `json:"prompt,omitempty"`
	Origin     *Origin            `json:"origin,omitempty"`
	Admission  *Admission         `json:"admission,omitempty"`
	Permit     *Permit            `json:"permit,omitempty"`
	AskedPeers []types.UpstreamID `json:"loads_to_ask_peers,omitempty"`
	Candidates []Candidate        `json:"candidates,omitempty"`
	Retry      *Retry             `json:"retry,omitempty"`
	// Note says why the outcome is undetermined.
	Note string `json:"note,omitempty"`
}

// Refusal is the error that the caller would get.
type Refusal struct {
	Status int `json:"status"`
	// Code is empty if the request is too malformed to reach the router.
	Code    string `json:"code,omitempty"`
	Message string `json:"message"`
	// RetryAfterMs includes the random part, which differs from one refusal to the next.
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
}

// Configuration is the configuration in force.
type Configuration struct {
	Version  string         `json:"version"`
	Revision types.Revision `json:"revision"`
	// AgeMs is the time since it took effect at the instance.
	AgeMs float64 `json:"age_ms"`
}

// Route is the route that matches the request.
type Route struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Target is the service that the explanation is for. If Targets has several with a weight,
	// it was drawn as for a request, and another request may get another one.
	Target      types.TargetName `json:"target"`
	Targets     []Target         `json:"targets"`
	ObjectiveMs float64          `json:"objective_ms"`
	TimeoutMs   float64          `json:"timeout_ms"`
}

// Target is a service of a route.
type Target struct {
	Name   types.TargetName `json:"name"`
	Weight int              `json:"weight"`
}

// Prompt describes a request to a model engine.
type Prompt struct {
	Tokens           int  `json:"tokens"`
	Segments         int  `json:"segments"`
	LatencySensitive bool `json:"latency_sensitive"`
}

// Origin is where the stream began that the request resumes.
type Origin struct {
	Target  types.TargetName      `json:"target"`
	Version types.SoftwareVersion `json:"version"`
}

// Admission is the decision on the predicted wait at the chosen upstream.
type Admission struct {
	Admitted        bool    `json:"admitted"`
	WaitMs          float64 `json:"wait_ms"`
	FirstResponseMs float64 `json:"first_response_ms"`
	// LessUrgentWork is true if less urgent work yields to the request, so that it may wait
	// for longer.
	LessUrgentWork bool `json:"less_urgent_work"`
	// Late is true if the request is admitted as late work. The wait is then that behind all
	// load of the upstream.
	Late bool `json:"late,omitempty"`
	// OverShare is true if the request is over the share of its account, so that it is sent at
	// its own priority only to an idle upstream. That is drawn anew for each request, with the
	// probability OverShareProbability, and for each explanation.
	OverShare            bool    `json:"over_share,omitempty"`
	OverShareProbability float64 `json:"over_share_probability,omitempty"`
}

// Permit is the permit that the request would ask for. Whether it is granted is not known.
type Permit struct {
	PerSecond float64 `json:"per_second"`
	Priority  int     `json:"priority"`
	// Cold is true if the upstream's cold limit applies.
	Cold bool `json:"cold"`
}

// State is the main reason why an upstream may get the request or not.
type State string

// States of a candidate.
const (
	Available    State = "available"
	Draining     State = "draining"
	Leaving      State = "leaving"
	Evacuated    State = "evacuated"
	OtherVersion State = "other_version"
	Paused       State = "paused"
	Ejected      State = "ejected"
	Awaited      State = "awaited"
	Blocked      State = "blocked"
)

// Candidate is an upstream of the target with the factors that decide on it.
type Candidate struct {
	Upstream   types.UpstreamID      `json:"upstream"`
	DataCentre types.DataCentre      `json:"data_centre"`
	Version    types.SoftwareVersion `json:"version,omitempty"`
	State      State                 `json:"state"`
	// Compared is true if the placement compared its cost with those of others.
	Compared bool `json:"compared"`
	// PauseMs, EjectionMs, BlockedMs and ColdMs are the remaining times of these states.
	PauseMs    float64 `json:"pause_ms,omitempty"`
	EjectionMs float64 `json:"ejection_ms,omitempty"`
	BlockedMs  float64 `json:"blocked_ms,omitempty"`
	ColdMs     float64 `json:"cold_ms,omitempty"`
	// LimitPerSecond and ColdLimitPerSecond are the request rates that apply to the whole
	// fleet, or nil.
	LimitPerSecond     *float64 `json:"limit_per_second,omitempty"`
	ColdLimitPerSecond *float64 `json:"cold_limit_per_second,omitempty"`
	Slots              int      `json:"slots"`
	// Waiting, Running, PrefillTokens, LatencySensitive and Overdue are the load from the whole
	// fleet. LoadAgeMs is the age of the oldest report in it, zero if there is none.
	Waiting          int     `json:"waiting"`
	Running          int     `json:"running"`
	PrefillTokens    int     `json:"prefill_tokens"`
	LatencySensitive int     `json:"latency_sensitive"`
	Overdue          int     `json:"overdue"`
	LoadAgeMs        float64 `json:"load_age_ms"`
	CachedTokens     int     `json:"cached_tokens"`
	FailureRate      float64 `json:"failure_rate"`
	// LatencyRatio is the ratio of measured to predicted times, StepMs the time between two
	// tokens. Zero means unknown.
	LatencyRatio float64 `json:"latency_ratio"`
	StepMs       float64 `json:"step_ms"`
	// Speed is the learned factor of its times relative to the median of its target, and Room
	// the number of requests beyond which its latency grows faster than its throughput. Zero
	// means unknown. BeyondRoom is true if the request would exceed the room.
	Speed      float64 `json:"speed,omitempty"`
	Room       int     `json:"room,omitempty"`
	BeyondRoom bool    `json:"beyond_room,omitempty"`
	// Preferred marks the engine that caches the session, Reserved one that is kept for
	// latency-sensitive streams.
	Preferred bool `json:"preferred,omitempty"`
	Reserved  bool `json:"reserved,omitempty"`
	// WaitMs, FirstResponseMs and CostMs are predicted. They are missing unless State is
	// Available, or Awaited or Ejected and no other upstream is available.
	WaitMs          *float64 `json:"wait_ms,omitempty"`
	FirstResponseMs *float64 `json:"first_response_ms,omitempty"`
	CostMs          *float64 `json:"cost_ms,omitempty"`
}

// Retry is what would follow an attempt at the choice that failed at once.
type Retry struct {
	// AfterRun and NotRun report whether the request may be sent again after the upstream may
	// have run it, and after it did not.
	AfterRun bool `json:"after_run"`
	NotRun   bool `json:"not_run"`
	// Budget reports whether the retry budget allows a retry now.
	Budget bool `json:"budget"`
	// Choice is the upstream of the retry, or Refusal why there is none.
	Choice  types.UpstreamID `json:"choice,omitempty"`
	Refusal *Refusal         `json:"refusal,omitempty"`
}
