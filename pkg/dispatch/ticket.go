package dispatch

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// ticketState is the state of a ticket.
type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketGranted
	ticketEnded
)

// ticket is a request of the entry in one pool, waiting or running. Its fields
// are guarded by the lock of the entry side.
type ticket struct {
	number  uint64
	request pool.Request
	// created is the time to which the durations in request refer.
	created time.Time
	state   ticketState
	outcome chan outcome
	grant   *grant
}

// outcome is the result that Acquire waits for. Exactly one field is set.
type outcome struct {
	grant   *grant
	refusal *fault.Error
	// retry is true if the request must be enqueued again.
	retry bool
}

// newTicket returns a waiting ticket.
func newTicket(number uint64, request pool.Request, now time.Time) *ticket {
	return &ticket{number: number, request: request, created: now, outcome: make(chan outcome, 1)}
}

// event returns the event that announces the ticket to a dispatcher. The entry
// is omitted, because the dispatcher knows it from the connection.
func (t *ticket) event(now time.Time) pool.Event {
	request := withElapsed(t.request, now.Sub(t.created))
	request.Entry = ""
	if t.state == ticketGranted {
		running := pool.Running{Request: request, Upstream: t.grant.upstream.ID, Tokens: t.grant.tokens}
		return pool.Event{Register: &running}
	}
	return pool.Event{Enqueue: &request}
}

// withElapsed returns the request with its durations adjusted by elapsed.
// Durations that have run out become 1ns, because zero means none.
func withElapsed(request pool.Request, elapsed time.Duration) pool.Request {
	request.Waited += elapsed
	if request.FirstTokenIn > 0 {
		request.FirstTokenIn = max(1, request.FirstTokenIn-elapsed)
	}
	request.DeadlineIn = max(1, request.DeadlineIn-elapsed)
	return request
}

// settle sends the outcome to the waiting Acquire. Only the first call has an
// effect.
func (t *ticket) settle(o outcome) {
	if t.state != ticketWaiting {
		return
	}
	t.state = ticketEnded
	if o.grant != nil {
		t.state = ticketGranted
		t.grant = o.grant
	}
	t.outcome <- o
}

// refusalFault converts a dispatcher's refusal to a fault.
func refusalFault(refuse *pool.Refuse, id types.PoolID) *fault.Error {
	code := refuse.Code
	if !code.Known() {
		code = fault.Overloaded
	}
	message := "the pool " + id.String() + " refused the request"
	return fault.New(code, message).WithRunState(types.NotRun).WithRetryAfter(refuse.RetryAfter)
}
