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
	// maxTries bounds the tries of one request.
	maxTries = 4
	// minPatience is the least time that a caller waits beyond the deadline.
	minPatience = 2 * time.Second
	// maxBodyBytes bounds an answer.
	maxBodyBytes = 4 << 20
)

// The headers that the router and its callers use.
const (
	keyHeader   = "Idempotency-Key"
	classHeader = "X-Umbercrank-Class"
)

// caller sends requests as one client process would.
type caller struct {
	client *http.Client
	book   *addressBook
	ledger *ledger
}

// send carries out one request, with the tries that a caller may make.
func (c *caller) send(ctx context.Context, a arrival) *outcome {
	deadline := a.kind.Targets.Deadline.Duration()
	ctx, cancel := context.WithTimeout(ctx, deadline+max(deadline/2, minPatience))
	defer cancel()
	o := &outcome{kind: a.kind, account: a.account.ID, result: Broken}
	started := time.Now()
	if a.kind.Chat != nil {
		c.sendChat(ctx, a, o, started)
	} else {
		c.sendCall(ctx, a, o, started)
	}
	o.total = time.Since(started)
	return o
}

const (
	// minBeginService and minBeginStream are the least times that a caller waits
	// for an answer to begin before it tries another address.
	minBeginService = time.Second
	minBeginStream  = 2 * time.Second
	// firstTokenFactor is how often the target of the first token a caller waits.
	firstTokenFactor = 4
)

// patience returns how long a try of the kind waits for its answer to begin, or
// zero when only the deadline tells that nothing will come.
func (k *Kind) patience() time.Duration {
	switch {
	case k.Service != nil:
		return max(k.Targets.Deadline.Duration()/2, minBeginService)
	case k.Chat.Stream && k.Targets.FirstToken > 0:
		return max(firstTokenFactor*k.Targets.FirstToken.Duration(), minBeginStream)
	default:
		return 0
	}
}

// do sends one try and waits for its answer to begin, at most as long as the
// patience of the kind. The caller must call the returned function at the end.
func (c *caller) do(request *http.Request, patience time.Duration) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(request.Context())
	if patience > 0 {
		timer := time.AfterFunc(patience, cancel)
		defer timer.Stop()
	}
	response, err := c.client.Do(request.WithContext(ctx))
	return response, cancel, err
}

// elsewhere reports whether a refusal means that another instance serves.
func elsewhere(failure *fault.Error) bool {
	return failure.Code == fault.Leaving || failure.Code == fault.NotReady
}

// newRequest returns the HTTP request of an arrival to an address.
func newRequest(ctx context.Context, a arrival, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "bad address "+url)
	}
	request.Header.Set("Authorization", "Bearer "+a.account.key())
	request.Header.Set("Content-Type", "application/json")
	for name, value := range a.kind.Headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

// key returns the API key, which is that of the example configurations when the
// profile has none.
func (a Account) key() string {
	if a.Key != "" {
		return a.Key
	}
	return "demo-key-" + string(a.ID)
}

// readFailure returns the typed failure of an answer that is no success. It
// reports false when the body is not typed.
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

// note keeps what the headers of an answer tell.
func (o *outcome) note(response *http.Response) {
	o.class = types.ClassName(response.Header.Get(classHeader))
}
