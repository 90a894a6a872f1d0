package edge

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// newEvacuationEdge returns an Edge with upstreams in three data centres, and its log.
func newEvacuationEdge() (*Edge, *bytes.Buffer) {
	e, _ := newTestEdge()
	logs := &bytes.Buffer{}
	e.logger = zerolog.New(logs)
	sink{e, upstreams}.Replace([]replica.Item{entry("a1", "", 1), entry("a2", "", 2), entry("b1", "", 3), entry("c1", "", 4)}, 4, follow.Outage{})
	return e, logs
}

// TestEvacuationFollowsKeys covers keys of several data centres, their removal and return, and
// items that arrive late.
func TestEvacuationFollowsKeys(t *testing.T) {
	e, logs := newEvacuationEdge()
	store := sink{e, configuration}
	store.Replace([]replica.Item{entry("config", "v1", 5)}, 5, follow.Outage{})
	wantReady(t, e, "without keys", "a1", "a2", "b1", "c1")
	store.Merge([]replica.Item{entry(evacuation+"a", "{}", 6), entry(evacuation+"b", "malformed", 7)})
	wantReady(t, e, "two data centres are evacuated", "c1")
	if got := e.evacuatedDataCentres(); !reflect.DeepEqual(got, []types.DataCentre{"a", "b"}) {
		t.Errorf("evacuated data centres: %v", got)
	}
	if !e.serving() || e.gateway.Catalog().Version != "v1" {
		t.Error("the evacuation ends the service or the configuration in force")
	}
	store.Merge([]replica.Item{{Key: evacuation + "a", Revision: 8, Removed: true}})
	wantReady(t, e, "one evacuation ended", "a1", "a2", "c1")
	store.Merge([]replica.Item{entry(evacuation+"a", "{}", 6)})
	wantReady(t, e, "an old key arrives late", "a1", "a2", "c1")
	store.Merge([]replica.Item{entry(evacuation+"a", "{}", 9), entry(evacuation+"c", "{}", 10)})
	wantReady(t, e, "all data centres are evacuated")
	if !e.serving() {
		t.Error("an instance whose upstreams are all evacuated is not ready")
	}
	store.Merge([]replica.Item{{Key: evacuation + "a", Revision: 8, Removed: true}})
	wantReady(t, e, "an old removal arrives late")
	store.Merge([]replica.Item{entry("config", "bad", 11), {Key: evacuation + "b", Revision: 12, Removed: true}})
	wantReady(t, e, "a change beside a malformed configuration", "b1")
	store.Replace([]replica.Item{entry(evacuation+"b", "{}", 13)}, 14, follow.Outage{})
	wantReady(t, e, "a listing after the history was discarded, without a configuration", "a1", "a2", "c1")
	if got := e.gateway.Catalog().Version; got != "v1" {
		t.Errorf("without a published configuration, version %q is in force, want v1", got)
	}
	for _, want := range []string{
		`"data_centre":"a","source":"store","revision":6,"upstreams":2,"message":"data centre evacuated"`,
		`"data_centre":"a","source":"store","revision":8,"upstreams":2,"message":"evacuation of a data centre ended"`,
	} {
		if count := strings.Count(logs.String(), want); count != 1 {
			t.Errorf("%d log lines with %s", count, want)
		}
	}
}

// TestEvacuationIsInForceWhenInstanceStarts guards against an instance that serves before it
// knows of an evacuation that is older than its start.
func TestEvacuationIsInForceWhenInstanceStarts(t *testing.T) {
	e, _ := newEvacuationEdge()
	sink{e, configuration}.Replace([]replica.Item{entry("config", "v1", 5), entry(evacuation+"a", "{}", 3)}, 7, follow.Outage{})
	if e.gateway.Catalog() == nil {
		t.Fatal("no configuration is in force")
	}
	wantReady(t, e, "after the first listing", "b1", "c1")
}

// TestPeerRelaysEvacuation checks an instance without the store, and what an instance gets that
// does not follow evacuations.
func TestPeerRelaysEvacuation(t *testing.T) {
	reader, _ := newEvacuationEdge()
	other, logs := newEvacuationEdge()
	relay := func() {
		after := state{other}.Revisions()[configuration]
		state{other}.HandleFetched(configuration, state{reader}.Since(configuration, after, true))
	}
	sink{reader, configuration}.Replace([]replica.Item{entry("config", "v1", 5), entry(evacuation+"a", "{}", 6)}, 6, follow.Outage{})
	relay()
	wantReady(t, other, "a peer reports the evacuation", "b1", "c1")
	sink{reader, configuration}.Merge([]replica.Item{{Key: evacuation + "a", Revision: 8, Removed: true}})
	relay()
	wantReady(t, other, "a peer reports its end", "a1", "a2", "b1", "c1")
	if got := strings.Count(logs.String(), `"source":"peer","revision":8,"upstreams":2`); got != 1 {
		t.Errorf("the end is logged %d times: %s", got, logs)
	}
	if items := (state{reader}).Since(configuration, 0, false).Items; len(items) != 1 || items[0].Key != "config" {
		t.Errorf("an instance that does not follow evacuations gets %v", items)
	}
	if items := (state{reader}).Since(upstreams, 0, false).Items; len(items) != 4 {
		t.Errorf("an instance that does not follow evacuations gets %d upstreams", len(items))
	}
}
