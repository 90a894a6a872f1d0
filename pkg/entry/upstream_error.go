package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxRefusalBytes bounds what is read of an upstream's error body.
const maxErrorBodyBytes = 16 << 10

// leavingCode is the error code with which an upstream says that it is leaving.
const errorCodeLeaving = "leaving"

// refusalOf returns the failure that an engine's status stands for, or nil when
// the response is an answer. Plain services' responses are answers, but for 503.
func upstreamFailure(response *http.Response, fromEngine bool) error {
	status := response.StatusCode
	if status == http.StatusServiceUnavailable || (fromEngine && status == http.StatusTooManyRequests) {
		return busyFailure(response)
	}
	if fromEngine && status >= http.StatusInternalServerError {
		failure := fault.New(fault.UpstreamFailed, "the engine answered with status "+strconv.Itoa(status))
		return failure.WithRunState(types.Ran)
	}
	return nil
}

func busyFailure(response *http.Response) error {
	if errorCode(response.Body) == errorCodeLeaving {
		return fault.New(fault.UpstreamLeaving, "the upstream is leaving")
	}
	failure := fault.New(fault.Overloaded, "the upstream is full")
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return failure
	}
	return failure.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// refusalCode returns the code of an error body in the OpenAI form, or "".
func errorCode(body io.Reader) string {
	var decoded struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(io.LimitReader(body, maxErrorBodyBytes)).Decode(&decoded) != nil {
		return ""
	}
	return decoded.Error.Code
}
