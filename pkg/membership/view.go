// Package membership maintains an instance's view of the other instances. The
// view combines the published instance list, the instance's own probes, and
// gossip with peers.
package membership

import "github.com/umbercrank/umbercrank/pkg/types"

// View is one instance's view of the fleet. Implementations are safe for
// concurrent use. The caller owns the returned slices.
type View interface {
	// Self returns this instance.
	Self() types.Instance
	// Live returns the instances that are considered up and not leaving, ordered
	// by ID. It includes this instance unless it is leaving.
	Live() []types.Instance
	// Incarnation returns the last known incarnation of the instance.
	Incarnation(id types.InstanceID) (types.Incarnation, bool)
	// Instance returns the instance with the given incarnation.
	Instance(incarnation types.Incarnation) (types.Instance, bool)
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// ReportFailure informs the view that a call to the instance failed.
	ReportFailure(id types.InstanceID)
}
