package mesh

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// fullMeshLimit is the fleet size up to which every instance sends heartbeats to
	// every other. In a larger fleet, hubs aggregate loads and relay updates.
	fullMeshLimit = 16
	// hubsPerDataCentre is one hub and a standby.
	hubsPerDataCentre = 2
)

// relation is the role of another instance relative to this one.
type relation int

const (
	// meshPeer: the fleet is small and all instances exchange heartbeats directly.
	meshPeer relation = iota
	// hub: the other instance aggregates the load of this one and reports that of
	// the fleet to it.
	hub
	// spoke: this instance is the other's hub.
	spoke
	// otherHub: both instances are hubs.
	otherHub
	// distant: the instances exchange no regular heartbeats and only need to know
	// whether the other is up.
	distant
)

// topology assigns instances to hubs. All instances with the same view of the
// fleet compute the same hubs.
type topology struct {
	// hubs maps the peer address of each instance to that of its hub. A hub maps to
	// itself. The map is nil in a small fleet.
	hubs map[string]string
	// hubList has the peer addresses of all hubs.
	hubList []string
	self    string
}

// newTopology selects the instances with the largest capacity of each data centre
// as hubs.
func newTopology(self InstanceInfo, others []InstanceInfo) topology {
	t := topology{self: self.PeerAddress}
	if len(others)+1 <= fullMeshLimit {
		return t
	}
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b InstanceInfo) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	hubsByDataCentre := make(map[types.DataCentre][]InstanceInfo)
	for _, info := range all {
		if len(hubsByDataCentre[info.DataCentre]) < hubsPerDataCentre {
			hubsByDataCentre[info.DataCentre] = append(hubsByDataCentre[info.DataCentre], info)
		}
	}
	for _, hubs := range hubsByDataCentre {
		for _, info := range hubs {
			t.hubList = append(t.hubList, info.PeerAddress)
		}
	}
	t.hubs = make(map[string]string, len(all))
	for _, info := range all {
		t.hubs[info.PeerAddress] = hubOf(info, hubsByDataCentre[info.DataCentre])
	}
	return t
}

// hubOf returns the peer address of the instance's hub. Instances are spread over
// the hubs by rendezvous hashing.
func hubOf(info InstanceInfo, hubs []InstanceInfo) string {
	if slices.ContainsFunc(hubs, func(h InstanceInfo) bool { return h.PeerAddress == info.PeerAddress }) {
		return info.PeerAddress
	}
	first, _ := rendezvous.FirstOf(string(info.ID), hubs, func(h InstanceInfo) types.InstanceID { return h.ID }, nil)
	return first.PeerAddress
}

// relationTo returns the relation of the instance at the address to this one.
func (t topology) relationTo(address string) relation {
	if t.hubs == nil {
		return meshPeer
	}
	selfIsHub, otherIsHub := t.isHub(t.self), t.isHub(address)
	switch {
	case selfIsHub && otherIsHub:
		return otherHub
	case selfIsHub && t.hubs[address] == t.self:
		return spoke
	case t.hubs[t.self] == address:
		return hub
	}
	return distant
}

func (t topology) isHub(address string) bool {
	return t.hubs == nil || t.hubs[address] == address
}
