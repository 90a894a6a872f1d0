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

// sendCall tries a service call until there is an answer or a final refusal. A
// call that is not repeatable keeps its key for every further try, unless it was
// refused as not run.
func (c *caller) sendCall(ctx context.Context, a arrival, o *outcome, started time.Time) {
	key := ""
	for o.tries < maxTries && ctx.Err() == nil {
		at, err := c.book.pick(ctx)
		if err != nil {
			return
		}
		if key == "" && !a.kind.Service.Repeatable {
			if key, err = c.newKey(ctx, a, at); err != nil {
				c.book.fail(at.Address)
				o.begin()
				continue
			}
		}
		if c.tryCall(ctx, a, at.Address, key, o, started) {
			return
		}
		if o.runState == types.NotRun {
			key = ""
		}
		c.book.fail(at.Address)
	}
}

// newKey returns a fresh idempotency key whose executor is the address.
func (c *caller) newKey(ctx context.Context, a arrival, at directory.Address) (string, error) {
	incarnation, window, err := keyPrefix(ctx, c.client, at)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s.%s.%s-%d", incarnation, window, a.account.ID, a.number), nil
}

// tryCall makes one try and reports whether the outcome is final.
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
	o.begin()
	sent := time.Now()
	response, cancel, err := c.do(request, a.kind.patience())
	defer cancel()
	if err != nil {
		c.ledger.tried(key, "")
		return false
	}
	defer response.Body.Close()
	o.note(response)
	if response.StatusCode != http.StatusOK {
		final := takeFailure(response, o, sent)
		c.ledger.tried(key, o.runState)
		return final
	}
	var got service.Result
	if json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&got) != nil {
		c.ledger.tried(key, "")
		return false
	}
	c.ledger.tried(key, types.Ran)
	o.firstToken = time.Since(started)
	o.judgeCall(a, key, got)
	return true
}

// judgeCall compares the answer with the call.
func (o *outcome) judgeCall(a arrival, key string, got service.Result) {
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
