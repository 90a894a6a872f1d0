package mesh

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// InstanceInfo is the gossiped description of one instance.
type InstanceInfo struct {
	ID          types.InstanceID  `json:"id"`
	Incarnation types.Incarnation `json:"inc"`
	// PeerAddress and CallerAddress are the addresses at which the instance accepts
	// connections from peers and from callers.
	PeerAddress   string `json:"peer"`
	CallerAddress string `json:"front"`
	// DataCentre and Capacity determine which instances are hubs.
	DataCentre types.DataCentre `json:"dc,omitempty"`
	Capacity   int              `json:"cap,omitempty"`
	// Serving reports whether callers may be sent to the instance.
	Serving bool `json:"serving,omitempty"`
	// StoreReachable reports whether others may rely on the instance to read the store.
	StoreReachable bool `json:"reading,omitempty"`
}

// GossipEntry is the description of an instance as relayed by another one, with
// the time since the instance was last heard from.
type GossipEntry struct {
	InstanceInfo
	AgeMilliseconds int64 `json:"age"`
}

// CachedSegments reports which segments of a prompt an upstream has prefilled and
// therefore caches.
type CachedSegments struct {
	Upstream types.UpstreamID `json:"u"`
	Segments []string         `json:"p"`
}

// Heartbeat is the message by which an instance reports its state to a peer.
// Loads and Revisions are complete; CachedSegments and QuarantineEntries are those
// since the previous heartbeat. A full heartbeat has all quarantine entries, and
// gossip entries of all instances that are up. The loads sent by a hub include
// those of the instances that it aggregates. Heartbeats are encoded with peer.Pack
// because decoding the loads of a hundred upstreams from JSON took most of the
// processor time of an instance. Instances of the previous release cannot decode a
// heartbeat with another number of fields.
type Heartbeat struct {
	InstanceInfo
	Loads             map[types.UpstreamID]placement.Load `json:"loads,omitempty"`
	Ejected           map[types.UpstreamID]int64          `json:"ejected,omitempty"`
	CachedSegments    []CachedSegments                    `json:"placed,omitempty"`
	QuarantineEntries []quarantine.Entry                  `json:"strikes,omitempty"`
	Revisions         map[string]types.Revision           `json:"rev,omitempty"`
	// Gossip has the entries that the peer may lack or may have in an older version.
	Gossip []GossipEntry `json:"seen,omitempty"`
	// AgesMilliseconds is the time since each instance that is up was last heard
	// from.
	AgesMilliseconds map[types.InstanceID]int64 `json:"ages,omitempty"`
	// ReceiverIsHub reports whether the sender uses the receiver as its hub.
	ReceiverIsHub bool `json:"hub,omitempty"`
	// AliveCount is the number of instances that are up according to the sender.
	AliveCount int `json:"known,omitempty"`
}

// fetchRequest requests the items of a collection that are newer than a revision.
type fetchRequest struct {
	Collection string         `json:"collection"`
	After      types.Revision `json:"after"`
	// Evacuations reports whether the sender follows the keys of evacuated data centres. An
	// instance that does not, such as one of the previous release, would take keys that it
	// got from a peer for removed ones after its next listing, and tell its peers so.
	Evacuations bool `json:"evacuations,omitempty"`
}

// fetchResponse carries the requested items. Instances of the previous release leave ListedAt
// out.
type fetchResponse struct {
	Items    []replica.Item `json:"items"`
	ListedAt types.Revision `json:"listed,omitempty"`
}

const (
	heartbeatMethod = "mesh.beat"
	fetchMethod     = "mesh.fetch"
)

// Timing and size limits of the mesh.
const (
	// minHeartbeatInterval is the shortest time between two heartbeats to one peer
	// in a small fleet. If load reports are older than one or two engine steps,
	// several instances pick the same upstream (herding).
	minHeartbeatInterval = 40 * time.Millisecond
	// heartbeatSpacing is the shortest time between any two heartbeats of an
	// instance in a full mesh. It bounds the cost of heartbeats at 100 per second, a
	// few hundredths of a core, however many peers there are. It does not apply to
	// fleets of up to smallFleet instances.
	heartbeatSpacing = 10 * time.Millisecond
	smallFleet       = 4
	// lateStretch is how late an instance is that sends half as many heartbeats.
	lateStretch = 25 * time.Millisecond
	// maxHeartbeatInterval is the longest time between two heartbeats to one peer
	// when nothing changes.
	maxHeartbeatInterval = 300 * time.Millisecond
	// gossipInterval is the time between two full heartbeats to one peer of a full
	// mesh. It is stretched in a mesh of more than gossipPeers instances, so that an
	// instance sends at most gossipPeers full heartbeats per interval. In a fleet
	// with hubs, the hubs relay changes at once and send full heartbeats only every
	// largeFleetGossipInterval, because their size grows with the fleet.
	gossipPeers              = 8
	gossipInterval           = time.Second
	largeFleetGossipInterval = 10 * time.Second
	// agesInterval is the time between two reports of AgesMilliseconds to one
	// peer.
	agesInterval = 500 * time.Millisecond
	// minHubHeartbeatInterval is the shortest time between two heartbeats between an
	// instance and its hub, and between hubs. It is half of the load report age that
	// placement allows for in a large fleet.
	minHubHeartbeatInterval = 125 * time.Millisecond
	// downAfter is the time without a heartbeat after which an instance counts as
	// down and callers are no longer sent to it: four heartbeat intervals.
	// downAfterLargeFleet adds one interval for a busy hub.
	downAfter           = 4 * maxHeartbeatInterval
	downAfterLargeFleet = 5 * maxHeartbeatInterval
	// distantDownAfter is the same timeout for instances whose state arrives only
	// through hubs. It covers one late heartbeat on each hop: to the hub, between
	// hubs and from the hub.
	distantDownAfter = 3 * time.Second
	// maxLate bounds the time that is added to these timeouts while this instance is late.
	maxLate = time.Second
	// removeAfter is the time after which an instance that is down is removed. Until
	// then it is retried, because a network partition may heal.
	removeAfter = time.Minute
	// downRetryInterval is the time between two attempts to reach an instance that
	// is down.
	downRetryInterval = time.Second
	// distantRecheckInterval is the time after which an instance checks again
	// whether to send to a distant one. Changes that require a heartbeat wake it
	// earlier.
	distantRecheckInterval = 10 * time.Second
	// introductionInterval is the shortest time between two heartbeats to a distant
	// instance that knows fewer members of the fleet.
	introductionInterval = time.Second
	// fetchDelay gives the local watch time to deliver what a peer already has.
	fetchDelay = 150 * time.Millisecond
	// callTimeout bounds one message. The round trip to a peer is a few
	// milliseconds.
	callTimeout = 700 * time.Millisecond
	// maxPending bounds each of the queues of cached segments, quarantine entries, gossip
	// entries and streams for a slow peer.
	maxPending = 256
)
