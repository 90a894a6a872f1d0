package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
)

// LoadReader reads the load reports of upstreams. Implementations are safe for
// concurrent use.
type LoadReader interface {
	// Load returns the upstream's load report. The error has the code
	// NoUpstream if the connection is refused, NotFound if the upstream
	// provides no report, and UpstreamFailed otherwise.
	Load(ctx context.Context, upstream config.Upstream) (LoadReport, error)
}

// LoadReport is the JSON body of an upstream's GET /load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the size of the key-value cache in use, in tokens. Only engines
	// report it.
	KVUsed  int  `json:"kv_used"`
	Leaving bool `json:"leaving"`
	// AgeMilliseconds is the age of the report.
	AgeMilliseconds int64 `json:"age_ms"`
	// MaxRequestsPerSecond is the request rate that the upstream accepts from all
	// entries together. A report without it ends an earlier limit.
	MaxRequestsPerSecond json.RawMessage `json:"max_requests_per_second,omitempty"`
}

// maxReportedLimit is the highest request rate, per second, that counts as a limit.
const maxReportedLimit = 1e6

// limit returns the limit in the report, or an error if it is not a request rate.
func (r LoadReport) limit() (permit.Limit, error) {
	if r.MaxRequestsPerSecond == nil {
		return permit.Limit{}, nil
	}
	var perSecond float64
	if err := json.Unmarshal(r.MaxRequestsPerSecond, &perSecond); err != nil {
		return permit.Limit{}, fault.Wrap(fault.UpstreamFailed, err, "the limit in the load report is not a number")
	}
	if perSecond < 0 || perSecond > maxReportedLimit {
		return permit.Limit{}, fault.New(fault.UpstreamFailed, "the limit in the load report is not between 0 and 1000000 requests per second")
	}
	return permit.Limit{PerSecond: perSecond, Limited: true}, nil
}

// age returns the age of the report.
func (r LoadReport) age() time.Duration {
	return time.Duration(r.AgeMilliseconds) * time.Millisecond
}

const (
	// maxReportBytes limits the size of a load report, and maxReportHeaderBytes that of its header: a
	// parsed field takes many times the memory of a short line.
	maxReportBytes       = 64 << 10
	maxReportHeaderBytes = 4 << 10
)

// httpLoadReader reads load reports over HTTP.
type httpLoadReader struct{ client *http.Client }

// NewHTTPLoadReader returns a LoadReader that connects to upstreams with dial, or directly if
// that is nil.
func NewHTTPLoadReader(dial func(ctx context.Context, network, address string) (net.Conn, error)) LoadReader {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxReportHeaderBytes, DialContext: dial}
	return &httpLoadReader{client: &http.Client{Transport: transport}}
}

// Load requests the upstream's load report.
func (l *httpLoadReader) Load(ctx context.Context, upstream config.Upstream) (LoadReport, error) {
	var report LoadReport
	url := strings.TrimSuffix(upstream.URL, "/") + "/load"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report, fault.Wrap(fault.UpstreamFailed, err, "the URL of the upstream is malformed")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return report, classifyLoadError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fault.New(fault.NotFound, "the upstream provides no load report: "+response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, fault.Wrap(fault.UpstreamFailed, err, "the load report of the upstream is malformed")
	}
	return report, nil
}

// classifyLoadError distinguishes a refused connection from other failures,
// such as timeouts.
func classifyLoadError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fault.Wrap(fault.NoUpstream, err, "the upstream refused the connection")
	}
	return fault.Wrap(fault.UpstreamFailed, err, "the load report of the upstream cannot be read")
}
