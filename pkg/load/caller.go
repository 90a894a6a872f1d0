package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Limits of one request.
const (
	// maxTries is the maximum number of tries of one request.
	maxTries = 4
	// minDeadlineMargin is the minimum time that a caller waits beyond the deadline.
	minDeadlineMargin = 2 * time.Second
	// maxBodyBytes limits the body of a response.
	maxBodyBytes = 4 << 20
)

// Headers of requests and responses.
const (
	keyHeader   = "Idempotency-Key"
	classHeader = "X-Umbercrank-Class"
)

// caller simulates one client process.
type caller struct {
	client    *http.Client
	addresses *addressBook
	ledger    *keyLedger
}

// send sends one request, with retries, and returns its outcome.
func (c *caller) send(ctx context.Context, a arrival) *outcome {
	deadline := a.kind.Targets.Deadline.Duration()
	ctx, cancel := context.WithTimeout(ctx, deadline+max(deadline/2, minDeadlineMargin))
	defer cancel()
	o := &outcome{kind: a.kind, account: a.account.ID, result: Broken}
	started := time.Now()
	if a.kind.Chat != nil {
		c.sendChat(ctx, a, o, started)
	} else {
		c.sendCall(ctx, a, o, started)
	}
	o.totalLatency = time.Since(started)
	return o
}

const (
	// minServiceHeaderTimeout and minStreamHeaderTimeout are the minimum times to
	// wait for the response headers before trying another address.
	minServiceHeaderTimeout = time.Second
	minStreamHeaderTimeout  = 2 * time.Second
	// firstTokenTimeoutFactor is the header timeout of a stream as a multiple of
	// its first token target.
	firstTokenTimeoutFactor = 4
)

// headerTimeout returns the maximum time that a try of the kind waits for the
// response headers. Zero means that only the deadline limits the wait.
func (k *Kind) headerTimeout() time.Duration {
	switch {
	case k.Service != nil:
		return max(k.Targets.Deadline.Duration()/2, minServiceHeaderTimeout)
	case k.Chat.Stream && k.Targets.FirstToken > 0:
		return max(firstTokenTimeoutFactor*k.Targets.FirstToken.Duration(), minStreamHeaderTimeout)
	default:
		return 0
	}
}

// do sends one try and waits for the response headers, at most for headerTimeout
// if it is not zero. The caller must call the returned function when it is done
// with the response.
func (c *caller) do(request *http.Request, headerTimeout time.Duration) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(request.Context())
	if headerTimeout > 0 {
		timer := time.AfterFunc(headerTimeout, cancel)
		defer timer.Stop()
	}
	response, err := c.client.Do(request.WithContext(ctx))
	return response, cancel, err
}

// shouldTryOtherInstance reports whether the error means that the instance is
// leaving or not ready, so that another instance may serve the request.
func shouldTryOtherInstance(failure *fault.Error) bool {
	return failure.Code == fault.Leaving || failure.Code == fault.NotReady
}

// newRequest returns the HTTP request for an arrival.
func newRequest(ctx context.Context, a arrival, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "invalid URL "+url)
	}
	request.Header.Set("Authorization", "Bearer "+a.account.key())
	request.Header.Set("Content-Type", "application/json")
	for name, value := range a.kind.Headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

// key returns the API key of the account. If the profile has none, it is the key
// used by the example configurations.
func (a Account) key() string {
	if a.Key != "" {
		return a.Key
	}
	return "demo-key-" + string(a.ID)
}

// readFailure returns the typed error in the body of an error response. It returns
// false if the body contains no typed error.
func readFailure(response *http.Response) (*fault.Error, bool) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, false
	}
	return parseFailure(text)
}

func parseFailure(text []byte) (*fault.Error, bool) {
	var body fault.Response
	if json.Unmarshal(text, &body) != nil || body.Error.Code == "" {
		return nil, false
	}
	return fault.FromResponse(body), true
}

// recordClass records the class that the response header reports.
func (o *outcome) recordClass(response *http.Response) {
	o.class = types.ClassName(response.Header.Get(classHeader))
}
