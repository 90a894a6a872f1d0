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
const maxRefusalBytes = 16 << 10

// leavingCode is the error code with which an upstream says that it is leaving.
const leavingCode = "leaving"

// refusalOf returns the failure that an engine's status stands for, or nil when
// the response is an answer. Plain services' responses are answers, but for 503.
func refusalOf(response *http.Response, engine bool) error {
	status := response.StatusCode
	if status == http.StatusServiceUnavailable || (engine && status == http.StatusTooManyRequests) {
		return busy(response)
	}
	if engine && status >= http.StatusInternalServerError {
		failure := fault.New(fault.UpstreamFailed, "the engine answered with status "+strconv.Itoa(status))
		return failure.WithRunState(types.Ran)
	}
	return nil
}

func busy(response *http.Response) error {
	if refusalCode(response.Body) == leavingCode {
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
func refusalCode(body io.Reader) string {
	var decoded struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(io.LimitReader(body, maxRefusalBytes)).Decode(&decoded) != nil {
		return ""
	}
	return decoded.Error.Code
}
