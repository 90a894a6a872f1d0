package edge

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// decoder uses the value of an item as the version of the configuration. An upstream
// is ready unless its value ends with "leaving"; a number before that is when it started. The
// value "cold" means that it is cold for a minute. The value "bad" cannot be decoded. A key that begins with evacuation names an evacuated data
// centre.
type decoder struct{}

const evacuation = "evacuate/"

func (decoder) Catalog(items []replica.Item) (*catalog.Catalog, error) {
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, evacuation):
		case string(item.Value) == "bad":
			return nil, errors.New("malformed value")
		default:
			return catalog.New(catalog.Contents{Version: string(item.Value), Revision: item.Revision}), nil
		}
	}
	return nil, nil
}

func (decoder) Evacuated(items []replica.Item) map[types.DataCentre]types.Revision {
	evacuated := make(map[types.DataCentre]types.Revision)
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, evacuation); ok {
			evacuated[types.DataCentre(name)] = item.Revision
		}
	}
	return evacuated
}

func (decoder) Upstream(item replica.Item) (roster.Upstream, error) {
	if string(item.Value) == "bad" {
		return roster.Upstream{}, errors.New("malformed value")
	}
	text, leaving := strings.CutSuffix(string(item.Value), "leaving")
	started, _ := strconv.ParseInt(text, 10, 64)
	upstream := roster.Upstream{ID: types.UpstreamID(item.Key), Target: "s", Address: item.Key, DataCentre: types.DataCentre(item.Key[:1]), Slots: 1, Ready: !leaving, StartedUnixMilli: started, Revision: item.Revision}
	if text == "cold" {
		upstream.ColdFor = time.Minute
	}
	return upstream, nil
}

// newTestEdge returns an Edge that does not run and its fake clock.
func newTestEdge() (*Edge, *time.Duration) {
	now := time.Hour
	e := New(Settings{Instance: "n", PeerSecret: "x", PeerAddress: "n:1", CallerAddress: "n:2"}, Dependencies{
		Decoder:   decoder{},
		Seeds:     func() []string { return nil },
		Directory: func(func(types.Region) []string) http.Handler { return nil },
	}, zerolog.Nop())
	e.now = func() time.Duration { return now }
	return e, &now
}

func entry(key, value string, revision types.Revision) replica.Item {
	return replica.Item{Key: key, Value: []byte(value), Revision: revision}
}

// ready returns the upstreams that accept work.
func ready(e *Edge) []string {
	var ids []string
	for _, c := range e.roster.Candidates(e.now(), roster.Selection{Target: "s"}, &placement.Work{}) {
		ids = append(ids, string(c.ID))
	}
	slices.Sort(ids)
	return ids
}

func wantReady(t *testing.T, e *Edge, when string, want ...string) {
	t.Helper()
	if got := ready(e); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: ready upstreams are %v, want %v", when, got, want)
	}
}

func TestMalformedEntryIsSkipped(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1), entry("b", "bad", 2), entry("c", "", 3)}, 3, follow.Outage{})
	wantReady(t, e, "one of three is malformed", "a", "c")
	sink{e, upstreams}.Merge([]replica.Item{entry("a", "bad", 4)})
	wantReady(t, e, "another becomes malformed", "c")
}

func TestLeavingUpstreamIsRemovedImmediately(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1), entry("b", "", 2), entry("c", "", 3)}, 3, follow.Outage{})
	sink{e, upstreams}.Merge([]replica.Item{entry("a", "leaving", 4), {Key: "b", Revision: 5, Removed: true}})
	wantReady(t, e, "one upstream is leaving and one was removed", "c")
}

func TestLapsedUpstreamsAreKeptForGracePeriod(t *testing.T) {
	e, now := newTestEdge()
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1), entry("b", "", 2), entry("c", "", 3)}, 3, follow.Outage{})
	sink{e, upstreams}.Replace([]replica.Item{entry("c", "leaving", 8)}, 9, follow.Outage{Length: 8 * time.Second})
	wantReady(t, e, "entries expired during an outage", "a", "b")
	*now += time.Second
	sink{e, upstreams}.Merge([]replica.Item{entry("a", "", 10)})
	*now += lapseGracePeriod
	e.expire()
	wantReady(t, e, "one entry came back", "a")
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	e, now := newTestEdge()
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1), entry("b", "", 2)}, 3, follow.Outage{})
	sink{e, upstreams}.Replace([]replica.Item{entry("b", "", 2)}, 9, follow.Outage{})
	wantReady(t, e, "entry missing from a listing without an outage", "b")
	sink{e, upstreams}.Replace([]replica.Item{entry("b", "", 2)}, 10, follow.Outage{Length: shortOutage})
	*now += lapseGracePeriod + time.Second
	sink{e, upstreams}.Merge([]replica.Item{{Key: "b", Revision: 11, Removed: true}})
	wantReady(t, e, "entry removed after the grace period")
}

func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, configuration}.Replace([]replica.Item{entry("c", "v1", 5)}, 5, follow.Outage{})
	sink{e, configuration}.Merge([]replica.Item{entry("c", "v0", 4)})
	state{e}.HandleFetched(configuration, replica.Changes{Items: []replica.Item{entry("c", "v0", 3)}})
	if got := e.gateway.Catalog().Version; got != "v1" {
		t.Errorf("version %s is in force, want v1", got)
	}
	sink{e, configuration}.Merge([]replica.Item{entry("c", "bad", 6)})
	if got := e.gateway.Catalog().Version; got != "v1" {
		t.Errorf("after a malformed document, version %s is in force, want v1", got)
	}
	state{e}.HandleFetched(configuration, replica.Changes{Items: []replica.Item{entry("c", "v2", 7)}})
	if got := e.gateway.Catalog().Version; got != "v2" {
		t.Errorf("after a fetch from a peer, version %s is in force, want v2", got)
	}
}

// TestServingState checks that an instance is ready and listed only with a
// configuration and upstreams, and that a stopping instance is no longer listed but
// still serves requests.
func TestServingState(t *testing.T) {
	e, _ := newTestEdge()
	if e.serving() || len(e.mesh.CallerAddresses()) != 0 {
		t.Error("an instance without configuration and upstreams is serving")
	}
	sink{e, configuration}.Replace([]replica.Item{entry("c", "v1", 5)}, 5, follow.Outage{})
	if e.serving() {
		t.Error("an instance without upstreams is serving")
	}
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1)}, 5, follow.Outage{})
	if !e.serving() || len(e.mesh.CallerAddresses()) != 1 {
		t.Error("an instance with configuration and upstreams is not serving")
	}
	e.stopping.Store(true)
	if e.serving() || len(e.mesh.CallerAddresses()) != 0 || e.gateway.Catalog() == nil {
		t.Error("a stopping instance is still listed, or no longer serves requests")
	}
}

// TestStoppingInstanceReadsOnlyForItself guards against peers that learn of the end of their
// reader only from its silence.
func TestStoppingInstanceReadsOnlyForItself(t *testing.T) {
	e, _ := newTestEdge()
	e.followers = nil
	if !(state{e}).StoreReachable() {
		t.Error("an instance that reads the store does not say so")
	}
	e.stopping.Store(true)
	if (state{e}).StoreReachable() {
		t.Error("a stopping instance still says that it reads for others")
	}
}

// watchedSource is a list that never changes. It says when it is watched.
type watchedSource struct{ watched chan struct{} }

func (watchedSource) List(context.Context) ([]replica.Item, types.Revision, error) {
	return []replica.Item{entry("a", "", 1)}, 1, nil
}

func (s watchedSource) Watch(ctx context.Context, _ types.Revision, _ time.Duration) ([]replica.Item, types.Revision, error) {
	close(s.watched)
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestVersionsAreCompleteFromFirstListing guards against a history of versions that counts from
// the start of the instance or from the reading of the configuration.
func TestVersionsAreCompleteFromFirstListing(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, configuration}.Replace([]replica.Item{entry("c", "v1", 5)}, 5, follow.Outage{})
	if history := (state{e}).Versions(); history.Complete != nil {
		t.Errorf("before the list was read: %+v", history.Complete)
	}
	source := watchedSource{make(chan struct{})}
	list := e.followers[slices.IndexFunc(e.followers, func(f *follow.Follower) bool { return f.Name == upstreams })]
	list.Source = source
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = list.Run(ctx); close(ended) }()
	<-source.watched
	if history := (state{e}).Versions(); history.Complete == nil || len(history.Sightings) != 1 {
		t.Errorf("after the list was read: %+v", history)
	}
	cancel()
	<-ended
}

func TestPeerLoadIsCounted(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1)}, 1, follow.Outage{})
	loads := map[types.UpstreamID]placement.Load{"a": {ByPriority: map[int]placement.PriorityLoad{0: {Running: 5}}}}
	state{e}.HandleHeartbeat(mesh.Heartbeat{InstanceInfo: mesh.InstanceInfo{ID: "p"}, Loads: loads})
	if got := e.roster.Candidates(e.now(), roster.Selection{Target: "s"}, &placement.Work{})[0].Load.ByPriority[0].Running; got != 5 {
		t.Errorf("5 running requests reported by a peer count as %d", got)
	}
	state{e}.HandlePeerLost("p")
	if load := e.roster.Candidates(e.now(), roster.Selection{Target: "s"}, &placement.Work{})[0].Load; !load.Empty() {
		t.Errorf("the load of a lost peer is still counted: %+v", load)
	}
}

// TestGracePeriodStartsWhenStoreMayHaveRecovered checks an instance that notices the
// recovery late: the entry may belong to an upstream that left right after it.
func TestGracePeriodStartsWhenStoreMayHaveRecovered(t *testing.T) {
	e, now := newTestEdge()
	sink{e, upstreams}.Replace([]replica.Item{entry("a", "", 1), entry("b", "", 2)}, 3, follow.Outage{})
	sink{e, upstreams}.Replace([]replica.Item{entry("b", "", 2)}, 9, follow.Outage{Length: 8 * time.Second, RecoveredWithin: 500 * time.Millisecond})
	*now += lapseGracePeriod - 501*time.Millisecond
	e.expire()
	wantReady(t, e, "an entry removed up to 0.5 s ago, before the grace period ends", "a", "b")
	*now += time.Millisecond
	e.expire()
	wantReady(t, e, "after the grace period", "b")
}

// TestRemovalReachesPeerThroughStartedInstance guards against an upstream that is used for as long as
// the instance's own watch hangs, because it got what is newer than the removal from an instance
// that has started since and knows of no removal.
func TestRemovalReachesPeerThroughStartedInstance(t *testing.T) {
	running, _ := newTestEdge()
	sink{running, upstreams}.Replace([]replica.Item{entry("a", "", 5), entry("b", "", 6)}, 6, follow.Outage{})
	started, _ := newTestEdge()
	// The entry of a was removed at revision 7.
	sink{started, upstreams}.Replace([]replica.Item{entry("b", "leaving", 8), entry("c", "", 9)}, 9, follow.Outage{})
	exchange(started, running)
	wantReady(t, running, "after an exchange", "c")
	sink{started, upstreams}.Merge([]replica.Item{entry("d", "", 10)})
	exchange(started, running)
	wantReady(t, running, "after a later change", "c", "d")
}

// TestHistoryOfStoreIsReplayed guards against a history that counts as complete without a listed
// upstream, or whose removed upstreams are not seen.
func TestHistoryOfStoreIsReplayed(t *testing.T) {
	history := []replica.Item{entry("a", "", 1), entry("b", "bad", 2), entry("c", "", 3), {Key: "c", Revision: 4, Removed: true}, entry("a", "leaving", 5)}
	for name, c := range map[string]struct {
		listed   []replica.Item
		complete bool
	}{
		"all listed upstreams":  {[]replica.Item{entry("a", "leaving", 5), entry("b", "bad", 2)}, true},
		"a later one":           {[]replica.Item{entry("a", "leaving", 5), entry("d", "", 6)}, true},
		"one that is not named": {[]replica.Item{entry("a", "leaving", 5), entry("d", "", 4)}, false},
	} {
		e, _ := newTestEdge()
		sink{e, upstreams}.Replace(c.listed, 6, follow.Outage{})
		if got := e.replayHistory(history); got != c.complete {
			t.Errorf("%s: complete %t, want %t", name, got, c.complete)
		}
		if seen := (state{e}).Versions().Sightings; len(seen) != 1 || seen[0].Origin.Target != "s" {
			t.Errorf("%s: versions %v", name, seen)
		}
	}
}
