package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/headervalue"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxErrorBodyBytes is the maximum number of bytes read of an upstream's error body.
const maxErrorBodyBytes = 16 << 10

// errorCodeLeaving is the error code of an upstream that is leaving.
const errorCodeLeaving = "leaving"

// upstreamFailure returns the failure for the status of the response, or nil if the
// response is an answer. Every response of a plain service except 503 is an answer.
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
	pause, _ := headervalue.Pause(response.Header["Retry-After"])
	return fault.New(fault.Overloaded, "the upstream is full").WithRetryAfter(pause)
}

// errorCode returns the error code of a body in the OpenAI format, or "".
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
