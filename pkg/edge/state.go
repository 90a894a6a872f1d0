package edge

import (
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Names of the published collections.
const (
	configuration = "configuration"
	upstreams     = "upstreams"
)

const (
	// lapseGracePeriod is how long an upstream stays in use after the store recovers
	// if its entry was removed during the outage. A live upstream writes its entry
	// again within that time.
	lapseGracePeriod = 2 * time.Second
	// shortOutage is the length of a store outage up to which no entry expires.
	shortOutage = time.Second
	// expireInterval is the time between two checks of the lapsed upstreams.
	expireInterval = 100 * time.Millisecond
)

// lapsedUpstreams holds upstreams whose entries were removed during a store
// outage. They stay in use until the grace period ends.
type lapsedUpstreams struct {
	// until is the end of the grace period, which starts when the store recovers.
	until time.Duration
	kept  map[string]replica.Item
}

// sink applies what the follower of one collection reads.
type sink struct {
	edge *Edge
	name string
}

// Replace implements follow.Sink.
func (s sink) Replace(items []replica.Item, at types.Revision, outage follow.Outage) {
	e := s.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.set(s.name)
	if at.Era() < set.LatestRevision().Era() {
		return
	}
	if s.name == upstreams && outage.Length > shortOutage {
		// The entry of an upstream that left for good may have been removed as soon as
		// the store recovered.
		e.lapsed.until = e.now() + lapseGracePeriod - outage.RecoveredWithin
	}
	before := e.live(s.name)
	if beginsEra(set, at) {
		e.enterEra(s.name, "store", set, items, at)
	}
	e.apply(s.name, "store", before, set.Replace(items, at))
}

// replayHistory records the versions of all upstreams that were ever listed. It reports whether the
// changes include the upstreams that are listed now.
func (e *Edge) replayHistory(changes []replica.Item) (complete bool) {
	var versions []origin.Origin
	written := make(map[string]bool)
	var latest types.Revision
	for _, change := range changes {
		written[change.Key], latest = true, max(latest, change.Revision)
		if change.Removed {
			continue
		}
		// An entry that cannot be decoded names no upstream to use.
		if upstream, err := e.deps.Decoder.Upstream(change); err == nil {
			versions = append(versions, origin.Origin{Target: upstream.Target, Version: upstream.Version})
		}
	}
	e.gateway.RecordVersions(versions)
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.upstreams.Live(), func(item replica.Item) bool { return item.Revision <= latest && !written[item.Key] })
}

// beginsEra reports whether the revision is of a later era than what the set holds.
func beginsEra(set *replica.Set, at types.Revision) bool {
	return set.LatestRevision() > 0 && at.Era() > set.LatestRevision().Era()
}

// Merge implements follow.Sink.
func (s sink) Merge(items []replica.Item) {
	s.edge.merge(s.name, "store", replica.Changes{Items: items})
}

func (e *Edge) merge(name, source string, changes replica.Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.set(name)
	before := e.live(name)
	at := changes.ListedAt
	for _, item := range changes.Items {
		at = max(at, item.Revision)
	}
	if beginsEra(set, at) {
		// A peer has listed the whole collection in the new era.
		changes.ListedAt = at
		e.enterEra(name, source, set, changes.Items, at)
	}
	changed := set.Apply(changes)
	e.apply(name, source, before, append(changed, e.writtenAgain(changes.Items, changed)...))
}

func (e *Edge) set(name string) *replica.Set {
	if name == configuration {
		return e.configuration
	}
	return e.upstreams
}

// apply puts changes into effect. e.mu must be held.
func (e *Edge) apply(name, source string, before, changes []replica.Item) {
	if len(changes) == 0 {
		return
	}
	if name == configuration {
		// The keys of evacuated data centres take effect before a first configuration lets
		// the instance serve, and also if that cannot be decoded.
		e.applyEvacuations(source, changes)
		e.applyConfiguration(source)
	} else {
		e.keepLapsed(before, changes)
		e.applyUpstreams(source, changes)
	}
	e.mesh.ReportChange()
}

func (e *Edge) applyConfiguration(source string) {
	published := e.configuration.Live()
	next, err := e.deps.Decoder.Catalog(published)
	if err != nil {
		e.logger.Error().Err(err).Uint64("revision", e.configuration.LatestRevision().Number()).Str("source", source).Msg("cannot decode the configuration, keeping the one in force")
		return
	}
	if next == nil {
		return
	}
	if current := e.gateway.Catalog(); current != nil {
		switch {
		case current.Revision == next.Revision && current.Revision.IsCarried() && e.configuration.LatestRevision() > current.Revision:
			e.carryConfiguration()
			return
		case current.Revision >= next.Revision:
			return
		case isReverted(current, next):
			e.logger.Warn().Str("version", next.Version).Str("in_force", current.Version).Uint64("era", next.Revision.Era()).
				Uint64("revision", next.Revision.Number()).Str("source", source).Msg("the store has an older configuration, keeping the one in force")
			e.carryConfiguration()
			return
		}
	}
	e.gateway.Apply(next)
	if index := slices.IndexFunc(published, func(item replica.Item) bool { return item.Revision == next.Revision }); index >= 0 {
		e.inForce = published[index]
	}
	e.logger.Info().Str("version", next.Version).Uint64("era", next.Revision.Era()).Uint64("revision", next.Revision.Number()).Str("source", source).Msg("configuration in force")
}

// keepLapsed keeps the removed upstreams during the grace period.
func (e *Edge) keepLapsed(before, changes []replica.Item) {
	if e.now() >= e.lapsed.until {
		return
	}
	for _, item := range changes {
		for _, old := range before {
			if item.Removed && old.Key == item.Key {
				if e.lapsed.kept == nil {
					e.lapsed.kept = make(map[string]replica.Item)
				}
				e.lapsed.kept[item.Key] = old
			}
		}
	}
}

// applyUpstreams updates the roster with the whole list. e.mu must be held.
func (e *Edge) applyUpstreams(source string, changes []replica.Item) {
	var list []roster.Upstream
	items := e.live(upstreams)
	for _, item := range items {
		delete(e.lapsed.kept, item.Key)
	}
	for _, item := range e.lapsed.kept {
		items = append(items, item)
	}
	for _, item := range items {
		upstream, err := e.deps.Decoder.Upstream(item)
		if err != nil {
			if e.undecodable[item.Key] != item.Revision {
				e.undecodable[item.Key] = item.Revision
				e.logger.Warn().Err(err).Str("key", item.Key).Uint64("revision", item.Revision.Number()).Msg("entry names no upstream")
			}
			continue
		}
		list = append(list, upstream)
	}
	e.gateway.UpdateUpstreams(list)
	for _, item := range changes {
		event := e.logger.Info().Str("key", item.Key).Uint64("era", item.Revision.Era()).Uint64("revision", item.Revision.Number()).Str("source", source)
		if upstream, err := e.deps.Decoder.Upstream(item); err == nil {
			event = event.Str("address", upstream.Address).Str("version", string(upstream.Version)).Bool("ready", upstream.Ready)
		}
		event.Bool("removed", item.Removed).Int("upstreams", len(list)).Msg("upstream changed")
	}
}

// expireLoop drops lapsed upstreams and lost history after their grace periods, and reports what differs
// from what peers suspect of parts of prompts, and which upstreams have become warm.
func (e *Edge) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.expire()
			e.gateway.ReportCorrections()
			e.gateway.ReportCold()
		}
	}
}

func (e *Edge) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLost()
	if len(e.lapsed.kept) == 0 || e.now() < e.lapsed.until {
		return
	}
	e.logger.Info().Int("upstreams", len(e.lapsed.kept)).Msg("dropping upstreams whose entries expired during the store outage")
	e.lapsed.kept = nil
	e.applyUpstreams("grace", nil)
}

// state gives the mesh access to an Edge.
type state struct{ edge *Edge }

var _ mesh.State = state{}

// Serving implements mesh.State.
func (s state) Serving() bool { return s.edge.serving() }

// StoreReachable implements mesh.State. A stopping instance gives up reading for others
// while it still reads, so that they begin before it ends.
func (s state) StoreReachable() bool { return s.edge.storeReachable() && !s.edge.stopping.Load() }

// Loads implements mesh.State.
func (s state) Loads(peers map[types.InstanceID]bool) map[types.UpstreamID]placement.Load {
	return s.edge.roster.Loads(s.edge.now(), peers)
}

// Ejected implements mesh.State.
func (s state) Ejected() map[types.UpstreamID]time.Duration {
	return s.edge.roster.Ejected(s.edge.now())
}

// Revisions implements mesh.State.
func (s state) Revisions() map[string]types.Revision {
	e := s.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]types.Revision{configuration: e.configuration.LatestRevision(), upstreams: e.upstreams.LatestRevision()}
}

// Since implements mesh.State.
func (s state) Since(collection string, after types.Revision, evacuations bool) replica.Changes {
	e := s.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := e.set(collection).Since(after)
	if collection == configuration && !evacuations {
		changes.Items = e.withoutEvacuations(changes.Items)
	}
	return changes
}

// QuarantineEntries implements mesh.State.
func (s state) QuarantineEntries() []quarantine.Entry { return s.edge.gateway.QuarantineEntries() }

// FindStream implements mesh.State.
func (s state) FindStream(key origin.Key) (origin.Origin, bool) {
	return s.edge.gateway.FindStream(key)
}

// Streams implements mesh.State.
func (s state) Streams(after *origin.Key, limit int, include func(origin.Key) bool) origin.Page {
	return s.edge.gateway.Streams(after, limit, include)
}

// AdoptStreams implements mesh.State.
func (s state) AdoptStreams(page origin.Page) { s.edge.gateway.AdoptStreams(page) }

// Versions implements mesh.State.
func (s state) Versions() origin.History { return s.edge.gateway.Versions() }

// HandleStreams implements mesh.State.
func (s state) HandleStreams(batches []origin.Batch, versions *origin.History) {
	s.edge.gateway.MergeStreams(batches, versions)
}

// Limits implements mesh.State.
func (s state) Limits() map[types.UpstreamID]permit.Observation { return s.edge.gateway.Limits() }

// HandleLimits implements mesh.State.
func (s state) HandleLimits(from types.InstanceID, limits map[types.UpstreamID]permit.Observation) map[types.UpstreamID]permit.Observation {
	return s.edge.gateway.MergeLimits(from, limits)
}

// IssuePermit implements mesh.State.
func (s state) IssuePermit(request permit.Request, share float64) permit.Reply {
	return s.edge.gateway.IssuePermit(request, share)
}

// RetainPermits implements mesh.State.
func (s state) RetainPermits(issues func(types.UpstreamID) bool) {
	s.edge.gateway.RetainPermits(issues)
}

// Leaving implements mesh.State.
func (s state) Leaving() []roster.Process { return s.edge.roster.Leaving() }

// HandleLeaving implements mesh.State.
func (s state) HandleLeaving(from types.InstanceID, processes []roster.Process) []roster.Process {
	return s.edge.gateway.MergeLeaving(from, processes)
}

// HandleEnded implements mesh.State.
func (s state) HandleEnded(from types.InstanceID, processes []roster.Process) []roster.Process {
	return s.edge.gateway.MergeEnded(from, processes)
}

// CorrectedLoads implements mesh.State.
func (s state) CorrectedLoads(upstreams []types.UpstreamID) map[types.UpstreamID]placement.Load {
	return s.edge.gateway.CorrectedLoads(upstreams)
}

// HandleReservation implements mesh.State.
func (s state) HandleReservation(from types.InstanceID, change reservation.Change) {
	s.edge.gateway.ApplyReservation(from, change)
}

// RetainReservations implements mesh.State.
func (s state) RetainReservations(keeps func(types.UpstreamID) bool) {
	s.edge.gateway.RetainReservations(keeps)
}

// HandleHeartbeat implements mesh.State.
func (s state) HandleHeartbeat(heartbeat mesh.Heartbeat) {
	now := s.edge.now()
	ejected := make(map[types.UpstreamID]time.Duration, len(heartbeat.Ejected))
	for id, remaining := range heartbeat.Ejected {
		ejected[id] = time.Duration(remaining) * time.Millisecond
	}
	for id, remaining := range s.edge.roster.ApplyPeerReport(now, heartbeat.ID, heartbeat.Loads, ejected) {
		s.edge.gateway.LogEjection(id, remaining, "peer", string(heartbeat.ID))
	}
	for _, cached := range heartbeat.CachedSegments {
		s.edge.roster.AddCachedSegments(now, cached.Upstream, cached.Segments)
	}
	s.edge.gateway.MergeQuarantineEntries(heartbeat.QuarantineEntries)
}

// HandleFetched implements mesh.State.
func (s state) HandleFetched(collection string, changes replica.Changes) {
	s.edge.merge(collection, "peer", changes)
}

// HandlePeerLost implements mesh.State.
func (s state) HandlePeerLost(id types.InstanceID) { s.edge.roster.RemovePeer(id) }
