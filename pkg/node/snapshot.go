package node

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/entry"
	"github.com/umbercrank/umbercrank/pkg/rules"
)

// storeView lets the entry read the configuration in force.
type storeView struct {
	store *config.Store
}

// Current returns the configuration in force, or nil before the first.
func (v storeView) Current() entry.Snapshot {
	current := v.store.Current()
	if current == nil {
		return nil
	}
	return snapshotView{current}
}

// snapshotView classifies with the rules of one configuration.
type snapshotView struct {
	*config.Snapshot
}

// Classify returns the decision of the first rule that matches.
func (v snapshotView) Classify(a entry.Attributes) (entry.Decision, error) {
	d, err := v.Snapshot.Classify(rules.Attributes(a))
	return entry.Decision(d), err
}
