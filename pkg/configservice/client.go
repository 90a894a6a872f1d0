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
	// maxAnswerBytes bounds one answer of the service.
	maxAnswerBytes = 4 << 20
	// readTimeout bounds a read that does not wait.
	readTimeout = 5 * time.Second
	// waitMargin is how much longer than its wait a waiting read may take.
	waitMargin = 5 * time.Second
	// idleConnections is the number of connections that are kept for reuse; a
	// fresh instance reads that many parts at once.
	idleConnections = 8
)

// Client reads the service over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the service at baseURL, such as
// http://127.0.0.1:7000. An httpClient without a transport gets one that keeps
// enough connections for the reads of a fresh instance.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	own := *httpClient
	if own.Transport == nil {
		own.Transport = newTransport()
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: &own}
}

// newTransport returns the standard transport with more idle connections.
func newTransport() http.RoundTripper {
	standard, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport
	}
	transport := standard.Clone()
	transport.MaxIdleConnsPerHost = idleConnections
	return transport
}

// WaitManifest implements Source.
func (c *Client) WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (Manifest, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	var manifest Manifest
	err := c.getJSON(ctx, "/v1/manifest?"+query.Encode(), &manifest)
	return manifest, err
}

// Part implements Source. It refuses bytes that do not have the digest.
func (c *Client) Part(ctx context.Context, ref PartRef) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	part, err := c.get(ctx, "/v1/parts/"+url.PathEscape(string(ref.Digest)))
	if err != nil {
		return nil, err
	}
	if DigestOf(part) != ref.Digest {
		return nil, fault.New(fault.MissingPart, fmt.Sprintf("part %s: the bytes do not have the digest %s", ref.Name, ref.Digest))
	}
	return part, nil
}

// Instances implements Source.
func (c *Client) Instances(ctx context.Context) ([]types.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var instances []types.Instance
	err := c.getJSON(ctx, "/v1/instances", &instances)
	return instances, err
}

// getJSON reads and decodes one answer.
func (c *Client) getJSON(ctx context.Context, path string, result any) error {
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "decode "+path)
	}
	return nil
}

// get reads one answer whole.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "read "+path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "read "+path)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "read "+path)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, fault.New(fault.MissingPart, path+" is not published")
	}
	if response.StatusCode != http.StatusOK || len(body) > maxAnswerBytes {
		return nil, fault.New(fault.PlatformUnavailable, fmt.Sprintf("read %s: status %d, %d bytes", path, response.StatusCode, len(body)))
	}
	return body, nil
}
