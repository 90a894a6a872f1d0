// Package membership keeps an instance's view of the others, from the published
// list, the peers it watches itself, and the word of peers.
package membership

import "github.com/umbercrank/umbercrank/pkg/types"

// View is what an instance believes of the fleet. Implementations are safe for
// concurrent use; the returned slices belong to the caller.
type View interface {
	// Self returns this instance's own row.
	Self() types.Instance
	// Live returns the instances believed to be up and not leaving, self
	// included while it is not leaving, ordered by ID.
	Live() []types.Instance
	// Incarnation returns the last known incarnation of the instance.
	Incarnation(id types.InstanceID) (types.Incarnation, bool)
	// Instance returns the row of the instance that has the incarnation.
	Instance(incarnation types.Incarnation) (types.Instance, bool)
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// ReportFailure tells the view that a call to the instance failed.
	ReportFailure(id types.InstanceID)
}
