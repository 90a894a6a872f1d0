package entry

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Status is the response body of GET /v1/requests/{id}.
type Status struct {
	ID types.RequestID `json:"id"`
	// State is a state of the request chart.
	State    statechart.State `json:"state"`
	Class    types.ClassName  `json:"class"`
	Tier     types.Tier       `json:"tier"`
	Target   types.TargetName `json:"target"`
	Upstream types.UpstreamID `json:"upstream,omitempty"`
	RunState types.RunState   `json:"run_state"`
	// Attempts counts the calls to upstreams.
	Attempts int `json:"attempts"`
	// Error is the final failure, if any.
	Error *fault.ResponseError `json:"error,omitempty"`
	// account owns the request. Other accounts cannot read its status.
	account types.AccountID
}

// registry holds the statuses of requests in flight and of the most recently ended
// requests. It is safe for concurrent use.
type registry struct {
	mu       sync.Mutex
	statuses map[types.RequestID]Status
	// ended is a ring buffer of ended requests. The oldest one is at next.
	ended []types.RequestID
	next  int
}

func newRegistry(finished int) *registry {
	return &registry{
		statuses: make(map[types.RequestID]Status),
		ended:    make([]types.RequestID, max(1, finished)),
	}
}

// put stores the status of a request in flight.
func (r *registry) put(status Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status.ID] = status
}

// finish stores the final status of a request and drops the oldest ended request.
func (r *registry) finish(status Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status.ID] = status
	delete(r.statuses, r.ended[r.next])
	r.ended[r.next] = status.ID
	r.next = (r.next + 1) % len(r.ended)
}

// get returns the status of the request. It returns an error with the code
// UnknownRequest if the request is unknown or belongs to another account.
func (r *registry) get(account types.AccountID, id types.RequestID) (Status, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, ok := r.statuses[id]
	if !ok || status.account != account {
		return Status{}, fault.New(fault.UnknownRequest, "this instance has no request with this ID")
	}
	return status, nil
}
