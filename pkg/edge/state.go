package edge

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Names of the published collections.
const (
	configuration = "configuration"
	upstreams     = "upstreams"
)

const (
	// lapseGrace is how long an upstream stays that was removed while the store
	// was away: its entry is written again within that time if it lives.
	lapseGrace = 2 * time.Second
	// shortOutage is the outage of the store below which no entry lapses.
	shortOutage = time.Second
	// expireInterval is the time between two looks at the lapsed entries.
	expireInterval = 100 * time.Millisecond
)

// grace keeps the upstreams whose entries lapsed for a while.
type grace struct {
	// until ends the grace after the store's return.
	until time.Duration
	kept  map[string]replica.Item
}

// sink takes what a follower reads.
type sink struct {
	edge *Edge
	name string
}

// Replace takes a whole reading.
func (s sink) Replace(items []replica.Item, at types.Revision, outage time.Duration) {
	e := s.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.set(s.name)
	if s.name == upstreams && outage > shortOutage {
		e.grace.until = e.now() + lapseGrace
	}
	before := set.Live()
	e.took(s.name, "store", before, set.Replace(items, at))
}

// Merge takes changes.
func (s sink) Merge(items []replica.Item) { s.edge.merge(s.name, "store", items) }

func (e *Edge) merge(name, source string, items []replica.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.set(name)
	before := set.Live()
	e.took(name, source, before, set.Merge(items))
}

func (e *Edge) set(name string) *replica.Set {
	if name == configuration {
		return e.configuration
	}
	return e.upstreams
}

// took applies what changed; e.mu is held.
func (e *Edge) took(name, source string, before, news []replica.Item) {
	if len(news) == 0 {
		return
	}
	if name == configuration {
		e.applyConfiguration(source)
	} else {
		e.keepLapsed(before, news)
		e.applyUpstreams(source, news)
	}
	e.mesh.Changed()
}

func (e *Edge) applyConfiguration(source string) {
	next, err := e.ports.Decoder.Catalog(e.configuration.Live())
	if err != nil {
		e.logger.Error().Err(err).Uint64("revision", uint64(e.configuration.LatestRevision())).Str("source", source).Msg("configuration cannot be read, the one in force stays")
		return
	}
	if next == nil {
		return
	}
	if current := e.gateway.Catalog(); current != nil && current.Revision >= next.Revision {
		return
	}
	e.gateway.Apply(next)
	e.logger.Info().Str("version", next.Version).Uint64("revision", uint64(next.Revision)).Str("source", source).Msg("configuration in force")
}

// keepLapsed keeps the removed upstreams while the grace lasts.
func (e *Edge) keepLapsed(before, news []replica.Item) {
	if e.now() >= e.grace.until {
		return
	}
	for _, item := range news {
		for _, old := range before {
			if item.Removed && old.Key == item.Key {
				if e.grace.kept == nil {
					e.grace.kept = make(map[string]replica.Item)
				}
				e.grace.kept[item.Key] = old
			}
		}
	}
}

// applyUpstreams gives the roster the whole list; e.mu is held.
func (e *Edge) applyUpstreams(source string, news []replica.Item) {
	var list []roster.Upstream
	present := e.upstreams.Live()
	for _, item := range present {
		delete(e.grace.kept, item.Key)
	}
	for _, item := range e.grace.kept {
		present = append(present, item)
	}
	for _, item := range present {
		upstream, err := e.ports.Decoder.Upstream(item)
		if err != nil {
			if e.unreadable[item.Key] != item.Revision {
				e.unreadable[item.Key] = item.Revision
				e.logger.Warn().Err(err).Str("key", item.Key).Uint64("revision", uint64(item.Revision)).Msg("entry names no upstream")
			}
			continue
		}
		list = append(list, upstream)
	}
	e.roster.Update(list)
	for _, item := range news {
		event := e.logger.Info().Str("key", item.Key).Uint64("revision", uint64(item.Revision)).Str("source", source)
		if upstream, err := e.ports.Decoder.Upstream(item); err == nil {
			event = event.Str("address", upstream.Address).Bool("ready", upstream.Ready)
		}
		event.Bool("removed", item.Removed).Int("upstreams", len(list)).Msg("upstream changed")
	}
}

// expireLoop drops lapsed upstreams when the grace is over.
func (e *Edge) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.expire()
		}
	}
}

func (e *Edge) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.grace.kept) == 0 || e.now() < e.grace.until {
		return
	}
	e.logger.Info().Int("upstreams", len(e.grace.kept)).Msg("lapsed upstreams dropped")
	e.grace.kept = nil
	e.applyUpstreams("grace", nil)
}

// state is what the mesh sees of an edge.
type state struct{ edge *Edge }

var _ mesh.State = state{}

// Serving implements mesh.State.
func (s state) Serving() bool { return s.edge.serving() }

// Reading implements mesh.State.
func (s state) StoreReachable() bool { return s.edge.reading() }

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
func (s state) Since(collection string, after types.Revision) []replica.Item {
	e := s.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set(collection).Since(after)
}

// Strikes implements mesh.State.
func (s state) Strikes() []quarantine.Entry { return s.edge.gateway.Strikes() }

// Hear implements mesh.State.
func (s state) HandleHeartbeat(beat mesh.Heartbeat) {
	now := s.edge.now()
	ejected := make(map[types.UpstreamID]time.Duration, len(beat.Ejected))
	for id, rest := range beat.Ejected {
		ejected[id] = time.Duration(rest) * time.Millisecond
	}
	s.edge.roster.ApplyPeerReport(now, beat.ID, beat.Loads, ejected)
	for _, placed := range beat.Placements {
		s.edge.roster.AddCachedParts(now, placed.Upstream, placed.Parts)
	}
	s.edge.gateway.Merge(beat.Strikes)
}

// Fetched implements mesh.State.
func (s state) HandleFetched(collection string, items []replica.Item) {
	s.edge.merge(collection, "peer", items)
}

// Lost implements mesh.State.
func (s state) HandlePeerLost(id types.InstanceID) { s.edge.roster.RemovePeer(id) }
