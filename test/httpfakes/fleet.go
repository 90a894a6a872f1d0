package httpfakes

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Fleet is a set of instances whose membership the test sets. It is safe for
// concurrent use.
type Fleet struct {
	mu      sync.Mutex
	members map[types.Incarnation]types.Instance
}

// NewFleet returns a fleet without instances.
func NewFleet() *Fleet {
	return &Fleet{members: make(map[types.Incarnation]types.Instance)}
}

// Add adds the incarnation of the instance.
func (f *Fleet) Add(incarnation types.Incarnation, instance types.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[incarnation] = instance
}

// Remove removes the incarnation.
func (f *Fleet) Remove(incarnation types.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, incarnation)
}

// View returns the membership view of the instance self.
func (f *Fleet) View(self types.Instance) *FleetView { return &FleetView{fleet: f, self: self} }

// FleetView implements membership.View for one instance of a Fleet.
type FleetView struct {
	fleet *Fleet
	self  types.Instance
}

// Self implements membership.View.
func (v *FleetView) Self() types.Instance { return v.self }

// Live implements membership.View. The order is unspecified.
func (v *FleetView) Live() []types.Instance {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var live []types.Instance
	for _, instance := range v.fleet.members {
		live = append(live, instance)
	}
	return live
}

// Incarnation implements membership.View.
func (v *FleetView) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	for incarnation, instance := range v.fleet.members {
		if instance.ID == id {
			return incarnation, true
		}
	}
	return "", false
}

// Instance implements membership.View.
func (v *FleetView) Instance(incarnation types.Incarnation) (types.Instance, bool) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	instance, ok := v.fleet.members[incarnation]
	return instance, ok
}

// Changed implements membership.View. The channel is never closed.
func (v *FleetView) Changed() <-chan struct{} { return make(chan struct{}) }

// ReportFailure implements membership.View and does nothing.
func (v *FleetView) ReportFailure(types.InstanceID) {}
