package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxPermitRequests bounds the permits that one request asks for, each of which
	// takes a round trip to the issuer. The upstreams that refused are known to the next
	// request.
	maxPermitRequests = 4
	// permitTTL is the time from the request for a permit in which it may be used. It
	// is well below the time over which upstreams count their requests.
	permitTTL = 500 * time.Millisecond
	// issuerRetryAfter is the time after which the issuer of an upstream's permits is
	// asked again that did not reply. A lost instance is detected within seconds.
	issuerRetryAfter = 300 * time.Millisecond
	// maxLimitRetryAfter bounds the retry delay of a caller, before jitter.
	maxLimitRetryAfter = 2 * time.Second
)

// permits has what this instance knows of the limits of upstreams, and the permits that
// it issues.
type permits struct {
	mu     sync.Mutex
	limits *permit.Table
	issuer *permit.Issuer
	blocks *permit.Blocks
}

func newPermits() *permits {
	return &permits{limits: permit.NewTable(), issuer: permit.NewIssuer(), blocks: permit.NewBlocks()}
}

// observe adds an observation. It returns the limit before, and whether it has changed.
// Refusals under a limit that has ended or is much higher now count no longer.
func (p *permits) observe(id types.UpstreamID, o permit.Observation) (before permit.Limit, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, changed = p.limits.Observe(id, o)
	if changed && o.MuchLooser(before) {
		p.blocks.Clear(id)
	}
	return before, changed
}

// inForce returns the limit of an upstream, or false if it has none.
func (p *permits) inForce(id types.UpstreamID) (permit.Observation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.InForce(id)
}

// split separates the candidates that accept no request of the priority now. It returns
// them with the time that remains, at least the given one for all that have a limit or are
// cold.
func (p *permits) split(now time.Duration, candidates []placement.Candidate, priority int, atLeast time.Duration) (open []placement.Candidate, blocked map[types.UpstreamID]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limits.Count() == 0 && !slices.ContainsFunc(candidates, isCold) {
		return candidates, nil
	}
	blocked = make(map[types.UpstreamID]time.Duration)
	for i := range candidates {
		id := candidates[i].ID
		if _, limited := p.limits.InForce(id); limited || candidates[i].Cold {
			if remaining := max(p.blocks.Remaining(now, id, priority), atLeast); remaining > 0 {
				blocked[id] = remaining
				continue
			}
		}
		open = append(open, candidates[i])
	}
	return open, blocked
}

func (p *permits) block(id types.UpstreamID, priority int, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks.Block(id, priority, until)
}

func (p *permits) clearBlock(id types.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks.Clear(id)
}

func isCold(c placement.Candidate) bool { return c.Cold }

// retainListed forgets the upstreams that are no longer listed, with their permits. It returns
// the number of limits that remain in force.
func (p *permits) retainListed(now time.Duration, list []roster.Upstream) int {
	listed := make(map[types.UpstreamID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isListed := func(id types.UpstreamID) bool { return listed[id] }
	p.limits.Retain(now, isListed)
	p.blocks.Retain(isListed)
	p.issuer.Retain(isListed)
	return p.limits.Count()
}

// observeLimit records the limit that a response names, or that it names none. A response
// that is not from a run of the request may lack a limit that is still in force.
func (a *attempt) observeLimit(info ResponseInfo) {
	g := a.gateway
	if info.InvalidLimit != "" {
		g.options.Metrics.countLimit("invalid")
		g.options.Logger.Warn().Str("request", string(a.call.ID)).Str("upstream", string(a.choice.ID)).Str("limit", info.InvalidLimit).
			Msg("upstream names an invalid limit")
		return
	}
	if info.Limit == nil && (info.NotRun || !info.Sealed) {
		return
	}
	o := permit.Observation{SentAt: a.sentAt, ReceivedAt: g.options.Clock()}
	if info.Limit != nil {
		o.Limit = *info.Limit
	}
	before, changed := g.permits.observe(a.choice.ID, o)
	if !changed {
		return
	}
	g.logLimit(a.choice.ID, before, o, "response", string(a.call.ID))
	g.options.Fleet.ReportLimit(a.choice.ID, o)
}

// logLimit logs that the limit of an upstream has changed, with the source of the
// observation: the request whose response named it, or the peer that reported it.
func (g *Gateway) logLimit(id types.UpstreamID, before permit.Limit, o permit.Observation, source, from string) {
	g.permits.mu.Lock()
	count := g.permits.limits.Count()
	g.permits.mu.Unlock()
	g.options.Metrics.setLimitsInForce(count)
	g.options.Logger.Info().Str("upstream", string(id)).Bool("limited", o.Limited).Float64("per_second", o.PerSecond).
		Bool("limited_before", before.Limited).Float64("per_second_before", before.PerSecond).
		Str("source", source).Str("from", from).Dur("age_ms", g.options.Clock()-o.ReceivedAt).Msg("upstream limit changed")
}

// withoutLimited returns the candidates that have no limit and are not cold.
func (g *Gateway) withoutLimited(candidates []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(candidates, func(c placement.Candidate) bool {
		_, limited := g.permits.inForce(c.ID)
		return limited || c.Cold
	})
}

// permitPriority returns the priority with which the request asks for permits. A request
// that an upstream has begun to answer comes first.
func (q *request) permitPriority() int {
	if q.progress.runs > 0 || q.began != nil {
		return 0
	}
	return q.work.Priority
}

// withoutBlocked separates the candidates that accept no further request now. It returns
// them with the time that remains.
func (q *request) withoutBlocked(now time.Duration, candidates []placement.Candidate) (open []placement.Candidate, blocked map[types.UpstreamID]time.Duration) {
	var atLeast time.Duration
	if q.permitsRefused >= maxPermitRequests {
		atLeast = issuerRetryAfter
	}
	return q.gateway.permits.split(now, candidates, q.permitPriority(), atLeast)
}

// heldPermit is a permit for the next attempt.
type heldPermit struct {
	// until is zero if there is none.
	until time.Duration
	// cold reports whether it is for an upstream that is cold.
	cold bool
}

// obtainPermit returns true if the request may be sent to the chosen upstream. Otherwise
// the upstream is excluded for a while.
func (q *request) obtainPermit(ctx context.Context, choice placement.Choice) bool {
	g := q.gateway
	asked := g.options.Clock()
	limit := g.limitOf(asked, choice.ID)
	q.permit = heldPermit{}
	if !limit.Limited {
		return true
	}
	ttl, count := permitTTL, g.options.Metrics.countLimit
	if limit.cold.Limited {
		ttl, count = permit.ColdTTL, g.options.Metrics.countCold
	}
	priority := q.permitPriority()
	reply, err := g.options.Fleet.RequestPermit(ctx, permit.Request{Upstream: choice.ID, Priority: priority, Jitter: rand.Float64(), ColdPerSecond: limit.cold.PerSecond}, limit.named)
	now := g.options.Clock()
	outcome := "granted"
	switch {
	case err != nil:
		outcome, reply = "no_issuer", permit.Reply{RetryAfter: issuerRetryAfter}
	case !reply.Granted:
		outcome = "refused"
	case now-asked > ttl:
		outcome, reply = "expired", permit.Reply{}
	}
	count("permits_" + outcome)
	event := g.options.Logger.Info().Err(err).Str("request", string(q.call.ID)).Str("upstream", string(choice.ID)).Int("priority", priority).
		Float64("per_second", limit.PerSecond)
	if limit.named.Limited {
		event = event.Dur("age_ms", now-limit.named.ReceivedAt)
	}
	if limit.cold.Limited {
		event = event.Bool("cold", true)
	}
	event.Dur("took_ms", now-asked).
		Dur("return_ms", reply.RetryAfter).Str("outcome", outcome).Msg("permit")
	if reply.Granted {
		q.permit = heldPermit{until: asked + ttl, cold: limit.cold.Limited}
		return true
	}
	q.permitsRefused++
	// No issuer names a longer time. Without the bound, a peer's invalid one would keep all requests
	// from the upstream, or overflow.
	g.permits.block(choice.ID, priority, now+min(reply.RetryAfter, permit.MaxRetryAfter))
	return false
}

// refuseLimited returns the error of a request whose upstreams have all used up their
// limits. The caller may retry when the first of them may accept a request again.
func (q *request) refuseLimited(blocked map[types.UpstreamID]time.Duration) error {
	const message = "the upstreams have used up the request rates that they limit"
	if q.progress.runs > 0 {
		return fault.New(fault.UpstreamFailed, message).WithRunState(q.progress.runState())
	}
	earliest := maxLimitRetryAfter
	for _, remaining := range blocked {
		earliest = min(earliest, remaining)
	}
	earliest = max(earliest, instanceRetryAfter)
	return fault.New(fault.UpstreamLimited, message).WithRetryAfter(earliest + rand.N(earliest/2))
}

// Limits returns the latest limit of each upstream that has named one.
func (g *Gateway) Limits() map[types.UpstreamID]permit.Observation {
	g.permits.mu.Lock()
	defer g.permits.mu.Unlock()
	return g.permits.limits.All()
}

// MergeLimits adds the limits that a peer has observed, and returns those that have
// changed.
func (g *Gateway) MergeLimits(from types.InstanceID, limits map[types.UpstreamID]permit.Observation) map[types.UpstreamID]permit.Observation {
	changed := make(map[types.UpstreamID]permit.Observation)
	for id, o := range limits {
		if before, ok := g.permits.observe(id, o); ok {
			changed[id] = o
			g.logLimit(id, before, o, "peer", string(from))
		}
	}
	return changed
}

// IssuePermit decides on a request for a permit of an upstream. An upstream without a
// limit needs none. The strictest limit applies that this instance or the asking one knows:
// their lists of upstreams may differ.
func (g *Gateway) IssuePermit(request permit.Request, share float64) permit.Reply {
	now := g.options.Clock()
	asked := permit.Limit{PerSecond: request.ColdPerSecond, Limited: request.ColdPerSecond > 0}
	limit := permit.Strictest(g.limitOf(now, request.Upstream).Limit, asked)
	if !limit.Limited {
		return permit.Reply{Granted: true}
	}
	g.permits.mu.Lock()
	defer g.permits.mu.Unlock()
	return g.permits.issuer.Issue(now, request, limit, share)
}

// RetainPermits drops the upstreams whose permits this instance no longer issues.
func (g *Gateway) RetainPermits(issues func(types.UpstreamID) bool) {
	g.permits.mu.Lock()
	defer g.permits.mu.Unlock()
	g.permits.issuer.Retain(issues)
}
