package mesh

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// meshLimit is the fleet up to which every instance tells every other of its
	// work. In a larger one hubs collect and pass on.
	meshLimit = 16
	// hubsPerDataCentre is one and its stand-in.
	hubsPerDataCentre = 2
)

// relation is what an instance is to another.
type relation int

const (
	// equal: both belong to a small fleet, and tell each other all.
	equal relation = iota
	// hub: the other collects this instance's work and tells it of the fleet's.
	hub
	// spoke: this instance is the other's hub.
	spoke
	// fellow: both are hubs.
	fellow
	// distant: they only need to know that the other is up.
	distant
)

// layout is who collects whose work. All instances that see the same fleet have
// the same hubs.
type layout struct {
	// hubs has the hub of each instance by peer address; it is nil in a small
	// fleet. A hub is its own.
	hubs map[string]string
	self string
}

// layoutOf chooses the largest instances of each data centre as hubs.
func layoutOf(self InstanceInfo, others []InstanceInfo) layout {
	l := layout{self: self.PeerAddress}
	if len(others)+1 <= meshLimit {
		return l
	}
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b InstanceInfo) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	byCentre := make(map[types.DataCentre][]InstanceInfo)
	for _, row := range all {
		if len(byCentre[row.DataCentre]) < hubsPerDataCentre {
			byCentre[row.DataCentre] = append(byCentre[row.DataCentre], row)
		}
	}
	l.hubs = make(map[string]string, len(all))
	for _, row := range all {
		l.hubs[row.PeerAddress] = hubOf(row, byCentre[row.DataCentre])
	}
	return l
}

// hubOf returns the peer address of the instance's hub, spread over the hubs.
func hubOf(row InstanceInfo, hubs []InstanceInfo) string {
	if slices.ContainsFunc(hubs, func(h InstanceInfo) bool { return h.PeerAddress == row.PeerAddress }) {
		return row.PeerAddress
	}
	first, _ := rendezvous.FirstOf(string(row.ID), hubs, func(h InstanceInfo) types.InstanceID { return h.ID }, nil)
	return first.PeerAddress
}

// relationTo returns what the instance at the address is to this one.
func (l layout) relationTo(address string) relation {
	if l.hubs == nil {
		return equal
	}
	selfIsHub, otherIsHub := l.isHub(l.self), l.isHub(address)
	switch {
	case selfIsHub && otherIsHub:
		return fellow
	case selfIsHub && l.hubs[address] == l.self:
		return spoke
	case l.hubs[l.self] == address:
		return hub
	}
	return distant
}

func (l layout) isHub(address string) bool {
	return l.hubs == nil || l.hubs[address] == address
}
