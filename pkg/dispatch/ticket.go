package dispatch

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// ticketState is the state of a request at its entry, in one pool.
type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketGranted
	ticketEnded
)

// ticket is one request that the entry has in one pool. Its fields are guarded
// by the lock of the entry side.
type ticket struct {
	number  uint64
	request pool.Request
	// created is the moment at which the durations in request held.
	created time.Time
	state   ticketState
	outcome chan outcome
	grant   *grant
}

// outcome ends the wait of Acquire: one field is set.
type outcome struct {
	grant   *grant
	refusal *fault.Error
	// again says that the request must be offered anew.
	again bool
}

// newTicket returns a waiting ticket.
func newTicket(number uint64, request pool.Request, now time.Time) *ticket {
	return &ticket{number: number, request: request, created: now, outcome: make(chan outcome, 1)}
}

// event returns the event that tells a dispatcher of the ticket. The entry is
// left out: the dispatcher knows it from the connection.
func (t *ticket) event(now time.Time) pool.Event {
	request := aged(t.request, now.Sub(t.created))
	request.Entry = ""
	if t.state == ticketGranted {
		running := pool.Running{Request: request, Upstream: t.grant.upstream.ID, Tokens: t.grant.tokens}
		return pool.Event{Register: &running}
	}
	return pool.Event{Enqueue: &request}
}

// aged returns the request with its durations as they are after the passing of
// elapsed. Targets that have passed stay just above zero, which means none.
func aged(request pool.Request, elapsed time.Duration) pool.Request {
	request.Waited += elapsed
	if request.FirstTokenIn > 0 {
		request.FirstTokenIn = max(1, request.FirstTokenIn-elapsed)
	}
	request.DeadlineIn = max(1, request.DeadlineIn-elapsed)
	return request
}

// settle gives the waiting Acquire its outcome. A ticket settles once.
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

// refusalOf types a dispatcher's refusal.
func refusalOf(refuse *pool.Refuse, id types.PoolID) *fault.Error {
	code := refuse.Code
	if !code.Known() {
		code = fault.Overloaded
	}
	message := "the pool " + id.String() + " refused the request"
	return fault.New(code, message).WithRunState(types.NotRun).WithRetryAfter(refuse.RetryAfter)
}
