package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	limitsMethod = "mesh.limits"
	permitMethod = "mesh.permit"
)

// permitTimeout bounds the request for a permit. The round trip to a peer is a few
// milliseconds; a caller's request waits for it.
const permitTimeout = 100 * time.Millisecond

// joinTime is the time after its start in which an instance issues no permits for cold
// upstreams. Until it has heard from its peers, it takes itself for the issuer of all upstreams.
const joinTime = 2 * time.Second

// limitReport is an observed limit of an upstream. The times are relative to the sending
// of the message, since the clocks of instances differ.
type limitReport struct {
	Upstream types.UpstreamID `json:"upstream"`
	permit.Limit
	SentAgo     time.Duration `json:"sent_ago_ns"`
	ReceivedAgo time.Duration `json:"received_ago_ns"`
}

// limitsReport tells a peer of limits that have changed, or of all limits. It follows a
// heartbeat.
type limitsReport struct {
	// From is the peer address of the sender.
	From   string        `json:"from"`
	Limits []limitReport `json:"limits"`
	capacityReport
	sharesReport
}

// permitRequest asks for a permit and tells the issuer of the limit.
type permitRequest struct {
	permit.Request
	Limit limitReport `json:"limit"`
}

func newLimitReport(now time.Duration, id types.UpstreamID, o permit.Observation) limitReport {
	return limitReport{Upstream: id, Limit: o.Limit, SentAgo: now - o.SentAt, ReceivedAgo: now - o.ReceivedAt}
}

// observation returns the report as an observation of this instance. Times after now are
// invalid: an observation from the future could not be replaced by a later one.
func (r limitReport) observation(now time.Duration) permit.Observation {
	return permit.Observation{Limit: r.Limit, SentAt: now - max(r.SentAgo, 0), ReceivedAt: now - max(r.ReceivedAgo, 0)}
}

// ReportLimit reports to the peers that the limit of an upstream has changed.
func (m *Mesh) ReportLimit(id types.UpstreamID, o permit.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queueLimits("", map[types.UpstreamID]permit.Observation{id: o}, func(to relation) bool { return to != distant })
}

// queueLimits queues limits for the live peers whose relation is included, except for the
// peer they came from. m.mu must be held.
func (m *Mesh) queueLimits(from string, limits map[types.UpstreamID]permit.Observation, include func(to relation) bool) {
	for member := range m.recipients(from, include) {
		if member.pending.limits == nil {
			member.pending.limits = make(map[types.UpstreamID]permit.Observation)
		}
		maps.Copy(member.pending.limits, limits)
		member.wakeSender()
	}
}

// sendLimits sends the pending limits, or all of them.
func (m *Mesh) sendLimits(ctx context.Context, address string, to *memberState, all bool) error {
	m.mu.Lock()
	limits := to.pending.limits
	to.pending.limits = nil
	m.mu.Unlock()
	if all {
		limits = m.options.State.Limits()
	}
	observed := m.takeCapacityReport(to)
	shares := m.takeSharesReport(to)
	if len(limits) == 0 && observed.empty() && len(shares.Shares) == 0 {
		return nil
	}
	now := m.options.Clock()
	report := limitsReport{From: m.options.Self.PeerAddress, capacityReport: observed, sharesReport: shares}
	for id, o := range limits {
		report.Limits = append(report.Limits, newLimitReport(now, id, o))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Caller.Notify(ctx, address, limitsMethod, report)
}

// handleLimits processes a peer's report of limits. A hub relays what has changed like
// other updates.
func (m *Mesh) handleLimits(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	report, err := decodeLimits(params)
	if err != nil {
		return nil, err
	}
	now := m.options.Clock()
	observed := make(map[types.UpstreamID]permit.Observation, len(report.Limits))
	for _, limit := range report.Limits {
		observed[limit.Upstream] = limit.observation(now)
	}
	m.handleCapacity(report.From, report.capacityReport)
	m.handleShares(report.From, report.sharesReport)
	changed := m.options.State.HandleLimits(from.Instance, observed)
	if len(changed) == 0 {
		return struct{}{}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if include := m.relayScope(report.From); include != nil {
		m.queueLimits(report.From, changed, include)
	}
	return struct{}{}, nil
}

// RequestPermit asks the issuer of the upstream's permits for one.
func (m *Mesh) RequestPermit(ctx context.Context, request permit.Request, limit permit.Observation) (permit.Reply, error) {
	request.From = m.options.Self.ID
	address := m.hubFor(request.Upstream, m.options.State.Serving())
	if address == m.options.Self.PeerAddress {
		return m.issuePermit(request)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	type result struct {
		reply permit.Reply
		err   error
	}
	results := make(chan result, 1)
	go func() {
		// The call outlives permitTimeout, so that a connection that is established
		// meanwhile serves the next request.
		callCtx, cancel := context.WithTimeout(m.lifetime(), callTimeout)
		defer cancel()
		var r result
		r.err = m.options.Caller.Call(callCtx, address, permitMethod, permitRequest{request, newLimitReport(m.options.Clock(), request.Upstream, limit)}, &r.reply)
		results <- r
	}()
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return permit.Reply{}, fault.Wrap(fault.PeerUnavailable, ctx.Err(), "the issuer of the permits did not reply in time")
	}
}

// lifetime returns a context that ends with Run.
func (m *Mesh) lifetime() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil {
		return context.Background()
	}
	return m.ctx
}

// handlePermit decides on a peer's request for a permit.
func (m *Mesh) handlePermit(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var request permitRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed request for a permit")
	}
	if m.hubFor(request.Upstream, m.options.State.Serving()) != m.options.Self.PeerAddress {
		return nil, fault.New(fault.PeerRejected, "this instance does not issue the upstream's permits")
	}
	m.options.State.HandleLimits(from.Instance, map[types.UpstreamID]permit.Observation{request.Upstream: request.Limit.observation(m.options.Clock())})
	request.From = from.Instance
	return m.issuePermit(request.Request)
}

// hubFor returns the peer address of the instance that is responsible for an upstream: it
// issues the upstream's permits and keeps its reservations. It is the first in rendezvous
// order among the hubs that are up, or among all instances of a fleet without hubs. Instances
// that callers are not sent to, such as those that are stopping, come only after all others;
// serving says this for this instance.
func (m *Mesh) hubFor(upstream types.UpstreamID, serving bool) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.options.Self
	self.Serving = serving
	var serves, others []InstanceInfo
	consider := func(info InstanceInfo) {
		if !m.topology.isHub(info.PeerAddress) {
			return
		}
		if info.Serving {
			serves = append(serves, info)
		} else {
			others = append(others, info)
		}
	}
	consider(self)
	for _, member := range m.members {
		if !member.down {
			consider(member.info)
		}
	}
	if len(serves) == 0 {
		serves = others
	}
	if len(serves) == 0 {
		return self.PeerAddress
	}
	first, _ := rendezvous.FirstOf(string(upstream), serves, func(info InstanceInfo) types.InstanceID { return info.ID }, nil)
	return first.PeerAddress
}

// AmongFirst reports whether this instance is among the first ones, in rendezvous order of
// the key, of those that callers are sent to.
func (m *Mesh) AmongFirst(key string, count int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rendezvous.AmongFirst(key, m.options.Self.ID, func(yield func(types.InstanceID) bool) {
		for _, member := range m.members {
			if !member.down && member.info.Serving && !yield(member.info.ID) {
				return
			}
		}
	}, count)
}

// retainResponsible makes the state drop the permits and reservations of upstreams that this
// instance is no longer responsible for.
func (m *Mesh) retainResponsible() {
	serving := m.options.State.Serving()
	responsible := func(upstream types.UpstreamID) bool {
		return m.hubFor(upstream, serving) == m.options.Self.PeerAddress
	}
	m.options.State.RetainPermits(responsible)
	m.options.State.RetainReservations(responsible)
}

// issuePermit decides on a request for a permit of an upstream for which this instance is
// responsible.
func (m *Mesh) issuePermit(request permit.Request) (permit.Reply, error) {
	cold := request.ColdPerSecond > 0
	if cold && m.isJoining() {
		return permit.Reply{}, fault.New(fault.PeerUnavailable, "this instance has just started and issues no permits for cold upstreams yet")
	}
	return m.options.State.IssuePermit(request, m.limitShare(cold)), nil
}

// isJoining reports whether this instance has started so recently that it may not have heard
// from its peers yet.
func (m *Mesh) isJoining() bool {
	hasPeers := slices.ContainsFunc(m.options.Seeds(), func(seed string) bool { return seed != m.options.Self.PeerAddress })
	m.mu.Lock()
	defer m.mu.Unlock()
	return (hasPeers || len(m.members) > 0) && (m.ctx == nil || m.options.Clock()-m.startedAt < joinTime)
}

// limitShare returns the part of a limit that this instance may issue permits for. For a cold
// upstream it counts the seeds that have not been heard from since the start of this instance:
// they may be up beyond a partition.
func (m *Mesh) limitShare(cold bool) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, known := m.options.Clock(), 1
	for _, member := range m.members {
		if (cold || member.info.ID != "") && now-member.lastHeard <= removeAfter {
			known++
		}
	}
	return permit.Share(m.size(), known)
}
