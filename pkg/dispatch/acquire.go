package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Acquire waits until the request may start on an upstream of the target; see
// search for the order in which it asks the pools.
func (d *Dispatch) Acquire(ctx context.Context, target types.TargetName, request pool.Request) (Grant, error) {
	if d.ctx.Err() != nil {
		return nil, fault.New(fault.Leaving, "the instance has stopped dispatching")
	}
	if d.invalid != nil {
		return nil, d.invalid
	}
	if d.options.Store.Current() == nil {
		return nil, fault.New(fault.NotReady, "no configuration is in force yet")
	}
	request.Entry = d.options.Incarnation
	ctx, cancel := context.WithTimeout(ctx, request.DeadlineIn)
	defer cancel()
	return newSearch(d, target, request).run(ctx)
}

// passesOn reports whether a refusal of the code leaves hope in another pool.
func passesOn(code fault.Code) bool {
	switch code {
	case fault.Overloaded, fault.NoUpstream, fault.DeadlineUnreachable:
		return true
	}
	return false
}

// worse returns the refusal to report of two: a pool that is full says more
// than one without upstreams, and the earlier time to come back counts.
func worse(first, second *fault.Error) *fault.Error {
	if first == nil {
		return second
	}
	if first.Code == fault.NoUpstream {
		return second
	}
	if second.RetryAfter > 0 && second.RetryAfter < first.RetryAfter {
		return first.WithRetryAfter(second.RetryAfter)
	}
	return first
}

// acquire offers the request to one pool until it is granted, refused, or ctx
// ends.
func (e *entrySide) acquire(ctx context.Context, id types.PoolID, request pool.Request) (*grant, *fault.Error) {
	created := time.Now()
	for {
		t, s := e.enqueue(id, aged(request, time.Since(created)))
		o, err := e.wait(ctx, s, t)
		switch {
		case err != nil:
			return nil, err
		case o.refusal != nil:
			return nil, o.refusal
		case o.again:
			continue
		case o.grant.Expired():
			// The process was paused between the receipt and now.
			e.finish(o.grant, pool.Finish{Reason: pool.FinishExpired})
			continue
		}
		return o.grant, nil
	}
}

// wait returns the outcome of the ticket, or withdraws it when ctx ends.
func (e *entrySide) wait(ctx context.Context, s *stream, t *ticket) (outcome, *fault.Error) {
	select {
	case o := <-t.outcome:
		if ctx.Err() == nil {
			return o, nil
		}
		e.release(o)
	case <-ctx.Done():
		e.withdraw(s, t)
	case <-e.dispatch.ctx.Done():
		e.withdraw(s, t)
		return outcome{}, fault.New(fault.Leaving, "the instance has stopped dispatching")
	}
	return outcome{}, endOf(ctx)
}

// endOf types the end of a request's context before any grant.
func endOf(ctx context.Context) *fault.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(fault.DeadlineExceeded, "the deadline passed while the request was waiting").WithRunState(types.NotRun)
	}
	return fault.New(fault.CallerGone, "the caller left while the request was waiting").WithRunState(types.NotRun)
}

// release gives back a grant that nobody uses.
func (e *entrySide) release(o outcome) {
	if o.grant != nil {
		e.finish(o.grant, pool.Finish{Reason: pool.FinishCancelled})
	}
}
