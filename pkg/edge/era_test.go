package edge

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// at returns the revision with a number in an era.
func at(era, number uint64) types.Revision {
	revision, ok := types.NewRevision(era, number)
	if !ok {
		panic("the revision is out of range")
	}
	return revision
}

func wantVersion(t *testing.T, e *Edge, when, want string) {
	t.Helper()
	if got := e.gateway.Catalog().Version; got != want {
		t.Errorf("%s: version %s is in force, want %s", when, got, want)
	}
}

// TestLaterConfigurationAtLowerRevisionTakesForce guards against waiting until the store's
// revisions have passed those of the lost history.
func TestLaterConfigurationAtLowerRevisionTakesForce(t *testing.T) {
	for _, first := range []uint64{0, 1} {
		e, _ := newTestEdge()
		store := sink{e, configuration}
		store.Replace([]replica.Item{entry("c", "7", at(first, 70))}, at(first, 70), follow.Outage{})
		store.Replace([]replica.Item{entry("c", "8", at(first+1, 60))}, at(first+1, 60), follow.Outage{})
		wantVersion(t, e, "a later version at a lower revision", "8")
		store.Merge([]replica.Item{entry("c", "9", at(first+1, 61))})
		wantVersion(t, e, "the next change", "9")
	}
}

// TestOlderConfigurationOfCopyDoesNotTakeForce guards against a revoked key that the copy still
// has, also while the lost versions are written again one after another.
func TestOlderConfigurationOfCopyDoesNotTakeForce(t *testing.T) {
	e, _ := newTestEdge()
	logs := &bytes.Buffer{}
	e.logger = zerolog.New(logs)
	store := sink{e, configuration}
	store.Replace([]replica.Item{entry("c", "7", at(0, 70))}, at(0, 70), follow.Outage{})
	store.Replace([]replica.Item{entry("c", "4", at(1, 50))}, at(1, 55), follow.Outage{})
	wantVersion(t, e, "the copy has an older version", "7")
	for i, version := range []string{"5", "6", "7"} {
		store.Merge([]replica.Item{entry("c", version, at(1, uint64(56+i)))})
		wantVersion(t, e, "version "+version+" is written again", "7")
	}
	store.Merge([]replica.Item{entry("c", "8", at(1, 59))})
	wantVersion(t, e, "the next change", "8")
	if got := strings.Count(logs.String(), "the store has an older configuration"); got != 3 {
		t.Errorf("%d lines about an older configuration, want 3", got)
	}
}

// TestStartedInstanceGetsConfigurationThatStoreHasLost guards against instances that disagree
// until the operator writes the lost version again.
func TestStartedInstanceGetsConfigurationThatStoreHasLost(t *testing.T) {
	old, _ := newTestEdge()
	started, _ := newTestEdge()
	older := []replica.Item{entry("c", "4", at(1, 50))}
	sink{old, configuration}.Replace([]replica.Item{entry("c", "7", at(0, 70))}, at(0, 70), follow.Outage{})
	sink{old, configuration}.Replace(older, at(1, 50), follow.Outage{})
	sink{started, configuration}.Replace(older, at(1, 50), follow.Outage{})
	exchange(old, started)
	wantVersion(t, started, "after an exchange with a peer", "7")
	sink{started, configuration}.Merge([]replica.Item{entry("c", "8", at(1, 51))})
	wantVersion(t, started, "the next change", "8")
	exchange(started, old)
	wantVersion(t, old, "the next change", "8")
}

// TestCarriedConfigurationIsOfferedWhateverElseChanges guards against a configuration that is
// carried at a revision below those of other keys of the collection, so that no peer fetches it.
func TestCarriedConfigurationIsOfferedWhateverElseChanges(t *testing.T) {
	old, _ := newTestEdge()
	copied := []replica.Item{entry("c", "4", at(1, 50)), entry(evacuation+"a", "{}", at(1, 55))}
	sink{old, configuration}.Replace([]replica.Item{entry("c", "7", at(0, 70))}, at(0, 70), follow.Outage{})
	sink{old, configuration}.Replace(copied, at(1, 56), follow.Outage{})
	for number := range uint64(3) {
		started, _ := newTestEdge()
		sink{started, configuration}.Replace(copied, at(1, 56+number), follow.Outage{})
		exchange(old, started)
		wantVersion(t, started, "after an exchange with a peer", "7")
		change := entry(evacuation+"a", fmt.Sprint(number), at(1, 57+number))
		copied[1] = change
		sink{old, configuration}.Merge([]replica.Item{change})
		wantVersion(t, old, "another key changes", "7")
	}
	sink{old, configuration}.Merge([]replica.Item{entry("c", "8", at(1, 60))})
	wantVersion(t, old, "the next change", "8")
}

// exchange makes an instance fetch what its peer has and it lacks.
func exchange(from, to *Edge) {
	own := state{to}.Revisions()
	for collection, revision := range (state{from}).Revisions() {
		if revision > own[collection] {
			state{to}.HandleFetched(collection, state{from}.Since(collection, own[collection], true))
		}
	}
}

// TestResponseOfEarlierEraChangesNothing guards against items of the lost history that arrive
// late, from the store or from a peer that has not seen its return.
func TestResponseOfEarlierEraChangesNothing(t *testing.T) {
	e, _ := newTestEdge()
	behind, now := newTestEdge()
	sink{e, configuration}.Replace([]replica.Item{entry("c", "7", at(1, 40))}, at(1, 40), follow.Outage{})
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", at(1, 41))}, at(1, 41), follow.Outage{})
	sink{e, configuration}.Merge([]replica.Item{entry("c", "9", at(0, 90))})
	sink{e, upstreams}.Replace([]replica.Item{entry("b", "", at(0, 91))}, at(0, 91), follow.Outage{Length: time.Minute})
	sink{behind, upstreams}.Replace([]replica.Item{entry("b", "", at(0, 91))}, at(0, 91), follow.Outage{})
	state{e}.HandleFetched(upstreams, state{behind}.Since(upstreams, 0, true))
	wantVersion(t, e, "a late response", "7")
	wantReady(t, e, "a late response", "a")
	exchange(e, behind)
	wantReady(t, behind, "the peer fetches from the instance that has seen the return", "a", "b")
	*now += lapseGracePeriod
	behind.expire()
	wantReady(t, behind, "after the grace period", "a")
}

// TestEntriesOfCopyDoNotBringBackUpstreams guards against requests to upstreams that leave or
// are gone, because the copy was made before.
func TestEntriesOfCopyDoNotBringBackUpstreams(t *testing.T) {
	for _, c := range []struct {
		when, known, copied string
		removed             bool
		want, afterwards    bool
	}{
		{"it leaves", "5leaving", "5", false, false, true},
		{"it is gone", "5", "5", true, false, true},
		{"a later process has its ID", "5leaving", "9", false, true, true},
		{"an earlier process had its ID", "9leaving", "5", false, false, true},
		{"it was ready all the time", "5", "5", false, true, true},
		{"it was not leaving yet", "5", "5leaving", false, false, false},
	} {
		e, now := newTestEdge()
		store := sink{e, upstreams}
		store.Replace([]replica.Item{entry("a", c.known, 60), entry("b", "", 5)}, 61, follow.Outage{})
		if c.removed {
			store.Merge([]replica.Item{{Key: "a", Revision: 62, Removed: true}})
		}
		check := func(when string, ready bool) {
			t.Helper()
			want := []string{"b"}
			if ready {
				want = []string{"a", "b"}
			}
			wantReady(t, e, c.when+", "+when, want...)
		}
		copied := []replica.Item{entry("a", c.copied, at(1, 50)), entry("b", "", at(1, 5))}
		store.Replace(copied, at(1, 50), follow.Outage{})
		check("the store has returned", c.want)
		store.Replace(copied, at(1, 52), follow.Outage{})
		check("the store is listed again", c.want)
		for i := range copied {
			copied[i].Revision = at(2, copied[i].Revision.Number())
		}
		store.Replace(copied, at(2, 50), follow.Outage{})
		check("the store has returned once more", c.want)
		*now += rewriteGracePeriod
		e.expire()
		check("the entry is not written again", c.afterwards)
		store.Merge([]replica.Item{entry("a", "10", at(2, 53))})
		check("the entry is written", true)
	}
}

// TestEntryOfCopyDoesNotEndColdPeriod guards against more requests than a cold upstream tolerates,
// because the copy was made before it became cold.
func TestEntryOfCopyDoesNotEndColdPeriod(t *testing.T) {
	e, _ := newTestEdge()
	store := sink{e, upstreams}
	store.Replace([]replica.Item{entry("a", "", 50)}, 50, follow.Outage{})
	store.Merge([]replica.Item{entry("a", "cold", 60)})
	check := func(when string, want bool) {
		t.Helper()
		if _, cold := e.roster.FindCold(clock.Boot(), "a"); cold != want {
			t.Errorf("%s: the upstream is cold: %t", when, cold)
		}
	}
	check("before the return", true)
	store.Replace([]replica.Item{entry("a", "", at(1, 50))}, at(1, 50), follow.Outage{})
	check("the copy has it as warm", true)
	store.Merge([]replica.Item{entry("a", "", at(1, 51))})
	check("it is written again as warm", false)
}

// TestEntryWrittenAgainEndsGracePeriod guards against a ready upstream that gets no requests
// until the end of the grace period.
func TestEntryWrittenAgainEndsGracePeriod(t *testing.T) {
	e, _ := newTestEdge()
	store := sink{e, upstreams}
	store.Replace([]replica.Item{entry("a", "leaving", 60)}, 61, follow.Outage{})
	store.Replace([]replica.Item{entry("a", "", at(1, 50))}, at(1, 50), follow.Outage{})
	wantReady(t, e, "before it is written again")
	store.Merge([]replica.Item{entry("a", "", at(1, 51))})
	wantReady(t, e, "after it is written again", "a")
}

// TestEntriesThatCopyLacksAreKeptForGracePeriod guards against losing the upstreams that have
// registered since the copy, and against keeping those of a lost history.
func TestEntriesThatCopyLacksAreKeptForGracePeriod(t *testing.T) {
	e, now := newTestEdge()
	store := sink{e, upstreams}
	store.Replace([]replica.Item{entry("a", "", 60), entry("b", "", 61), entry("c", "leaving", 62)}, 62, follow.Outage{})
	store.Replace(nil, at(1, 50), follow.Outage{})
	wantReady(t, e, "the store has returned without entries", "a", "b")
	store.Merge([]replica.Item{entry("b", "", at(1, 51))})
	*now += lapseGracePeriod
	e.expire()
	wantReady(t, e, "one entry was written again", "b")
}

// TestLostEvacuationIsKeptForGracePeriod guards against requests to a data centre whose
// evacuation the store has lost, and against one that the operator has taken back.
func TestLostEvacuationIsKeptForGracePeriod(t *testing.T) {
	start := func() (*Edge, *time.Duration, sink) {
		e, now := newTestEdge()
		sink{e, upstreams}.Replace([]replica.Item{entry("a1", "", 1), entry("b1", "", 2)}, 2, follow.Outage{})
		store := sink{e, configuration}
		store.Replace([]replica.Item{entry("config", "7", 5), entry(evacuation+"a", "{}", 9)}, 9, follow.Outage{})
		store.Replace([]replica.Item{entry("config", "7", at(1, 5))}, at(1, 6), follow.Outage{})
		wantReady(t, e, "the copy has no evacuation", "b1")
		return e, now, store
	}
	e, now, _ := start()
	*now += rewriteGracePeriod
	e.expire()
	wantReady(t, e, "it is not written again", "a1", "b1")
	e, now, store := start()
	store.Merge([]replica.Item{entry(evacuation+"a", "{}", at(1, 7))})
	*now += rewriteGracePeriod
	e.expire()
	wantReady(t, e, "it is written again", "b1")
	e, _, store = start()
	store.Merge([]replica.Item{{Key: evacuation + "a", Revision: at(1, 8), Removed: true}})
	wantReady(t, e, "it is taken back", "a1", "b1")
}
