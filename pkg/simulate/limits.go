package simulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// EngineLimit makes a share of the engines limit the request rate of all entries
// together.
type EngineLimit struct {
	Start, Duration time.Duration
	Share           float64
	PerSecond       float64
}

const (
	// limitKnownAfter is the number of report intervals after which all entries know a
	// limit.
	limitKnownAfter = 3
	// maxPermitRequests is the number of permits that one request asks for.
	maxPermitRequests = 4
	// limitWindow is the time over which the requests to an engine are counted.
	limitWindow = 4 * time.Second
)

// limitState has the limits in force and the permits of the entries.
type limitState struct {
	// inForce are the limits that the entries know.
	inForce map[engineID]float64
	issuer  *permit.Issuer
	blocks  []*permit.Blocks
	// arrivals are the requests to each engine with a limit.
	arrivals map[engineID][]time.Duration
}

func newLimitState(site Site) *limitState {
	s := &limitState{inForce: make(map[engineID]float64), issuer: permit.NewIssuer(), arrivals: make(map[engineID][]time.Duration)}
	for range site.Entries {
		s.blocks = append(s.blocks, permit.NewBlocks())
	}
	return s
}

// updateLimits applies the limits that begin or end now.
func (sim *simulation) updateLimits() {
	for _, limit := range sim.day.Limits {
		known := limit.Start + limitKnownAfter*sim.site.ReportInterval
		for _, id := range sim.selectEngines(limit.Share, limit.Start) {
			switch sim.now {
			case known:
				sim.limits.inForce[id] = limit.PerSecond
			case limit.Start + limit.Duration:
				delete(sim.limits.inForce, id)
				for _, blocks := range sim.limits.blocks {
					blocks.Clear(id)
				}
			}
		}
	}
}

// withoutBlocked removes the engines that accept no further request of the entry now, and
// all with a limit if the request has asked for enough permits.
func (sim *simulation) withoutBlocked(r *request, permitsRefused int, candidates []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(candidates, func(c placement.Candidate) bool {
		if _, limited := sim.limits.inForce[c.ID]; !limited && !c.Cold {
			return false
		}
		return permitsRefused >= maxPermitRequests || sim.limits.blocks[r.entry].Remaining(sim.now, c.ID, r.kind.Priority) > 0
	})
}

// obtainPermit reports whether the request may be sent to the engine.
func (sim *simulation) obtainPermit(r *request, id engineID, random *rand.Rand) bool {
	perSecond, named := sim.limits.inForce[id]
	limit := permit.Strictest(permit.Limit{PerSecond: perSecond, Limited: named}, sim.coldLimit(r, id))
	if !limit.Limited {
		return true
	}
	reply := sim.limits.issuer.Issue(sim.now, permit.Request{Upstream: id, Priority: r.kind.Priority, From: types.InstanceID(rune(r.entry)), Jitter: random.Float64()}, limit, 1)
	if !reply.Granted && !sim.site.IgnoreLimits {
		sim.limits.blocks[r.entry].Block(id, r.kind.Priority, sim.now+reply.RetryAfter)
		return false
	}
	if named {
		sim.limits.arrivals[id] = append(sim.limits.arrivals[id], sim.now)
	}
	return true
}

// LimitUse tells how the limits of the engines were kept and used.
type LimitUse struct {
	// Most is the largest number of requests to one engine in limitWindow.
	Most int `json:"most"`
	// Used is the number of requests divided by what the limits allow.
	Used float64 `json:"used"`
}

// limitUse returns the use of the limits of the day.
func (sim *simulation) limitUse() LimitUse {
	var use LimitUse
	allowed := 0.0
	for _, limit := range sim.day.Limits {
		engines := len(sim.selectEngines(limit.Share, limit.Start))
		inForce := limit.Duration - limitKnownAfter*sim.site.ReportInterval
		allowed += float64(engines) * limit.PerSecond * inForce.Seconds()
	}
	total := 0
	for _, times := range sim.limits.arrivals {
		total += len(times)
		use.Most = max(use.Most, permit.MostInWindow(times, limitWindow))
	}
	if allowed > 0 {
		use.Used = float64(total) / allowed
	}
	return use
}
