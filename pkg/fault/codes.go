package fault

import (
	"net/http"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// The codes of every failure. The order is that of the documentation.
const (
	// BadRequest: the request is malformed.
	BadRequest Code = "bad_request"
	// BodyTooLarge: the body exceeds the configured size.
	BodyTooLarge Code = "body_too_large"
	// HeaderTooLarge: the head of the request exceeds the configured size.
	HeaderTooLarge Code = "header_too_large"
	// Unauthorized: the API key is missing or unknown.
	Unauthorized Code = "unauthorized"
	// UnknownModel: no rule leads the request to a target that serves the model.
	UnknownModel Code = "unknown_model"
	// UnknownService: no target has the named service.
	UnknownService Code = "unknown_service"
	// NoRuleMatches: no rule of the list matches the request.
	NoRuleMatches Code = "no_rule_matches"
	// AccountLimit: the client account is over one of its limits.
	AccountLimit Code = "account_limit"
	// Overloaded: the queue is full and no lower tier could give way.
	Overloaded Code = "overloaded"
	// DeadlineUnreachable: the class's target can no longer be met.
	DeadlineUnreachable Code = "deadline_unreachable"
	// DeadlineExceeded: the deadline passed before the answer was complete.
	DeadlineExceeded Code = "deadline_exceeded"
	// NoUpstream: no upstream of the target is available.
	NoUpstream Code = "no_upstream"
	// UpstreamFailed: the upstream failed and no retry was allowed or left.
	UpstreamFailed Code = "upstream_failed"
	// AnswerTooLarge: the upstream's answer exceeds the configured size.
	AnswerTooLarge Code = "answer_too_large"
	// AnswerUnframed: the end of the upstream's answer is not marked, so that a
	// whole answer cannot be told from a part of one.
	AnswerUnframed Code = "answer_unframed"
	// UpstreamLeaving: the upstream refuses new work because it is leaving.
	UpstreamLeaving Code = "upstream_leaving"
	// Preempted: the request gave way to a higher tier and could not resume.
	Preempted Code = "preempted"
	// Quarantined: the request is suspected of crashing upstreams.
	Quarantined Code = "quarantined"
	// KeyRequired: a request that is not repeatable came without a key.
	KeyRequired Code = "key_required"
	// KeyInvalid: the idempotency key does not name an executor and a window.
	KeyInvalid Code = "key_invalid"
	// KeyExpired: the key's window has closed.
	KeyExpired Code = "key_expired"
	// KeyReused: the key was used before with another request.
	KeyReused Code = "key_reused"
	// OutcomeUnknown: the executor of the key cannot be asked.
	OutcomeUnknown Code = "outcome_unknown"
	// LeaseExpired: the grant expired before the upstream was called.
	LeaseExpired Code = "lease_expired"
	// Leaving: this instance is shutting down; another address serves.
	Leaving Code = "leaving"
	// NotReady: this instance has no configuration yet.
	NotReady Code = "not_ready"
	// UnknownRequest: no request of that ID is known here.
	UnknownRequest Code = "unknown_request"
	// NotFound: the path names nothing.
	NotFound Code = "not_found"
	// CallerGone: the caller closed the connection.
	CallerGone Code = "caller_gone"
	// InvalidSetting: a flag or environment variable has a bad value.
	InvalidSetting Code = "invalid_setting"
	// InvalidConfiguration: a published document breaks a rule of validation.
	InvalidConfiguration Code = "invalid_configuration"
	// StaleRevision: a document is older than the one in force.
	StaleRevision Code = "stale_revision"
	// ConflictingRevision: another document of the same revision takes precedence.
	ConflictingRevision Code = "conflicting_revision"
	// MissingPart: a part of a document could not be had.
	MissingPart Code = "missing_part"
	// PlatformUnavailable: the configuration service did not answer.
	PlatformUnavailable Code = "platform_unavailable"
	// PeerUnavailable: another instance did not answer.
	PeerUnavailable Code = "peer_unavailable"
	// PeerRejected: another instance refused the call.
	PeerRejected Code = "peer_rejected"
	// InvalidChart: a state chart file is malformed.
	InvalidChart Code = "invalid_chart"
	// InvalidTransition: a state chart has no transition for an event.
	InvalidTransition Code = "invalid_transition"
	// CheckFailed: a check that an operator asked for found a breach.
	CheckFailed Code = "check_failed"
	// Internal: a fault of the router itself.
	Internal Code = "internal"
)

// description is the row of the table for one code.
type description struct {
	status   int
	runState types.RunState
}

var table = map[Code]description{
	BadRequest:           {http.StatusBadRequest, types.NotRun},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, types.NotRun},
	HeaderTooLarge:       {http.StatusRequestHeaderFieldsTooLarge, types.NotRun},
	Unauthorized:         {http.StatusUnauthorized, types.NotRun},
	UnknownModel:         {http.StatusNotFound, types.NotRun},
	UnknownService:       {http.StatusNotFound, types.NotRun},
	NoRuleMatches:        {http.StatusForbidden, types.NotRun},
	AccountLimit:         {http.StatusTooManyRequests, types.NotRun},
	Overloaded:           {http.StatusServiceUnavailable, types.NotRun},
	DeadlineUnreachable:  {http.StatusServiceUnavailable, types.NotRun},
	DeadlineExceeded:     {http.StatusGatewayTimeout, types.MayHaveRun},
	NoUpstream:           {http.StatusServiceUnavailable, types.NotRun},
	UpstreamFailed:       {http.StatusBadGateway, types.MayHaveRun},
	AnswerTooLarge:       {http.StatusBadGateway, types.Ran},
	AnswerUnframed:       {http.StatusBadGateway, types.Ran},
	UpstreamLeaving:      {http.StatusServiceUnavailable, types.NotRun},
	Preempted:            {http.StatusServiceUnavailable, types.MayHaveRun},
	Quarantined:          {http.StatusUnprocessableEntity, types.MayHaveRun},
	KeyRequired:          {http.StatusBadRequest, types.NotRun},
	KeyInvalid:           {http.StatusBadRequest, types.NotRun},
	KeyExpired:           {http.StatusConflict, types.MayHaveRun},
	KeyReused:            {http.StatusUnprocessableEntity, types.NotRun},
	OutcomeUnknown:       {http.StatusConflict, types.MayHaveRun},
	LeaseExpired:         {http.StatusServiceUnavailable, types.NotRun},
	Leaving:              {http.StatusServiceUnavailable, types.NotRun},
	NotReady:             {http.StatusServiceUnavailable, types.NotRun},
	UnknownRequest:       {http.StatusNotFound, types.NotRun},
	NotFound:             {http.StatusNotFound, types.NotRun},
	CallerGone:           {499, types.MayHaveRun},
	InvalidSetting:       {http.StatusInternalServerError, types.NotRun},
	InvalidConfiguration: {http.StatusInternalServerError, types.NotRun},
	StaleRevision:        {http.StatusConflict, types.NotRun},
	ConflictingRevision:  {http.StatusConflict, types.NotRun},
	MissingPart:          {http.StatusInternalServerError, types.NotRun},
	PlatformUnavailable:  {http.StatusServiceUnavailable, types.NotRun},
	PeerUnavailable:      {http.StatusServiceUnavailable, types.MayHaveRun},
	PeerRejected:         {http.StatusBadGateway, types.NotRun},
	InvalidChart:         {http.StatusInternalServerError, types.NotRun},
	InvalidTransition:    {http.StatusInternalServerError, types.MayHaveRun},
	CheckFailed:          {http.StatusInternalServerError, types.NotRun},
	Internal:             {http.StatusInternalServerError, types.MayHaveRun},
}

// describe returns the table row of the code, or Internal's for an unknown one.
func (c Code) describe() description {
	if d, ok := table[c]; ok {
		return d
	}
	return table[Internal]
}

// Status returns the HTTP status with which the failure reaches a caller.
func (c Code) Status() int { return c.describe().status }

// Known reports whether the code is in the table.
func (c Code) Known() bool {
	_, ok := table[c]
	return ok
}

// Codes returns every code of the table in alphabetical order.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}
