package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// LoadReader reads the load reports of upstreams. Implementations are safe for
// concurrent use.
type LoadReader interface {
	// Load returns the upstream's own report. The failure has code NoUpstream
	// when nothing listens there, NotFound when the upstream has no report to
	// give, and UpstreamFailed otherwise.
	Load(ctx context.Context, upstream config.Upstream) (LoadReport, error)
}

// LoadReport is the JSON body of an upstream's GET /load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the key-value cache in use, in tokens; engines only.
	KVUsed  int  `json:"kv_used"`
	Leaving bool `json:"leaving"`
	// AgeMilliseconds is how old the report is.
	AgeMilliseconds int64 `json:"age_ms"`
}

// age returns how old the report is.
func (r LoadReport) age() time.Duration {
	return time.Duration(r.AgeMilliseconds) * time.Millisecond
}

// maxReportBytes bounds the body of a load report.
const maxReportBytes = 64 << 10

// httpLoads reads load reports over HTTP.
type httpLoads struct{ client *http.Client }

func newHTTPLoads() *httpLoads {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	return &httpLoads{client: &http.Client{Transport: transport}}
}

// Load asks the upstream for its report.
func (l *httpLoads) Load(ctx context.Context, upstream config.Upstream) (LoadReport, error) {
	var report LoadReport
	url := strings.TrimSuffix(upstream.URL, "/") + "/load"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report, fault.Wrap(fault.UpstreamFailed, err, "the upstream's URL is malformed")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return report, unreadable(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fault.New(fault.NotFound, "the upstream reports no load: "+response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, fault.Wrap(fault.UpstreamFailed, err, "the upstream's load report is malformed")
	}
	return report, nil
}

// unreadable tells an upstream at which nothing listens from one that did not
// answer in time.
func unreadable(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fault.Wrap(fault.NoUpstream, err, "nothing listens at the upstream")
	}
	return fault.Wrap(fault.UpstreamFailed, err, "the upstream's load cannot be read")
}
