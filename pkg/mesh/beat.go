// Package mesh joins the instances of a small fleet that no list names: each
// knows a few seeds, learns of the others from its peers, and tells all of them
// about its own work. What an instance lacks of the published collections it
// fetches from a peer that is ahead.
package mesh

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Row is what the fleet knows of one instance.
type InstanceInfo struct {
	ID          types.InstanceID  `json:"id"`
	Incarnation types.Incarnation `json:"inc"`
	// Peer and Front are its addresses for peers and for callers.
	PeerAddress   string `json:"peer"`
	CallerAddress string `json:"front"`
	// DataCentre and Capacity say which instances may collect for others.
	DataCentre types.DataCentre `json:"dc,omitempty"`
	Capacity   int              `json:"cap,omitempty"`
	// Serving says that callers may be sent to it.
	Serving bool `json:"serving,omitempty"`
	// Reading says that the store answers it.
	StoreReachable bool `json:"reading,omitempty"`
}

// Sighting is a row that an instance passes on, with the time since anybody
// heard of it.
type GossipEntry struct {
	InstanceInfo
	AgeMilliseconds int64 `json:"age"`
}

// Placement tells which parts of a prompt an upstream has begun to read.
type Placement struct {
	Upstream types.UpstreamID `json:"u"`
	Parts    []string         `json:"p"`
}

// Beat is the message by which an instance tells a peer of itself. Loads and
// revisions are whole; placements and strikes are those since the last beat. A
// hub's loads are those of all that it collects from. It travels packed: decoding
// the work at a hundred upstreams from JSON took most of an instance's time.
type Heartbeat struct {
	InstanceInfo
	Loads      map[types.UpstreamID]placement.Load `json:"loads,omitempty"`
	Ejected    map[types.UpstreamID]int64          `json:"ejected,omitempty"`
	Placements []Placement                         `json:"placed,omitempty"`
	Strikes    []quarantine.Entry                  `json:"strikes,omitempty"`
	Revisions  map[string]types.Revision           `json:"rev,omitempty"`
	// Sightings are rows that the peer may lack or have in an older state.
	Gossip []GossipEntry `json:"seen,omitempty"`
	// Ages are the milliseconds since others were heard, of those that are up.
	HeardAgoMilliseconds map[types.InstanceID]int64 `json:"ages,omitempty"`
	// Hub says that the sender is told of the fleet by the receiver.
	ReceiverIsHub bool `json:"hub,omitempty"`
	// Known is the number of instances that the sender believes to be up.
	AliveCount int `json:"known,omitempty"`
}

// fetchRequest asks for the items of a collection after a revision.
type fetchRequest struct {
	Collection string         `json:"collection"`
	After      types.Revision `json:"after"`
}

// fetchAnswer has the items.
type fetchAnswer struct {
	Items []replica.Item `json:"items"`
}

const (
	beatMethod  = "mesh.beat"
	fetchMethod = "mesh.fetch"
)

// Intervals of the mesh.
const (
	// beatPause is the shortest time between two beats to one peer in a small
	// fleet: reports of work that are older than a step or two of an engine lead
	// to herds.
	beatPause = 40 * time.Millisecond
	// beatSpacing is the shortest time between any two beats of an instance, so
	// that what beats cost it does not grow with a small fleet: at 100 a second, some
	// hundredths of a core. smallFleet is the size up to which it does not count.
	beatSpacing = 10 * time.Millisecond
	smallFleet  = 4
	// beatInterval is the longest time between two beats to one peer when nothing
	// changes.
	beatInterval = 300 * time.Millisecond
	// sightingInterval is the time between two passings-on of all known rows to
	// one peer of a small fleet, to sightingPeers of them at the most. In a large
	// one hubs pass changes on at once, and all rows in the longer time, since each
	// passing-on has as many bytes as the fleet is large.
	sightingPeers         = 8
	sightingInterval      = time.Second
	largeSightingInterval = 10 * time.Second
	// agesInterval is the time between two passings-on of who is up.
	agesInterval = 500 * time.Millisecond
	// relayPause is the shortest time between two beats between an instance and
	// its hub, and between hubs, of a large fleet: half of the age that placement
	// there allows for.
	relayPause = 125 * time.Millisecond
	// silentAfter is the time without a beat after which callers are no longer sent
	// to an instance: four beats, and one more where a busy hub collects.
	silentAfter      = 4 * beatInterval
	silentAfterLarge = 5 * beatInterval
	// distantSilentAfter is the same for instances that only hubs hear: a beat to
	// the hub, one between hubs and one from the hub, each of them late.
	distantSilentAfter = 3 * time.Second
	// forgetAfter is the time after which a silent instance is forgotten; until
	// then it is tried again, as a partition may heal.
	forgetAfter = time.Minute
	// retryInterval is the time between two tries at a silent instance.
	retryInterval = time.Second
	// idlePause is the time after which an instance looks again whether to tell a
	// distant one; what changes that wakes it.
	idlePause = 10 * time.Second
	// introduction is the shortest time between two beats to a distant instance
	// that knows less of the fleet.
	introduction = time.Second
	// fetchPause gives the store itself time to bring what a peer has already.
	fetchPause = 150 * time.Millisecond
	// callTimeout bounds one message; peers are some milliseconds away.
	callTimeout = 700 * time.Millisecond
	// maxPending bounds the placements and strikes that wait for a slow peer.
	maxPending = 256
)
