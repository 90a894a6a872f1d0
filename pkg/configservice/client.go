package configservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 4 << 20
	// readTimeout is the timeout of requests other than WaitManifest.
	readTimeout = 5 * time.Second
	// waitMargin is added to the wait of WaitManifest to give its timeout.
	waitMargin = 5 * time.Second
	// maxIdleConnections is the number of idle connections kept for reuse. A newly
	// started instance reads that many parts concurrently.
	maxIdleConnections = 8
)

// Client implements Source over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the service at baseURL, such as
// http://127.0.0.1:7000. It uses a copy of httpClient. If httpClient has no
// transport, the copy gets one that keeps enough idle connections for the reads
// of a newly started instance.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	client := *httpClient
	if client.Transport == nil {
		client.Transport = newTransport()
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: &client}
}

// newTransport returns a copy of the default transport that keeps more idle
// connections.
func newTransport() http.RoundTripper {
	defaultTransport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport
	}
	transport := defaultTransport.Clone()
	transport.MaxIdleConnsPerHost = maxIdleConnections
	return transport
}

// WaitManifest implements Source.
func (c *Client) WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (Manifest, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after.Number(), 10))
	if era := after.Era(); era > 0 {
		query.Set("era", strconv.FormatUint(era, 10))
	}
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	var published PublishedManifest
	if err := c.getJSON(ctx, "/v1/manifest?"+query.Encode(), &published); err != nil {
		return Manifest{}, err
	}
	return published.manifest()
}

// Part implements Source. It returns an error if the bytes do not match the
// digest.
func (c *Client) Part(ctx context.Context, ref PartRef) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	part, err := c.get(ctx, "/v1/parts/"+url.PathEscape(string(ref.Digest)))
	if err != nil {
		return nil, err
	}
	if DigestOf(part) != ref.Digest {
		return nil, fault.New(fault.MissingPart, "the content does not match digest "+string(ref.Digest))
	}
	return part, nil
}

// Instances implements Source. An item that cannot be read, or that has no ID or peer address, names no instance;
// the others hold.
func (c *Client) Instances(ctx context.Context) ([]types.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var items []json.RawMessage
	if err := c.getJSON(ctx, "/v1/instances", &items); err != nil {
		return nil, err
	}
	instances := make([]types.Instance, 0, len(items))
	for _, item := range items {
		var instance types.Instance
		if json.Unmarshal(item, &instance) == nil && instance.ID != "" && instance.PeerAddress != "" {
			instances = append(instances, instance)
		}
	}
	return instances, nil
}

// getJSON sends a GET request and decodes the JSON response body into result.
func (c *Client) getJSON(ctx context.Context, path string, result any) error {
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "malformed response from "+path)
	}
	return nil
}

// get sends a GET request and returns the response body.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "cannot read "+path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "cannot read "+path)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "cannot read "+path)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, fault.New(fault.MissingPart, path+" is not published")
	}
	if response.StatusCode != http.StatusOK || len(body) > maxResponseBytes {
		return nil, fault.New(fault.PlatformUnavailable, fmt.Sprintf("cannot read %s: status %d, %d bytes", path, response.StatusCode, len(body)))
	}
	return body, nil
}
