package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// capacityInterval is the time between two reports of observations of the upstreams: a bucket
// of the estimates.
const capacityInterval = 500 * time.Millisecond

// maxPendingSummaries bounds the observations that wait for a peer: those of 312 upstreams in
// two intervals.
const maxPendingSummaries = 4096

// CapacityTable learns the capacity of the upstreams.
type CapacityTable interface {
	// TakeCapacity returns the observations of this instance since the last call.
	TakeCapacity(now time.Duration) []capacity.Summary
	// CapacityWindow returns all observations in use, for a peer that has just started.
	CapacityWindow(now time.Duration) []capacity.Summary
	// MergeCapacity adds the observations of a peer.
	MergeCapacity(now time.Duration, summaries []capacity.Summary)
	// SeedCapacity adds the observations in use at a peer for the processes of which there
	// are none.
	SeedCapacity(now time.Duration, summaries []capacity.Summary)
}

// capacityReport is the part of a report of limits with observations.
type capacityReport struct {
	// Observations are new ones. A hub sums up those of its spokes.
	Observations []capacity.Summary `json:"capacity,omitempty"`
	// Window has all observations in use at the sender.
	Window []capacity.Summary `json:"capacity_window,omitempty"`
}

func (r *capacityReport) empty() bool { return len(r.Observations)+len(r.Window) == 0 }

// decodeLimits decodes a report of limits. Observations of the capacity that cannot be decoded become
// invalid ones, so that the rest of the message does not depend on them.
func decodeLimits(params json.RawMessage) (limitsReport, error) {
	var report limitsReport
	if json.Unmarshal(params, &report) == nil {
		return report, nil
	}
	// Slower, so it is not tried first. The outer fields replace those of the report.
	var lenient struct {
		limitsReport
		Observations lenientSummaries `json:"capacity"`
		Window       lenientSummaries `json:"capacity_window"`
	}
	if err := json.Unmarshal(params, &lenient); err != nil {
		return limitsReport{}, fault.Wrap(fault.BadRequest, err, "malformed report of limits")
	}
	report = lenient.limitsReport
	report.capacityReport = capacityReport{Observations: lenient.Observations, Window: lenient.Window}
	return report, nil
}

// lenientSummaries are observations of which those that cannot be decoded become invalid ones.
type lenientSummaries []capacity.Summary

// UnmarshalJSON implements json.Unmarshaler.
func (s *lenientSummaries) UnmarshalJSON(text []byte) error {
	var each []json.RawMessage
	if json.Unmarshal(text, &each) != nil {
		*s = lenientSummaries{{}}
		return nil
	}
	*s = make(lenientSummaries, len(each))
	for i := range each {
		if json.Unmarshal(each[i], &(*s)[i]) != nil {
			(*s)[i] = capacity.Summary{}
		}
	}
	return nil
}

// onlyValid returns the summaries that may be used.
func onlyValid(all []capacity.Summary) []capacity.Summary {
	return slices.DeleteFunc(all, func(summary capacity.Summary) bool { return !summary.Valid() })
}

// timedSummaries are observations as of a time.
type timedSummaries struct {
	at        time.Duration
	summaries []capacity.Summary
}

// capacityShare has the observations that a hub relays to its spokes and to the other hubs.
type capacityShare map[relation]*capacity.Sums

// reportCapacity reports the observations to the peers until ctx is done.
func (m *Mesh) reportCapacity(ctx context.Context) {
	for wait.For(ctx, capacityInterval) {
		now := m.options.Clock()
		own := m.options.Capacity.TakeCapacity(now)
		m.mu.Lock()
		for _, to := range []relation{meshPeer, hub, spoke, otherHub} {
			sums := m.relayed(to)
			sums.Add(now, own)
			m.queueCapacity(to, timedSummaries{now, sums.Take(now)})
		}
		m.mu.Unlock()
	}
}

// relayed returns the sums for the peers of a relation. m.mu must be held.
func (m *Mesh) relayed(to relation) *capacity.Sums {
	if m.capacityShare == nil {
		m.capacityShare = make(capacityShare)
	}
	if m.capacityShare[to] == nil {
		m.capacityShare[to] = capacity.NewSums()
	}
	return m.capacityShare[to]
}

// queueCapacity queues observations for the live peers of a relation. m.mu must be held.
func (m *Mesh) queueCapacity(to relation, batch timedSummaries) {
	if len(batch.summaries) == 0 {
		return
	}
	for member := range m.recipients("", func(r relation) bool { return r == to }) {
		pending := 0
		for _, queued := range member.pending.capacity {
			pending += len(queued.summaries)
		}
		if pending+len(batch.summaries) <= maxPendingSummaries {
			member.pending.capacity = append(member.pending.capacity, batch)
		}
		member.wakeSender()
	}
}

// takeCapacityReport returns what is pending for a peer, and the whole window if the peer has
// just started.
func (m *Mesh) takeCapacityReport(to *memberState) capacityReport {
	var report capacityReport
	if m.options.Capacity == nil {
		return report
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	for _, batch := range to.pending.capacity {
		for _, s := range batch.summaries {
			s.Ago += now - batch.at
			report.Observations = append(report.Observations, s)
		}
	}
	to.pending.capacity = nil
	if to.info.ID != "" && to.capacityWindowFor != to.info.Incarnation {
		to.capacityWindowFor = to.info.Incarnation
		report.Window = m.options.Capacity.CapacityWindow(now)
	}
	return report
}

// handleCapacity adds a peer's observations, and relays them like other updates. The peer may
// get its own back as a part of a sum, which counts them twice there.
func (m *Mesh) handleCapacity(from string, report capacityReport) {
	if m.options.Capacity == nil || report.empty() {
		return
	}
	received := len(report.Observations) + len(report.Window)
	report.Observations, report.Window = onlyValid(report.Observations), onlyValid(report.Window)
	if dropped := received - len(report.Observations) - len(report.Window); dropped > 0 {
		m.options.Logger.Debug().Str("address", from).Int("dropped", dropped).Msg("implausible or outdated observations of the capacity")
	}
	now := m.options.Clock()
	m.options.Capacity.SeedCapacity(now, report.Window)
	m.options.Capacity.MergeCapacity(now, report.Observations)
	m.mu.Lock()
	defer m.mu.Unlock()
	include := m.relayScope(from)
	if include == nil {
		return
	}
	for _, to := range []relation{spoke, otherHub} {
		if include(to) {
			m.relayed(to).Add(now, report.Observations)
		}
	}
}
