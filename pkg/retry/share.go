package retry

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// learningTime is how long it may take until all instances in contact know of a new one,
	// or until an instance notices that it has lost contact.
	learningTime = 5 * time.Second
	// forgetAfter is the time without contact after which an instance has no share any more.
	// Data centres lose each other for minutes.
	forgetAfter = time.Hour
)

// Fleet is what an instance knows of the fleet that shares a budget.
type Fleet struct {
	// Known is the number of instances that may have a share, including this one and those that
	// cannot be reached.
	Known int
	// Connected reports whether this instance is in contact with a majority of the seeds, of
	// which at most one side of a partition has it, and WasConnected whether it ever was. Until
	// then it may know only a small part of the fleet.
	Connected, WasConnected bool
	// Age is the time since this instance started. An earlier process may have used its share
	// shortly before.
	Age time.Duration
	// FirstStart reports whether the fleet starts for the first time, without earlier processes.
	FirstStart bool
}

// Burst returns the part of the fleet's burst that this instance may use in a window. The sum
// over the fleet does not exceed the burst while the fleet is partitioned or restarts.
func (f Fleet) Burst(settings Settings) float64 {
	if !f.FirstStart && f.Age < settings.Window+learningTime {
		return 0
	}
	if !f.Connected && (!f.WasConnected || f.Known > settings.MinShares) {
		return 0
	}
	return settings.Burst / float64(max(f.Known, settings.MinShares, 1))
}

// Instances records which instances have been heard of. It is not safe for concurrent use.
type Instances struct {
	heard map[types.InstanceID]time.Duration
}

// NewInstances returns an empty record.
func NewInstances() *Instances { return &Instances{heard: make(map[types.InstanceID]time.Duration)} }

// Record records that an instance was last heard from at a time.
func (i *Instances) Record(id types.InstanceID, at time.Duration) {
	if last, ok := i.heard[id]; id != "" && (!ok || at > last) {
		i.heard[id] = at
	}
}

// Heard returns when each instance was last heard from, if that is less than an hour ago.
func (i *Instances) Heard(now time.Duration) map[types.InstanceID]time.Duration {
	for id, at := range i.heard {
		if now-at > forgetAfter {
			delete(i.heard, id)
		}
	}
	return i.heard
}
