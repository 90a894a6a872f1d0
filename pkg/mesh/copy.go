package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const copyStreamsMethod = "mesh.copy_streams"

const (
	// maxCopiedStreams is the number of origins in one response, about 25 kB.
	maxCopiedStreams = 1024
	// copyAttempts is how often an instance asks a peer for a page of its origins.
	copyAttempts = 3
	// copyRetryInterval is the time between two of these attempts.
	copyRetryInterval = 200 * time.Millisecond
	// settleTime is the time after the start in which an instance learns of all others.
	settleTime = largeFleetGossipInterval
)

// copyRequest asks for a page of the origins of streams that a peer holds.
type copyRequest struct {
	// From is the peer address of the sender.
	From string `json:"from"`
	// HeldMilliseconds is for how long the sender has held the origins of all streams of a full
	// mesh. A peer that has held them for no longer has none that the sender lacks.
	HeldMilliseconds int64 `json:"held_ms"`
	// After is the last key of the page before, or nil.
	After *origin.Key `json:"after,omitempty"`
}

// copyResponse is a page of origins.
type copyResponse struct {
	HeldMilliseconds int64       `json:"held_ms"`
	Page             origin.Page `json:"page"`
}

// copySource is a peer whose origins are to be copied.
type copySource struct {
	address string
	// all reports whether the peer may hold origins that this instance lacks although it has run
	// for longer: those of streams that began while the two were not in contact.
	all bool
}

// copyStreamsFrom copies the origins that a peer holds and this instance lacks. Origins are reported
// only once, when a stream begins, and only to the instances that are up then. m.mu must be held.
func (m *Mesh) copyStreamsFrom(source copySource) {
	if m.ctx == nil || slices.Contains(m.copySources, source) {
		return
	}
	m.copySources = append(m.copySources, source)
	if len(m.copySources) == 1 {
		m.workers.Go(func() { m.copyStreams(m.ctx) })
	}
}

// copyStreamsFromHubs copies the origins that this instance is to hold as a hub, while it finds its
// place in the fleet after its start. m.mu must be held.
func (m *Mesh) copyStreamsFromHubs(before topology) {
	if m.topology.hubs == nil || !m.topology.isHub(m.options.Self.PeerAddress) || m.options.Clock()-m.startedAt > settleTime {
		return
	}
	for _, address := range m.topology.hubList {
		if address != m.options.Self.PeerAddress && !slices.Contains(before.hubList, address) {
			m.copyStreamsFrom(copySource{address: address, all: true})
		}
	}
}

// copyStreams copies from one peer after the other, so that usually only the first one sends
// anything. It ends when no further peer is to be asked.
func (m *Mesh) copyStreams(ctx context.Context) {
	for {
		m.mu.Lock()
		if len(m.copySources) == 0 {
			m.mu.Unlock()
			return
		}
		source := m.copySources[0]
		m.mu.Unlock()
		m.copyFrom(ctx, source)
		m.mu.Lock()
		m.copySources = m.copySources[1:]
		m.mu.Unlock()
	}
}

// copyFrom copies the origins that a peer holds.
func (m *Mesh) copyFrom(ctx context.Context, source copySource) {
	request := copyRequest{From: m.options.Self.PeerAddress}
	if !source.all {
		request.HeldMilliseconds = m.heldStreamsFor().Milliseconds()
	}
	var held time.Duration
	count := 0
	for {
		response, err := m.requestCopy(ctx, source.address, request)
		if err != nil {
			m.options.Logger.Debug().Err(err).Str("address", source.address).Int("streams", count).Msg("cannot copy the origins of streams from a peer")
			return
		}
		page := response.Page
		m.options.State.AdoptStreams(page)
		if request.After == nil && types.PossibleAge(response.HeldMilliseconds) {
			held = time.Duration(response.HeldMilliseconds) * time.Millisecond
		}
		count += page.Len()
		if page.Next == nil || request.After != nil && *page.Next <= *request.After {
			break
		}
		request.After = page.Next
	}
	m.mu.Lock()
	if m.topology.hubs == nil {
		m.heldSince = min(m.heldSince, m.options.Clock()-held)
	}
	m.mu.Unlock()
	if count > 0 {
		m.options.Logger.Info().Str("address", source.address).Int("streams", count).Dur("held_ms", held).Msg("copied the origins of streams from a peer")
	}
}

// requestCopy requests one page, several times if the peer does not respond.
func (m *Mesh) requestCopy(ctx context.Context, address string, request copyRequest) (response copyResponse, err error) {
	for attempt := range copyAttempts {
		if attempt > 0 && !wait.For(ctx, copyRetryInterval) {
			break
		}
		response = copyResponse{}
		if err = m.callPeer(ctx, address, copyStreamsMethod, request, &response); err == nil {
			break
		}
	}
	return response, err
}

func (m *Mesh) callPeer(ctx context.Context, address, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Caller.Call(ctx, address, method, request, response)
}

// heldStreamsFor returns for how long this instance has held the origins of all streams of a full
// mesh, including the time before its start for which it has copied them.
func (m *Mesh) heldStreamsFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.options.Clock()-m.heldSince, 0)
}

// handleCopyStreams sends a page of the origins that this instance holds. In a fleet with hubs,
// another hub gets those that it is to hold, and other instances get none.
func (m *Mesh) handleCopyStreams(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request copyRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed request for the origins of streams")
	}
	held := m.heldStreamsFor()
	include, wanted := m.copyScope(request, held)
	if !wanted {
		return copyResponse{HeldMilliseconds: held.Milliseconds()}, nil
	}
	return copyResponse{HeldMilliseconds: held.Milliseconds(), Page: m.options.State.Streams(request.After, maxCopiedStreams, include)}, nil
}

// copyScope returns which origins a peer gets, and whether it gets any.
func (m *Mesh) copyScope(request copyRequest, held time.Duration) (include func(origin.Key) bool, wanted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topology.hubs == nil {
		return func(origin.Key) bool { return true }, request.After != nil || held.Milliseconds()-request.HeldMilliseconds > minLongerHistory.Milliseconds()
	}
	hubs := m.topology.hubList
	if !slices.Contains(hubs, request.From) {
		if !m.potentialHubs[request.From] {
			return nil, false
		}
		hubs = append(slices.Clone(hubs), request.From)
	}
	return func(key origin.Key) bool { return slices.Contains(firstFor(key, hubs, streamHolders), request.From) }, true
}
