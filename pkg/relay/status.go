package relay

import (
	"sync/atomic"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// counters are the relay's counts since the start.
type counters struct {
	serviceReads     atomic.Int64
	serviceFailures  atomic.Int64
	peerCalls        atomic.Int64
	peerFailures     atomic.Int64
	partsFromService atomic.Int64
	partsFromPeers   atomic.Int64
	applied          atomic.Int64
	rejected         atomic.Int64
}

// Status is the state of a relay as shown to operators.
type Status struct {
	Revision types.Revision       `json:"revision"`
	Digest   configservice.Digest `json:"digest"`
	// Serving reports whether the instance has been admitted.
	Serving bool `json:"serving"`
	// Reader reports whether the instance watches the configuration service for its
	// data centre.
	Reader           bool  `json:"reader"`
	ServiceReads     int64 `json:"service_reads"`
	ServiceFailures  int64 `json:"service_failures"`
	PeerCalls        int64 `json:"peer_calls"`
	PeerFailures     int64 `json:"peer_failures"`
	PartsFromService int64 `json:"parts_from_service"`
	PartsFromPeers   int64 `json:"parts_from_peers"`
	Applied          int64 `json:"applied"`
	Rejected         int64 `json:"rejected"`
}

// Status returns the current state and the counts since the start.
func (r *Relay) Status() Status {
	current, _ := r.inForce()
	c := &r.counters
	return Status{
		Revision:         current.Revision,
		Digest:           current.Digest,
		Serving:          r.serving(),
		Reader:           r.isReader(),
		ServiceReads:     c.serviceReads.Load(),
		ServiceFailures:  c.serviceFailures.Load(),
		PeerCalls:        c.peerCalls.Load(),
		PeerFailures:     c.peerFailures.Load(),
		PartsFromService: c.partsFromService.Load(),
		PartsFromPeers:   c.partsFromPeers.Load(),
		Applied:          c.applied.Load(),
		Rejected:         c.rejected.Load(),
	}
}
