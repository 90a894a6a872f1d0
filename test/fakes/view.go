package fakes

import (
	"slices"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// View is a membership.View whose contents the test sets. It is safe for
// concurrent use.
type View struct {
	mu           sync.Mutex
	self         types.Instance
	live         []types.Instance
	incarnations map[types.InstanceID]types.Incarnation
	failures     []types.InstanceID
	changed      chan struct{}
}

// NewView returns a view in which only self is live.
func NewView(self types.Instance) *View {
	return &View{
		self:         self,
		live:         []types.Instance{self},
		incarnations: map[types.InstanceID]types.Incarnation{},
		changed:      make(chan struct{}),
	}
}

// SetLive replaces the live instances.
func (v *View) SetLive(live []types.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.live = slices.Clone(live)
	v.signalChange()
}

// SetIncarnation sets the incarnation of an instance.
func (v *View) SetIncarnation(id types.InstanceID, incarnation types.Incarnation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.incarnations[id] = incarnation
	v.signalChange()
}

// signalChange closes the channel that Changed has returned.
func (v *View) signalChange() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Failures returns the instances whose failures were reported, in order.
func (v *View) Failures() []types.InstanceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.failures)
}

// Self implements membership.View.
func (v *View) Self() types.Instance { return v.self }

// Live implements membership.View.
func (v *View) Live() []types.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.live)
}

// Incarnation implements membership.View.
func (v *View) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	incarnation, ok := v.incarnations[id]
	return incarnation, ok
}

// Instance implements membership.View.
func (v *View) Instance(incarnation types.Incarnation) (types.Instance, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, instance := range v.live {
		if v.incarnations[instance.ID] == incarnation {
			return instance, true
		}
	}
	return types.Instance{}, false
}

// Changed implements membership.View.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// ReportFailure implements membership.View.
func (v *View) ReportFailure(id types.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures = append(v.failures, id)
}
