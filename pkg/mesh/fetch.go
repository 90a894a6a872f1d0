package mesh

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// fetchNewer starts a fetch of each collection of which the peer has a newer
// revision.
func (m *Mesh) fetchNewer(heartbeat Heartbeat) {
	own := m.options.State.Revisions()
	m.noteAnnounced(own, heartbeat.Revisions)
	for collection, revision := range heartbeat.Revisions {
		if revision <= own[collection] {
			continue
		}
		m.mu.Lock()
		skip := m.fetching[collection] || m.ctx == nil
		if !skip {
			m.fetching[collection] = true
			m.workers.Go(func() { m.fetchCollection(m.ctx, heartbeat, collection) })
		}
		m.mu.Unlock()
	}
}

// fetchCollection fetches the items that are still missing after fetchDelay from
// the peer.
func (m *Mesh) fetchCollection(ctx context.Context, heartbeat Heartbeat, collection string) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetching, collection)
	}()
	if !wait.For(ctx, fetchDelay) {
		return
	}
	after := m.options.State.Revisions()[collection]
	if after >= heartbeat.Revisions[collection] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+m.late())
	defer cancel()
	var response fetchResponse
	err := m.options.Caller.Call(ctx, heartbeat.PeerAddress, fetchMethod, fetchRequest{Collection: collection, After: after, Evacuations: m.options.FollowEvacuations}, &response)
	if err != nil {
		m.options.Logger.Warn().Err(err).Str("peer", string(heartbeat.ID)).Str("collection", collection).Msg("cannot fetch items from peer")
		return
	}
	m.options.Logger.Info().Str("peer", string(heartbeat.ID)).Str("collection", collection).Uint64("after", after.Number()).
		Uint64("revision", heartbeat.Revisions[collection].Number()).Int("items", len(response.Items)).Msg("fetched from peer")
	m.options.State.HandleFetched(collection, replica.Changes(response))
	m.noteDelivered(collection, heartbeat.Revisions[collection])
}

func (m *Mesh) handleFetch(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var req fetchRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed fetch request")
	}
	changes := m.options.State.Since(req.Collection, req.After, req.Evacuations)
	if req.Evacuations && !m.options.FollowEvacuations {
		// This instance does not list the keys that the other follows.
		changes.ListedAt = 0
	}
	return fetchResponse(changes), nil
}
