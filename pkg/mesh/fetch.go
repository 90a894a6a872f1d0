package mesh

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// compare fetches what the peer is ahead with.
func (m *Mesh) compare(beat Heartbeat) {
	own := m.options.State.Revisions()
	for collection, revision := range beat.Revisions {
		if revision <= own[collection] {
			continue
		}
		m.mu.Lock()
		busy := m.fetching[collection] || m.ctx == nil
		if !busy {
			m.fetching[collection] = true
			m.workers.Go(func() { m.fetch(m.ctx, beat, collection) })
		}
		m.mu.Unlock()
	}
}

// fetch asks a peer for the items that are still lacking after a pause.
func (m *Mesh) fetch(ctx context.Context, beat Heartbeat, collection string) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetching, collection)
	}()
	if !wait.For(ctx, fetchPause) {
		return
	}
	after := m.options.State.Revisions()[collection]
	if after >= beat.Revisions[collection] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer fetchAnswer
	err := m.options.Caller.Call(ctx, beat.PeerAddress, fetchMethod, fetchRequest{Collection: collection, After: after}, &answer)
	if err != nil {
		m.options.Logger.Warn().Err(err).Str("peer", string(beat.ID)).Str("collection", collection).Msg("cannot fetch from peer")
		return
	}
	m.options.Logger.Info().Str("peer", string(beat.ID)).Str("collection", collection).Uint64("after", uint64(after)).
		Uint64("revision", uint64(beat.Revisions[collection])).Int("items", len(answer.Items)).Msg("fetched from peer")
	m.options.State.HandleFetched(collection, answer.Items)
}

func (m *Mesh) handleFetch(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request fetchRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the request cannot be read")
	}
	return fetchAnswer{Items: m.options.State.Since(request.Collection, request.After)}, nil
}
