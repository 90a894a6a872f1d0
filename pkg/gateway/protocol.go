package gateway

import (
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID types.RequestID
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller waits, or zero if it is not given.
	Timeout time.Duration
	// LastEvent is the ID of the event after which a stream is resumed, or empty.
	LastEvent string
	// Resumes is the ID of the caller's earlier request that received the first event
	// of the stream that this one resumes, or empty.
	Resumes types.RequestID
	// Upstream is the upstream that the sender expects to run the request, or empty. Only an
	// instance names one.
	Upstream types.UpstreamID
	// Segments, PromptTokens and OutputTokens describe the size of a model request.
	Segments     []placement.PromptSegment
	PromptTokens int
	OutputTokens int
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share:
// all but the last.
func (i *RequestInfo) sharedParts() []string {
	return roster.SharedSegments(i.Segments)
}

// partID returns the ID of the shared part with the fingerprint, or "" if there is none.
func (i *RequestInfo) partID(fingerprint quarantine.Fingerprint) string {
	for _, id := range i.sharedParts() {
		if quarantine.FingerprintOfPart(id) == fingerprint {
			return id
		}
	}
	return ""
}

// ForwardOptions is the information that an upstream receives in addition to the
// caller's headers.
type ForwardOptions struct {
	Upstream  types.UpstreamID
	Account   types.AccountID
	Priority  int
	Remaining time.Duration
	// LastEvent is the ID of the event after which the stream is resumed. If it is
	// empty, the caller's header is kept.
	LastEvent string
}

// ResponseInfo is the information in the headers of an upstream's response.
type ResponseInfo struct {
	ID types.RequestID
	// Sealed reports whether the response was produced by an upstream itself.
	Sealed bool
	// NotRun reports whether the upstream declared that it did not run the request.
	NotRun bool
	// Refusal reports whether the status promises a caller that the request has not run.
	Refusal bool
	// Pause is the time for which an upstream that turned the request away wants none from
	// this instance, or zero. InvalidPause is the text of a time that cannot be used.
	Pause        time.Duration
	InvalidPause string
	// Leaving reports whether the upstream says that it leaves. InvalidLeaving is the text of
	// such a statement that cannot be used.
	Leaving        bool
	InvalidLeaving string
	// Brittle is how many requests the upstream may turn away in a second before it falls over, or
	// zero if it does not say that it is brittle. InvalidBrittle is the text of a number that cannot
	// be used.
	Brittle        int
	InvalidBrittle string
	// Encoded reports whether the body has a content coding, so that it is not as the
	// upstream produced it.
	Encoded bool
	// Limit is the request rate that the upstream accepts from the whole fleet, or nil
	// if it names none. InvalidLimit is the text of a limit that cannot be used.
	Limit        *permit.Limit
	InvalidLimit string
}

// Protocol translates between HTTP headers and the types of this package.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// RequestHeader returns the header of the request to the upstream.
	RequestHeader(caller http.Header, options ForwardOptions) http.Header
	// ParseResponse reads the header of an upstream's response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// ResponseHeader returns the header of the response to the caller.
	ResponseHeader(upstream http.Header) http.Header
	// WriteError writes the response for a failure.
	WriteError(w http.ResponseWriter, id types.RequestID, failure *fault.Error)
}
