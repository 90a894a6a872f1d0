package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Acquire waits until the request may start on an upstream of the target. The
// type search describes the order in which the pools are tried.
func (d *Dispatch) Acquire(ctx context.Context, target types.TargetName, request pool.Request) (Grant, error) {
	if d.ctx.Err() != nil {
		return nil, fault.New(fault.Leaving, "the instance has stopped dispatching")
	}
	if d.chartErr != nil {
		return nil, d.chartErr
	}
	if d.options.Store.Current() == nil {
		return nil, fault.New(fault.NotReady, "this instance has no configuration yet")
	}
	request.Entry = d.options.Incarnation
	ctx, cancel := context.WithTimeout(ctx, request.DeadlineIn)
	defer cancel()
	return newSearch(d, target, request).run(ctx)
}

// triesNextPool reports whether another pool may grant a request that a pool
// refused with this code.
func triesNextPool(code fault.Code) bool {
	switch code {
	case fault.Overloaded, fault.NoUpstream, fault.DeadlineUnreachable:
		return true
	}
	return false
}

// mergeRefusals combines two refusals into the one to report. It prefers a
// refusal for lack of capacity to one for lack of upstreams, and the shorter
// RetryAfter.
func mergeRefusals(first, second *fault.Error) *fault.Error {
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

// acquire offers the request to one pool until the pool grants or refuses it or
// ctx is done.
func (e *entrySide) acquire(ctx context.Context, id types.PoolID, request pool.Request) (*grant, *fault.Error) {
	created := time.Now()
	for {
		t, s := e.enqueue(id, withElapsed(request, time.Since(created)))
		o, err := e.wait(ctx, s, t)
		switch {
		case err != nil:
			return nil, err
		case o.refusal != nil:
			return nil, o.refusal
		case o.retry:
			continue
		case o.grant.Expired():
			// The lease ran out before this goroutine ran, for example because
			// the process was suspended.
			e.finish(o.grant, pool.Finish{Reason: pool.FinishExpired})
			continue
		}
		return o.grant, nil
	}
}

// wait returns the outcome of the ticket, or withdraws the ticket when ctx is
// done.
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
	return outcome{}, contextFault(ctx)
}

// contextFault converts the end of a request's context before any grant to a
// fault.
func contextFault(ctx context.Context) *fault.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(fault.DeadlineExceeded, "the deadline passed while the request was waiting").WithRunState(types.NotRun)
	}
	return fault.New(fault.CallerGone, "the caller disconnected while the request was waiting").WithRunState(types.NotRun)
}

// release returns an unused grant to the dispatcher.
func (e *entrySide) release(o outcome) {
	if o.grant != nil {
		e.finish(o.grant, pool.Finish{Reason: pool.FinishCancelled})
	}
}
