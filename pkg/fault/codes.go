package fault

import (
	"net/http"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Error codes, in the order of the documentation.
const (
	// BadRequest: the request is malformed.
	BadRequest Code = "bad_request"
	// BodyTooLarge: the body exceeds the configured size.
	BodyTooLarge Code = "body_too_large"
	// HeaderTooLarge: the request header exceeds the configured size.
	HeaderTooLarge Code = "header_too_large"
	// Unauthorized: the API key is missing or unknown.
	Unauthorized Code = "unauthorized"
	// UnknownModel: no rule selects a target that serves the model.
	UnknownModel Code = "unknown_model"
	// UnknownService: no target provides the service.
	UnknownService Code = "unknown_service"
	// NoRuleMatches: no rule matches the request.
	NoRuleMatches Code = "no_rule_matches"
	// AccountLimit: the client account exceeds one of its limits.
	AccountLimit Code = "account_limit"
	// Overloaded: the queue is full and no request of a lower tier could be shed, this
	// instance has reached one of its limits, or the upstream is full.
	Overloaded Code = "overloaded"
	// DeadlineUnreachable: the request has not started and can no longer meet its
	// latency target or deadline.
	DeadlineUnreachable Code = "deadline_unreachable"
	// DeadlineExceeded: the deadline passed before the answer was complete.
	DeadlineExceeded Code = "deadline_exceeded"
	// NoUpstream: no upstream of the target is available.
	NoUpstream Code = "no_upstream"
	// PathLost: neither this instance nor a peer that it asked reaches the upstreams of the
	// target.
	PathLost Code = "path_lost"
	// UpstreamPaused: the upstreams that may run the request have asked this instance to send
	// nothing for a while.
	UpstreamPaused Code = "upstream_paused"
	// UpstreamLimited: the upstreams that may run the request limit their request rate,
	// and the limits are used up.
	UpstreamLimited Code = "upstream_limited"
	// UpstreamEvacuated: the upstreams that may run the request are all in data centres that
	// the operator has evacuated.
	UpstreamEvacuated Code = "upstream_evacuated"
	// CannotResume: no upstream may continue the stream, because the software version
	// that began it is unknown or has no upstream.
	CannotResume Code = "cannot_resume"
	// UpstreamFailed: the upstream failed and no retry was allowed or left.
	UpstreamFailed Code = "upstream_failed"
	// AnswerTooLarge: the upstream's answer exceeds the configured size.
	AnswerTooLarge Code = "answer_too_large"
	// AnswerUnframed: the upstream's answer has no framing that marks its end, so a
	// truncated answer cannot be detected.
	AnswerUnframed Code = "answer_unframed"
	// UpstreamLeaving: the upstream refuses new requests because it is leaving.
	UpstreamLeaving Code = "upstream_leaving"
	// Preempted: a request of a higher tier preempted this one, and it could not
	// resume.
	Preempted Code = "preempted"
	// Quarantined: the request is condemned because upstreams crashed while they ran
	// it.
	Quarantined Code = "quarantined"
	// KeyRequired: a request that is not repeatable has no idempotency key.
	KeyRequired Code = "key_required"
	// KeyInvalid: the idempotency key does not name an executor and a window.
	KeyInvalid Code = "key_invalid"
	// KeyExpired: the key's window has closed.
	KeyExpired Code = "key_expired"
	// KeyReused: the key was already used for a different request.
	KeyReused Code = "key_reused"
	// OutcomeUnknown: the outcome of the request with this key is not available.
	OutcomeUnknown Code = "outcome_unknown"
	// LeaseExpired: the lease of the grant expired before the upstream was called.
	LeaseExpired Code = "lease_expired"
	// Misdirected: another instance has sent the request to this one as if it were an upstream.
	Misdirected Code = "misdirected"
	// Leaving: this instance is shutting down; callers are to use another address.
	Leaving Code = "leaving"
	// NotReady: this instance has no configuration yet.
	NotReady Code = "not_ready"
	// UnknownRequest: this instance has no request with the given ID.
	UnknownRequest Code = "unknown_request"
	// NotFound: no resource exists at the path.
	NotFound Code = "not_found"
	// InstanceLate: a timeout passed while this instance was late with its own work.
	InstanceLate Code = "instance_late"
	// CallerGone: the caller disconnected.
	CallerGone Code = "caller_gone"
	// InvalidSetting: a flag or environment variable has an invalid value.
	InvalidSetting Code = "invalid_setting"
	// InvalidConfiguration: a configuration document fails validation.
	InvalidConfiguration Code = "invalid_configuration"
	// StaleRevision: a document is older than the current one.
	StaleRevision Code = "stale_revision"
	// ConflictingRevision: a different document of the same revision takes precedence.
	ConflictingRevision Code = "conflicting_revision"
	// MissingPart: a part of a document could not be fetched.
	MissingPart Code = "missing_part"
	// HistoryCompacted: the configuration service no longer has the changes that a watch
	// asked for, so the collection must be read again.
	HistoryCompacted Code = "history_compacted"
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
	// CheckFailed: a check run by an operator found a violation.
	CheckFailed Code = "check_failed"
	// Internal: an internal error of the router.
	Internal Code = "internal"
)

// codeInfo is the HTTP status and the default run state of a code.
type codeInfo struct {
	status   int
	runState types.RunState
}

var codeTable = map[Code]codeInfo{
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
	PathLost:             {http.StatusServiceUnavailable, types.NotRun},
	UpstreamPaused:       {http.StatusServiceUnavailable, types.NotRun},
	UpstreamLimited:      {http.StatusServiceUnavailable, types.NotRun},
	UpstreamEvacuated:    {http.StatusServiceUnavailable, types.NotRun},
	CannotResume:         {http.StatusServiceUnavailable, types.NotRun},
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
	Misdirected:          {http.StatusMisdirectedRequest, types.NotRun},
	Leaving:              {http.StatusServiceUnavailable, types.NotRun},
	NotReady:             {http.StatusServiceUnavailable, types.NotRun},
	UnknownRequest:       {http.StatusNotFound, types.NotRun},
	NotFound:             {http.StatusNotFound, types.NotRun},
	InstanceLate:         {http.StatusServiceUnavailable, types.NotRun},
	CallerGone:           {499, types.MayHaveRun},
	InvalidSetting:       {http.StatusInternalServerError, types.NotRun},
	InvalidConfiguration: {http.StatusInternalServerError, types.NotRun},
	StaleRevision:        {http.StatusConflict, types.NotRun},
	ConflictingRevision:  {http.StatusConflict, types.NotRun},
	MissingPart:          {http.StatusInternalServerError, types.NotRun},
	HistoryCompacted:     {http.StatusGone, types.NotRun},
	PlatformUnavailable:  {http.StatusServiceUnavailable, types.NotRun},
	PeerUnavailable:      {http.StatusServiceUnavailable, types.MayHaveRun},
	PeerRejected:         {http.StatusBadGateway, types.NotRun},
	InvalidChart:         {http.StatusInternalServerError, types.NotRun},
	InvalidTransition:    {http.StatusInternalServerError, types.MayHaveRun},
	CheckFailed:          {http.StatusInternalServerError, types.NotRun},
	Internal:             {http.StatusInternalServerError, types.MayHaveRun},
}

// info returns the table entry of the code, or that of Internal for an unknown
// code.
func (c Code) info() codeInfo {
	if d, ok := codeTable[c]; ok {
		return d
	}
	return codeTable[Internal]
}

// Status returns the HTTP status sent to the caller.
func (c Code) Status() int { return c.info().status }

// Known reports whether the code is defined.
func (c Code) Known() bool {
	_, ok := codeTable[c]
	return ok
}

// Codes returns all codes in alphabetical order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeTable))
	for c := range codeTable {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}
