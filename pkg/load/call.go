package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/standin/service"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// sendCall sends a service call until a try has a final outcome, at most maxTries
// times. If the call is not repeatable, all tries use the same idempotency key,
// except that a try after the run state not_run uses a new key.
func (c *caller) sendCall(ctx context.Context, a arrival, o *outcome, started time.Time) {
	key := ""
	for o.tries < maxTries && ctx.Err() == nil {
		at, err := c.addresses.pick(ctx)
		if err != nil {
			return
		}
		if key == "" && !a.kind.Service.Repeatable {
			if key, err = c.newKey(ctx, a, at); err != nil {
				c.addresses.markFailed(at.Address)
				o.startTry()
				continue
			}
		}
		if c.tryCall(ctx, a, at.Address, key, o, started) {
			return
		}
		if o.runState == types.NotRun {
			key = ""
		}
		c.addresses.markFailed(at.Address)
	}
}

// newKey returns a new idempotency key. Its prefix selects the instance at the
// address as the executor.
func (c *caller) newKey(ctx context.Context, a arrival, at directory.Address) (string, error) {
	incarnation, window, err := keyPrefix(ctx, c.client, at)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s.%s.%s-%d", incarnation, window, a.account.ID, a.number), nil
}

// tryCall sends one try and reports whether its outcome is final.
func (c *caller) tryCall(ctx context.Context, a arrival, to, key string, o *outcome, started time.Time) bool {
	call := a.kind.Service
	url := "http://" + to + "/v1/services/" + call.Name + a.path
	request, err := newRequest(ctx, a, call.Method, url, []byte(a.body))
	if err != nil {
		return true
	}
	if key != "" {
		request.Header.Set(keyHeader, key)
	}
	o.startTry()
	sent := time.Now()
	response, cancel, err := c.do(request, a.kind.headerTimeout())
	defer cancel()
	if err != nil {
		c.ledger.record(key, "")
		return false
	}
	defer response.Body.Close()
	o.recordClass(response)
	if response.StatusCode != http.StatusOK {
		final := handleFailure(response, o, sent)
		c.ledger.record(key, o.runState)
		return final
	}
	var got service.Result
	if json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&got) != nil {
		c.ledger.record(key, "")
		return false
	}
	c.ledger.record(key, types.Ran)
	o.firstTokenLatency = time.Since(started)
	o.checkCallAnswer(a, key, got)
	return true
}

// checkCallAnswer compares the answer with the call and sets the result.
func (o *outcome) checkCallAnswer(a arrival, key string, got service.Result) {
	call := a.kind.Service
	switch {
	case got.Echo != a.body || got.Method != call.Method || got.Path != a.path || key != "" && got.Key != key:
		o.result = Wrong
		o.detail = fmt.Sprintf("got the answer %+v to %s %q", got, a.path, a.body)
	case key != "" && got.Execution > 1:
		o.result = Doubled
		o.detail = fmt.Sprintf("execution %d of key %s", got.Execution, key)
	default:
		o.result = Answered
	}
}
