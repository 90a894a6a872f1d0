package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	streamsMethod    = "mesh.streams"
	findStreamMethod = "mesh.find_stream"
)

const (
	// streamHolders is the number of hubs that hold the origin of a stream in a fleet
	// with hubs, besides the hub of the instance that began it.
	streamHolders = 2
	// findTimeout bounds the search for the origin of a stream. The round trip to a
	// peer is a few milliseconds, and callers time out after 2 s without an event.
	findTimeout = 400 * time.Millisecond
	// findInterval is the time after which a fleet with hubs is searched again. The
	// origin of a stream that has just begun takes up to two heartbeats to its holders.
	findInterval = minHubHeartbeatInterval
	// minLongerHistory is by how much the history of a peer must be longer for this instance to
	// ask for it. The histories of instances that have run for long differ by the delay of
	// messages.
	minLongerHistory = time.Second
)

// streamsReport tells a peer of streams. It follows a heartbeat.
type streamsReport struct {
	// From is the peer address of the sender.
	From string `json:"from"`
	// Streams has the streams that began since the previous report.
	Streams []origin.Batch `json:"streams,omitempty"`
	// Relayed has the streams that the receiver, a hub, passes on to those of its spokes that
	// are their backups. Instances of earlier releases ignore it.
	Relayed []origin.Batch `json:"relayed,omitempty"`
	// Versions is what the sender knows of the upstreams' versions. It follows full
	// heartbeats.
	Versions *origin.History `json:"versions,omitempty"`
}

// streamRequest asks for the origin of a stream.
type streamRequest struct {
	Key origin.Key `json:"key"`
}

// streamResponse is the origin of the stream if the peer knows it.
type streamResponse struct {
	Known  bool          `json:"known,omitempty"`
	Origin origin.Origin `json:"origin"`
	// Versions is what the peer knows of the upstreams' versions if it does not know the
	// stream. Instances of earlier releases leave it out.
	Versions *origin.History `json:"versions,omitempty"`
}

// ReportStream reports to the peers which origin a stream has that this instance has
// begun to pass to its caller.
func (m *Mesh) ReportStream(stream origin.Stream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passed.add(m.options.Clock(), stream)
	m.queueStreams("", []origin.Stream{stream})
	m.wakeSenders()
}

// queueStreams queues the origins of streams for the peers that hold them. This
// instance's own go to all peers of a full mesh or to its hub, and a hub passes all
// that it gets to the holders and backups of each stream. m.mu must be held.
func (m *Mesh) queueStreams(from string, streams []origin.Stream) {
	if from == "" {
		for address, member := range m.members {
			if relation := m.relation(address); !member.down && (relation == meshPeer || relation == hub) {
				member.pending.streams = appendBounded(member.pending.streams, streams)
			}
		}
	}
	if m.topology.hubs == nil || !m.topology.isHub(m.options.Self.PeerAddress) {
		return
	}
	for _, stream := range streams {
		for _, address := range m.holders(stream.Key) {
			if member, ok := m.members[address]; ok && !member.down && address != from {
				member.pending.queueStream(stream)
				member.wakeSender()
			}
		}
	}
	m.queueForBackups(from, streams, false)
}

// holders returns the addresses of the hubs that hold the origin of the stream. m.mu
// must be held.
func (m *Mesh) holders(key origin.Key) []string {
	return firstFor(key, m.topology.hubList, streamHolders)
}

// sendStreams sends the pending streams, and after a full heartbeat also the versions.
func (m *Mesh) sendStreams(ctx context.Context, address string, to *memberState, full bool) error {
	report := streamsReport{From: m.options.Self.PeerAddress}
	if full {
		versions := m.options.State.Versions()
		report.Versions = &versions
	}
	m.mu.Lock()
	report.Streams = origin.Batches(to.pending.streams)
	report.Relayed = origin.Batches(to.pending.relayed)
	to.pending.streams, to.pending.relayed = nil, nil
	m.mu.Unlock()
	if len(report.Streams) == 0 && len(report.Relayed) == 0 && report.Versions == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Caller.Notify(ctx, address, streamsMethod, report)
}

// handleStreams processes a peer's report of streams. A hub passes those of its spokes on
// to their holders and backups, and those that another hub relays to its spokes.
func (m *Mesh) handleStreams(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var report streamsReport
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed report of streams")
	}
	m.options.State.HandleStreams(report.Streams, unconfirmed(report.Versions))
	m.queryLongerHistory(report)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relation(report.From) == spoke {
		for _, batch := range report.Streams {
			m.passed.add(m.options.Clock(), batch.Streams()...)
			m.queueStreams(report.From, batch.Streams())
		}
	}
	for _, batch := range report.Relayed {
		m.queueForBackups(report.From, batch.Streams(), true)
	}
	return struct{}{}, nil
}

// unconfirmed returns a history that confirms nothing. It is unknown when a message was sent that
// this instance has not asked for: it may have arrived during a suspension, or the connection may
// have delivered it late. Its sightings only make versions look newer, which is safe.
func unconfirmed(versions *origin.History) *origin.History {
	if versions == nil {
		return nil
	}
	sightings := *versions
	sightings.Complete = nil
	return &sightings
}

// queryLongerHistory asks a peer for its history if its report shows that it knows the versions
// of a longer time than this instance, which has started later: the peer may end before a
// resumed stream needs it. An instance that does not read the store does not ask.
func (m *Mesh) queryLongerHistory(report streamsReport) {
	if report.Versions == nil || report.Versions.Complete == nil {
		return
	}
	own, reported := m.options.State.Versions().Complete, report.Versions.Complete
	if own == nil || reported.FromMilliseconds-own.FromMilliseconds <= minLongerHistory.Milliseconds() || reported.ToMilliseconds > own.FromMilliseconds {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.members[report.From]; !known || m.queryingHistory || m.ctx == nil {
		return
	}
	m.queryingHistory = true
	m.workers.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, findTimeout)
		defer cancel()
		m.queryVersionsOf(ctx, []string{report.From})
		m.mu.Lock()
		defer m.mu.Unlock()
		m.queryingHistory = false
	})
}

// FindStream asks the peers that may hold the origin of a stream. Conclusive reports
// whether a stream that is not found is unknown to the fleet: all of these peers have
// responded, and no other instance is lost. In a fleet with hubs it asks the backups if the hubs
// do not know the stream or are silent for findInterval, and asks again until findTimeout. If the
// timeout cuts off a repetition, the repetition before it decides.
func (m *Mesh) FindStream(ctx context.Context, key origin.Key) (found origin.Origin, ok, conclusive bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var unknown bool
	for first := true; ; first = false {
		addresses, backups, all := m.streamPeers(key)
		if len(addresses)+len(backups) == 0 {
			return origin.Origin{}, false, all
		}
		found, ok, conclusive = m.askForStream(ctx, addresses, backups, key)
		if ctx.Err() != nil {
			conclusive = conclusive || unknown
		}
		conclusive = conclusive && (ok || all)
		if ok || !m.hasHubs() || !wait.For(ctx, findInterval) {
			return found, ok, conclusive
		}
		// The first search may have been too early for a stream that has just begun.
		unknown = conclusive && !first
	}
}

// QueryVersions asks the peers what they know of the upstreams' versions: all of a full mesh,
// or the hub and the instances that read the store for the others, because hubs that do not
// read may know the list only as of 10 s ago. It reports whether all of them have responded, and no
// other instance is lost.
func (m *Mesh) QueryVersions(ctx context.Context) (conclusive bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses, all := m.versionPeers()
	if len(addresses) == 0 {
		return all
	}
	return m.queryVersionsOf(ctx, addresses) && all
}

// queryVersionsOf asks the peers at the addresses what they know of the upstreams' versions.
func (m *Mesh) queryVersionsOf(ctx context.Context, addresses []string) (conclusive bool) {
	// No stream has this key.
	_, _, conclusive = m.askForStream(ctx, addresses, nil, origin.Key(rand.Uint64()))
	return conclusive
}

// versionPeers returns the addresses of the live peers to ask for the versions, and whether no
// other instance may know further ones.
func (m *Mesh) versionPeers() (addresses []string, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	readers := m.readers()
	return m.peersWith(func(address string) bool { return slices.Contains(readers, address) })
}

// hasHubs reports whether the fleet is so large that it has hubs.
func (m *Mesh) hasHubs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology.hubs != nil
}

// askForStream asks the peers at the addresses for the origin of a stream, and hands over
// what they know of the versions. Those in second are asked if the first do not know it or have not
// responded after findInterval. A peer has replied after it was asked, so its reply confirms
// nothing later than that.
func (m *Mesh) askForStream(ctx context.Context, first, second []string, key origin.Key) (found origin.Origin, ok, conclusive bool) {
	replies := make(chan streamReply, len(first)+len(second))
	m.requestStream(ctx, first, key, replies)
	missing := len(first)
	askSecond := func() {
		m.requestStream(ctx, second, key, replies)
		missing, second = missing+len(second), nil
	}
	late := time.NewTimer(findInterval)
	defer late.Stop()
	conclusive = true
	for missing > 0 || len(second) > 0 {
		if missing == 0 {
			askSecond()
		}
		select {
		case <-late.C:
			askSecond()
		case r := <-replies:
			missing--
			if r.err != nil {
				conclusive = false
				m.options.Logger.Debug().Err(r.err).Msg("a peer did not say whether it knows the origin of a stream")
			}
			if r.err == nil && r.Known {
				return r.Origin, true, true
			}
			if r.Versions != nil {
				versions := r.Versions.Received(m.options.Clock() - r.asked)
				m.options.State.HandleStreams(nil, &versions)
			}
		}
	}
	return origin.Origin{}, false, conclusive
}

// streamReply is the reply of a peer that was asked for the origin of a stream.
type streamReply struct {
	streamResponse
	// asked is when the peer was asked.
	asked time.Duration
	err   error
}

// requestStream asks the peers at the addresses for the origin of a stream.
func (m *Mesh) requestStream(ctx context.Context, addresses []string, key origin.Key, replies chan<- streamReply) {
	asked := m.options.Clock()
	for _, address := range addresses {
		go func() {
			r := streamReply{asked: asked}
			r.err = m.options.Caller.Call(ctx, address, findStreamMethod, streamRequest{Key: key}, &r.streamResponse)
			replies <- r
		}()
	}
}

// streamPeers returns the addresses of the live peers to ask for the origin of a
// stream, those of its backups, and whether no other instance may know it.
func (m *Mesh) streamPeers(key origin.Key) (addresses, backups []string, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	holders := m.holders(key)
	addresses, all = m.peersWith(func(address string) bool { return slices.Contains(holders, address) })
	return addresses, m.backupsToAsk(key, addresses), all
}

// peersWith returns the addresses of the live peers of a full mesh, or of the hub and those
// that are included, and whether no other instance may know of a stream. m.mu must be held.
func (m *Mesh) peersWith(included func(address string) bool) (addresses []string, all bool) {
	for address, member := range m.members {
		if member.down {
			continue
		}
		if relation := m.relation(address); relation == meshPeer || relation == hub || included(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, m.everyOtherIsUp()
}

// everyOtherIsUp reports whether all other instances that may have begun streams lately are up:
// all that were heard from in the last hour, except those that have stopped serving. Instances
// on the other side of a partition may use upstreams of which this side does not know. m.mu must
// be held.
func (m *Mesh) everyOtherIsUp() bool {
	up := make(map[types.InstanceID]bool)
	for _, member := range m.members {
		up[member.info.ID] = up[member.info.ID] || !member.down
	}
	heard := m.instances.Heard(m.options.Clock())
	maps.DeleteFunc(m.stopped, func(id types.InstanceID, _ bool) bool { _, ok := heard[id]; return !ok })
	for id := range heard {
		if id != m.options.Self.ID && !up[id] && !m.stopped[id] {
			return false
		}
	}
	return true
}

// handleFindStream answers a peer that looks for the origin of a stream.
func (m *Mesh) handleFindStream(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request streamRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed request for the origin of a stream")
	}
	found, ok := m.options.State.FindStream(request.Key)
	if ok {
		return streamResponse{Known: true, Origin: found}, nil
	}
	versions := m.options.State.Versions()
	return streamResponse{Versions: &versions}, nil
}
