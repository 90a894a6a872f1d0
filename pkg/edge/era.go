package edge

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// rewriteGracePeriod is how long what this instance knows from an earlier era takes precedence
// over the older state in the store's copy. The operator and the upstreams write what was lost
// again within 2 s, and the entry of an upstream that has ended expires after three of its
// heartbeats.
const rewriteGracePeriod = 5 * time.Second

// lostHistory holds what this instance knows from an earlier era of the store that the copy
// from which the store has returned does not have.
type lostHistory struct {
	// until is the end of rewriteGracePeriod.
	until time.Duration
	// entries are the last known states of upstreams that the copy has in an older state.
	entries map[string]supersededEntry
	// evacuations are the data centres whose evacuation the copy does not have, with the
	// revisions of their keys. listedAt is the revision of the listing that shows it.
	evacuations map[types.DataCentre]types.Revision
	listedAt    types.Revision
}

// supersededEntry is the last known state of an upstream, which may be a tombstone, and the
// revision of the older one in the copy.
type supersededEntry struct {
	known  replica.Item
	copied types.Revision
}

// enterEra is called before a set takes the first items of a new era. e.mu must be held.
func (e *Edge) enterEra(name, source string, set *replica.Set, items []replica.Item, at types.Revision) {
	e.lost.until = e.now() + rewriteGracePeriod
	kept := 0
	if name == configuration {
		e.keepEvacuations(items, at)
		kept = len(e.lost.evacuations)
	} else {
		e.lapsed.until = max(e.lapsed.until, e.now()+lapseGracePeriod)
		e.keepSuperseding(set, items)
		kept = len(e.lost.entries)
	}
	before := set.LatestRevision()
	e.logger.Warn().Str("collection", name).Str("source", source).Uint64("era_before", before.Era()).Uint64("revision_before", before.Number()).
		Uint64("era", at.Era()).Uint64("revision", at.Number()).Int("items", len(items)).Int("kept", kept).Msg("the collection has a new era")
}

// keepSuperseding keeps the states of upstreams that are later than those in the listing.
func (e *Edge) keepSuperseding(set *replica.Set, items []replica.Item) {
	entries := make(map[string]supersededEntry)
	for _, item := range items {
		known, ok := e.lastKnown(set, item.Key)
		if ok && !item.Removed && e.supersedes(known, item) {
			entries[item.Key] = supersededEntry{known, item.Revision}
		}
	}
	e.lost.entries = entries
}

// lastKnown returns the state of an upstream that is in use, which may be a tombstone.
func (e *Edge) lastKnown(set *replica.Set, key string) (replica.Item, bool) {
	if lapsed, ok := e.lapsed.kept[key]; ok {
		return lapsed, true
	}
	held, ok := set.Find(key)
	if superseded, found := e.lost.entries[key]; found && superseded.copied == held.Revision {
		return superseded.known, true
	}
	return held, ok
}

// supersedes reports whether the known state of an upstream is later than the listed one: it
// has been removed, a later process has its ID, it leaves, or it is cold for longer.
func (e *Edge) supersedes(known, listed replica.Item) bool {
	if known.Removed {
		return true
	}
	before, err := e.deps.Decoder.Upstream(known)
	if err != nil {
		return false
	}
	after, err := e.deps.Decoder.Upstream(listed)
	if err != nil {
		return false
	}
	if before.StartedUnixMilli != after.StartedUnixMilli {
		return before.StartedUnixMilli > after.StartedUnixMilli
	}
	if before.Ready != after.Ready {
		return after.Ready
	}
	return before.ColdFor > after.ColdFor
}

// live returns the items of a collection in their last known states. e.mu must be held.
func (e *Edge) live(name string) []replica.Item {
	items := e.set(name).Live()
	if name == configuration || len(e.lost.entries) == 0 {
		return items
	}
	var live []replica.Item
	for _, item := range items {
		if latest, ok := e.latest(item); ok {
			live = append(live, latest)
		}
	}
	return live
}

// latest returns the state of an upstream to use instead of an item of the list, or false if
// the upstream is gone. e.mu must be held.
func (e *Edge) latest(item replica.Item) (replica.Item, bool) {
	superseded, ok := e.lost.entries[item.Key]
	if !ok {
		return item, true
	}
	if superseded.copied != item.Revision {
		delete(e.lost.entries, item.Key)
		return item, true
	}
	return superseded.known, !superseded.known.Removed
}

// keepEvacuations keeps the evacuations that the listing does not have.
func (e *Edge) keepEvacuations(items []replica.Item, at types.Revision) {
	listed := make(map[types.DataCentre]bool)
	for _, item := range items {
		for dataCentre := range e.deps.Decoder.Evacuated([]replica.Item{item}) {
			listed[dataCentre] = !item.Removed
		}
	}
	e.lost.evacuations, e.lost.listedAt = make(map[types.DataCentre]types.Revision), at
	for dataCentre, revision := range e.evacuated {
		if !listed[dataCentre] {
			e.lost.evacuations[dataCentre] = revision
		}
	}
}

// addLostEvacuations adds the evacuations that the store has lost to the published ones, unless
// the operator has written their keys again. e.mu must be held.
func (e *Edge) addLostEvacuations(published map[types.DataCentre]types.Revision, changes []replica.Item) {
	changed := e.deps.Decoder.Evacuated(changes)
	for dataCentre, revision := range e.lost.evacuations {
		if _, ok := published[dataCentre]; ok || changed[dataCentre] > e.lost.listedAt {
			delete(e.lost.evacuations, dataCentre)
			continue
		}
		published[dataCentre] = revision
	}
}

// writtenAgain returns the items that were written in the new era with the value that the copy
// has, so that they are no changes of the set, but end the precedence of what was known before.
func (e *Edge) writtenAgain(items, changes []replica.Item) []replica.Item {
	var written []replica.Item
	for _, item := range items {
		if slices.ContainsFunc(changes, func(change replica.Item) bool { return change.Key == item.Key }) {
			continue
		}
		superseded, ok := e.lost.entries[item.Key]
		ok = ok && item.Revision > superseded.copied
		for dataCentre, revision := range e.deps.Decoder.Evacuated([]replica.Item{item}) {
			_, lost := e.lost.evacuations[dataCentre]
			ok = ok || lost && revision > e.lost.listedAt
		}
		if ok {
			written = append(written, item)
		}
	}
	return written
}

// expireLost ends the precedence of what is known from an earlier era. e.mu must be held.
func (e *Edge) expireLost() {
	if e.now() < e.lost.until || len(e.lost.entries)+len(e.lost.evacuations) == 0 {
		return
	}
	e.logger.Info().Int("upstreams", len(e.lost.entries)).Int("evacuations", len(e.lost.evacuations)).Msg("dropping what was not written again in the new era")
	e.lost = lostHistory{}
	e.applyEvacuations("grace", nil)
	e.applyUpstreams("grace", nil)
}

// isReverted reports whether the next configuration is an older one than the current one, which
// is of an earlier era. Within an era, revisions define the order.
func isReverted(current, next *catalog.Catalog) bool {
	return next.Revision.CrossesEra(current.Revision) && next.HasEarlierVersion(current)
}

// carryConfiguration keeps the configuration in force in place of an older one in the store's
// new era. Peers that have the older one fetch it, since its revision is above all others of the
// collection; the set has every change up to them. e.mu must be held.
func (e *Edge) carryConfiguration() {
	carried := e.inForce
	carried.Revision = e.configuration.LatestRevision().Carried()
	e.configuration.Merge([]replica.Item{carried})
	current, err := e.deps.Decoder.Catalog([]replica.Item{carried})
	if err != nil || current == nil {
		return
	}
	e.inForce = carried
	e.gateway.Apply(current)
}
