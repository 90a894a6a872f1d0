package simulate

import (
	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/placement"
)

// LateDesign is a design for requests that cannot be in time.
type LateDesign string

const (
	// RefuseLate refuses them.
	RefuseLate LateDesign = ""
	// LateWork is the product: it admits them as late work and spreads the return of callers
	// that it refuses.
	LateWork LateDesign = "late work"
	// LateWorkOnly does not spread the return of callers.
	LateWorkOnly LateDesign = "late work only"
	// ScheduledReturn refuses them, spreads the return of their callers, and admits only
	// callers that return as late work. It knows who returns, which an instance does not.
	ScheduledReturn LateDesign = "scheduled return"
)

// admission returns the request as the admission control of its entry sees it.
func (r *request) admission(design LateDesign) admission.Request {
	return admission.Request{
		Objective: r.kind.Objective, Remaining: r.remaining, Patience: r.patience,
		OverShare: r.share.judgement != fairshare.WithinShare && r.executions == 0,
		Withheld:  r.share.judgement == fairshare.Withheld && r.executions == 0,
		LateWork:  design != RefuseLate && r.executions == 0 && (design != ScheduledReturn || r.callerAttempts > 1),
	}
}

// resetLate makes the request ordinary again before it is placed, unless an engine has accepted
// it as late work. An entry does not know when a caller that returns arrived first.
func (sim *simulation) resetLate(r *request) {
	r.work.LateWork = sim.site.LateDesign != RefuseLate && sim.policy == Product
	r.patience = max(r.kind.abandonAfter()-(sim.now-r.attemptAt), 1)
	if r.executions == 0 {
		r.work.Priority = r.kind.Priority
	}
}

// sendLate makes the request late work.
func (r *request) sendLate() {
	r.everLate = true
	r.work.Priority = placement.LatePriority
}

// retryDelay returns the delay after which a refused caller may retry under a design.
func retryDelay(design LateDesign, request admission.Request, choice placement.Choice, decision admission.Decision) admission.Decision {
	if design == LateWorkOnly || design == ScheduledReturn {
		request.LateWork = design == ScheduledReturn
		return admission.Decide(request, choice)
	}
	return decision
}

// LateUse counts the requests that were sent as late work.
type LateUse struct {
	Admitted int `json:"admitted"`
	// Served requests were answered, Abandoned ones were given up by their callers.
	Served    int `json:"served"`
	Abandoned int `json:"abandoned"`
}

func (sim *simulation) lateUse() LateUse {
	var use LateUse
	for _, r := range sim.requests {
		switch {
		case !r.everLate:
			continue
		case r.outcome == InTime || r.outcome == Late:
			use.Served++
		case r.outcome == Abandoned:
			use.Abandoned++
		}
		use.Admitted++
	}
	return use
}
