package entry

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Status is the answer of GET /v1/requests/{id}.
type Status struct {
	ID types.RequestID `json:"id"`
	// State is a state of the chart of requests.
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
	// account owns the request; no other may ask for it.
	account types.AccountID
}

// registry knows the requests in flight and the last ended ones. It is safe for
// concurrent use.
type registry struct {
	mu       sync.Mutex
	statuses map[types.RequestID]Status
	// ended is a ring of the ended requests, oldest at next.
	ended []types.RequestID
	next  int
}

func newRegistry(finished int) *registry {
	return &registry{
		statuses: make(map[types.RequestID]Status),
		ended:    make([]types.RequestID, max(1, finished)),
	}
}

// put keeps the status of a request in flight.
func (r *registry) put(status Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status.ID] = status
}

// end keeps the last status of a request and forgets the oldest ended one.
func (r *registry) finish(status Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status.ID] = status
	delete(r.statuses, r.ended[r.next])
	r.ended[r.next] = status.ID
	r.next = (r.next + 1) % len(r.ended)
}

// get returns the status of the account's request.
func (r *registry) get(account types.AccountID, id types.RequestID) (Status, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, ok := r.statuses[id]
	if !ok || status.account != account {
		return Status{}, fault.New(fault.UnknownRequest, "no request of this ID is known here")
	}
	return status, nil
}
