package gateway

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/placement"
)

// abandonAfter returns the time without an event after which callers abandon a stream.
func abandonAfter(route *catalog.Route) time.Duration {
	return max(2*time.Second, 4*route.Objective, 8*route.InterEventObjective)
}

// mayBeLate reports whether the request may be admitted as late work. One that an upstream may
// have run goes on at the priority that it had there.
func (q *request) mayBeLate() bool {
	return q.work.LateWork && q.work.Engine && q.progress.runs == 0 && q.began == nil
}

// allowLate lets the admission control admit the request as late work.
func (q *request) allowLate(request *admission.Request) {
	request.LateWork = true
	if q.route.Kind == catalog.Stream {
		request.Patience = max(abandonAfter(q.route)-q.elapsed(), time.Nanosecond)
	}
}

// setLate sets whether the next attempt is late work.
func (q *request) setLate(late bool) {
	q.late, q.work.Priority = late, q.priority
	if late {
		q.work.Priority = placement.LatePriority
	}
}
