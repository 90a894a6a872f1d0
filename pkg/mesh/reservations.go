package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	loadsMethod       = "mesh.loads"
	reservationMethod = "mesh.reserve"
)

const (
	// loadsTimeout bounds the query for current loads. The round trip to a peer is a few
	// milliseconds; a caller's request waits for it, and is placed by the reports otherwise.
	loadsTimeout = 30 * time.Millisecond
	// maxQueriedLoads bounds the upstreams of one query.
	maxQueriedLoads = 16
	// KeeperReportAge is the mean age of the load reports that a hub has: a heartbeat from
	// the instance to its hub, the time until the hub sums up its reports, and for most
	// instances a heartbeat between hubs.
	KeeperReportAge = minHubHeartbeatInterval + minHubHeartbeatInterval/4
)

// loadsRequest asks the keeper of the upstreams' reservations for their current load.
type loadsRequest struct {
	Upstreams []types.UpstreamID `json:"upstreams"`
}

// loadsResponse has the loads of the upstreams that the keeper knows.
type loadsResponse struct {
	Loads map[types.UpstreamID]placement.Load `json:"loads"`
}

// QueryLoads asks the keepers of the upstreams' reservations for the current loads. Upstreams
// whose keeper does not reply in time are missing in the result.
func (m *Mesh) QueryLoads(ctx context.Context, upstreams []types.UpstreamID) map[types.UpstreamID]placement.Load {
	serving := m.options.State.Serving()
	byKeeper := make(map[string][]types.UpstreamID)
	for _, id := range upstreams {
		keeper := m.hubFor(id, serving)
		byKeeper[keeper] = append(byKeeper[keeper], id)
	}
	loads := make(map[types.UpstreamID]placement.Load, len(upstreams))
	if own, ok := byKeeper[m.options.Self.PeerAddress]; ok {
		maps.Copy(loads, m.options.State.CorrectedLoads(own))
		delete(byKeeper, m.options.Self.PeerAddress)
	}
	replies := make(chan loadsResponse, len(byKeeper))
	for address, ids := range byKeeper {
		go func() { replies <- m.fetchLoads(address, ids) }()
	}
	timeout := time.NewTimer(loadsTimeout)
	defer timeout.Stop()
	for range byKeeper {
		select {
		case reply := <-replies:
			maps.Copy(loads, reply.Loads)
		case <-timeout.C:
			return loads
		case <-ctx.Done():
			return loads
		}
	}
	return loads
}

// fetchLoads asks one keeper. The call may outlive the query, so that a connection that is
// established meanwhile serves the next one.
func (m *Mesh) fetchLoads(address string, ids []types.UpstreamID) loadsResponse {
	ctx, cancel := context.WithTimeout(m.lifetime(), callTimeout)
	defer cancel()
	var reply loadsResponse
	if err := m.options.Caller.Call(ctx, address, loadsMethod, loadsRequest{ids}, &reply); err != nil {
		m.options.Logger.Debug().Err(err).Str("address", address).Msg("no current loads from the keeper")
		return loadsResponse{}
	}
	return reply
}

// ReportReservation tells the keeper of the upstream's reservations of a change. The message
// may be lost: the load reports contain the request as well, only later.
func (m *Mesh) ReportReservation(change reservation.Change) {
	address := m.hubFor(change.Upstream, m.options.State.Serving())
	if address == m.options.Self.PeerAddress {
		m.options.State.HandleReservation(m.options.Self.ID, change)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(m.lifetime(), callTimeout)
		defer cancel()
		if err := m.options.Caller.Notify(ctx, address, reservationMethod, change); err != nil {
			m.options.Logger.Debug().Err(err).Str("address", address).Msg("the keeper was not told of a reservation")
		}
	}()
}

// handleLoads answers a peer's query for current loads.
func (m *Mesh) handleLoads(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request loadsRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed query for loads")
	}
	if len(request.Upstreams) > maxQueriedLoads {
		return nil, fault.New(fault.BadRequest, "too many upstreams in a query for loads")
	}
	return loadsResponse{m.options.State.CorrectedLoads(request.Upstreams)}, nil
}

// handleReservation records a peer's reservation.
func (m *Mesh) handleReservation(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var change reservation.Change
	if err := json.Unmarshal(params, &change); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed reservation")
	}
	m.options.State.HandleReservation(from.Instance, change)
	return struct{}{}, nil
}
