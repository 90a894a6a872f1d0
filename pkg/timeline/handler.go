package timeline

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Path and query parameters of the handler.
const (
	Path              = "/debug/timeline"
	AfterWallParam    = "after_wall"
	AfterLogicalParam = "after_logical"
)

// Response is the JSON body of the handler's response.
type Response struct {
	Instance types.InstanceID `json:"instance"`
	Events   []Event          `json:"events"`
}

// Handler serves the ring's events as a Response. If the query parameters
// after_wall and after_logical are given, only events with a later stamp are
// included.
func (r *Ring) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		after, err := parseAfter(request.URL.Query())
		if err != nil {
			// A write error means that the connection is broken.
			_ = err.WriteTo(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Response{Instance: r.instance, Events: r.Events(after)})
	})
}

func parseAfter(query url.Values) (Stamp, *fault.Error) {
	var after Stamp
	if text := query.Get(AfterWallParam); text != "" {
		wall, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Stamp{}, fault.Wrap(fault.BadRequest, err, "after_wall must be an integer number of nanoseconds")
		}
		after.Wall = wall
	}
	if text := query.Get(AfterLogicalParam); text != "" {
		logical, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return Stamp{}, fault.Wrap(fault.BadRequest, err, "after_logical must be an unsigned 32-bit integer")
		}
		after.Logical = uint32(logical)
	}
	return after, nil
}
