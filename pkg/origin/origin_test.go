package origin

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func of(target types.TargetName, version types.SoftwareVersion) Origin {
	return Origin{Target: target, Version: version}
}

func TestOriginIsKeptForItsLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(0)
		recorded := make(map[Key]time.Duration)
		origins := make(map[Key]Origin)
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "streams") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			key := KeyOf(types.RequestID(fmt.Sprint(i)))
			origins[key] = of("s", types.SoftwareVersion(rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "version")))
			recorded[key] = now
			table.Record(now, Stream{Key: key, Origin: origins[key]})
			for key, at := range recorded {
				origin, ok := table.Lookup(key)
				if now-at <= MinLifetime && !ok {
					t.Fatalf("the origin of %d is lost after %v", key, now-at)
				}
				if ok && origin != origins[key] {
					t.Fatalf("the origin of %d is %v, want %v", key, origin, origins[key])
				}
			}
		}
		if len(table.recent)+len(table.earlier) > len(recorded) {
			t.Fatalf("%d origins of %d streams", len(table.recent)+len(table.earlier), len(recorded))
		}
	})
}

func TestOriginsAreDroppedAfterTwoLifetimes(t *testing.T) {
	table := NewTable(0)
	table.Record(0, Stream{Key: 1, Origin: of("s", "v1")})
	for now := time.Duration(0); now <= 2*MinLifetime; now += MinLifetime / 4 {
		table.Record(now, Stream{Key: 2, Origin: of("s", "v1")})
	}
	if _, ok := table.Lookup(1); ok {
		t.Error("an origin is kept for more than two lifetimes")
	}
}

// TestConflictingRecordsMakeOriginAmbiguous guards against a stream that goes on at the
// version of another one, because the caller has used one request ID for both or because a
// peer reports an old record.
func TestConflictingRecordsMakeOriginAmbiguous(t *testing.T) {
	table := NewTable(0)
	table.Record(0, Stream{Key: 1, Origin: of("s", "v1")})
	table.Record(0, Stream{Key: 1, Origin: of("s", "v1")})
	if origin, ok := table.Lookup(1); origin != of("s", "v1") || !ok {
		t.Errorf("the same origin recorded twice: %v, %v", origin, ok)
	}
	for _, version := range []types.SoftwareVersion{"v2", "v1"} {
		table.Record(0, Stream{Key: 1, Origin: of("s", version)})
		if origin, ok := table.Lookup(1); origin != (Origin{}) || !ok {
			t.Errorf("two origins recorded: %v, %v", origin, ok)
		}
	}
}

func read(from, to time.Duration) Span { return Span{from, to} }

// wantOnly checks what OnlyVersion returns for the service "s". The version "" means that
// there is none or more than one.
func wantOnly(t *testing.T, table *Table, now time.Duration, when string, want types.SoftwareVersion, wantComplete bool) {
	t.Helper()
	version, complete, ok := table.OnlyVersion(now, "s", table.Lifetime())
	if ok != (want != "") || ok && version != want || complete != wantComplete {
		t.Errorf("%s: version %q, only one: %v, complete: %v; want %q, complete: %v", when, version, ok, complete, want, wantComplete)
	}
}

func TestOnlyVersion(t *testing.T) {
	const l = MinLifetime
	table := NewTable(0)
	wantOnly(t, table, 0, "before any upstream", "", false)
	table.Observe(0, []Origin{of("s", "v1"), of("other", "v2")})
	table.Confirm(read(0, 0))
	wantOnly(t, table, 0, "after the start", "v1", false)
	table.Confirm(read(0, l))
	wantOnly(t, table, l, "after a lifetime", "v1", true)
	table.Observe(l, []Origin{of("s", "v1"), of("s", "v2")})
	wantOnly(t, table, l, "with two versions", "", true)
	table.Observe(2*l, []Origin{of("s", "v2")})
	table.Confirm(read(0, 3*l))
	wantOnly(t, table, 3*l, "a lifetime after the last upstream of v1", "", true)
	wantOnly(t, table, 3*l+1, "later", "v2", true)
}

// TestHistoryCoversAgeOfStream guards against refusals of streams that began after the history.
func TestHistoryCoversAgeOfStream(t *testing.T) {
	table := NewTable(0)
	table.Observe(0, []Origin{of("s", "v1")})
	table.Confirm(read(0, 5*time.Second))
	for age, want := range map[time.Duration]bool{4 * time.Second: true, 6 * time.Second: false} {
		if _, complete, ok := table.OnlyVersion(5*time.Second, "s", age); !ok || complete != want {
			t.Errorf("age %v: only version %v, complete %v, want %v", age, ok, complete, want)
		}
	}
}

// TestHistoryBeginsWithFirstListing guards against an instance that counts the time before it
// has read the list, in which upstreams of the old version may have left (fault 2).
func TestHistoryBeginsWithFirstListing(t *testing.T) {
	const l = MinLifetime
	table := NewTable(0)
	wantOnly(t, table, l, "a lifetime after the start, without a listing", "", false)
	table.Observe(l, []Origin{of("s", "v2")})
	table.Confirm(read(l, l))
	wantOnly(t, table, l, "with the first listing a lifetime after the start", "v2", false)
	if history := table.History(l); history.CoverageMilliseconds != 0 || history.Complete.FromMilliseconds != 0 {
		t.Errorf("the instance tells its peers of %d ms, %+v", history.CoverageMilliseconds, history.Complete)
	}
	table.Confirm(read(l, 2*l))
	wantOnly(t, table, 2*l, "a lifetime after the first listing", "v2", true)
}

// TestHistoryIsIncompleteWithoutContact guards against an instance without contact with the
// store that continues streams, and tells its peers that it knows all versions (fault 2).
func TestHistoryIsIncompleteWithoutContact(t *testing.T) {
	const l = MinLifetime
	table, peer := NewTable(0), NewTable(0)
	table.Observe(0, []Origin{of("s", "v1")})
	table.Confirm(read(0, l))
	wantOnly(t, table, l+maxLag, "at the largest lag", "v1", true)
	wantOnly(t, table, l+maxLag+1, "after it", "v1", false)
	lost := table.History(2 * l)
	if lost.CoverageMilliseconds != 0 {
		t.Errorf("older releases are told of %d ms", lost.CoverageMilliseconds)
	}
	peer.Merge(2*l, lost)
	wantOnly(t, peer, 2*l, "a peer that knows only this instance", "v1", false)
	table.Merge(2*l, peer.History(2*l))
	wantOnly(t, table, 2*l, "after the peer's report", "v1", false)

	table.Confirm(read(2*l, 2*l))
	wantOnly(t, table, 2*l, "right after contact was regained", "v1", false)
	table.Confirm(read(2*l, 3*l))
	wantOnly(t, table, 3*l, "a lifetime after contact was regained", "v1", true)
}

// TestInstancesWithoutContactDoNotConfirmEachOther guards against reports that become newer
// with each hop.
func TestInstancesWithoutContactDoNotConfirmEachOther(t *testing.T) {
	const l, delay = MinLifetime, 900 * time.Millisecond
	a, b := NewTable(0), NewTable(0)
	for _, table := range []*Table{a, b} {
		table.Observe(0, []Origin{of("s", "v1")})
		table.Confirm(read(0, l))
	}
	now := time.Duration(l)
	for range 20 {
		now += time.Second
		fromA, fromB := a.History(now), b.History(now)
		a.Merge(now+delay, fromB)
		b.Merge(now+delay, fromA)
	}
	wantOnly(t, a, now, "20 s after contact was lost", "v1", false)
}

func TestContactOfPeerCounts(t *testing.T) {
	const l = MinLifetime
	table, peer := NewTable(0), NewTable(0)
	table.Observe(0, []Origin{of("s", "v1")})
	table.Confirm(read(0, time.Second))
	peer.Observe(0, []Origin{of("s", "v1")})
	for now := time.Second; now <= l; now += time.Second {
		peer.Confirm(read(0, now))
		table.Merge(now, peer.History(now))
	}
	wantOnly(t, table, l, "with a peer in contact with the store", "v1", true)
}

func TestRestartedInstanceLearnsVersionsFromPeer(t *testing.T) {
	const l = MinLifetime
	peer, restarted := NewTable(0), NewTable(l)
	peer.Observe(0, []Origin{of("s", "v1")})
	peer.Observe(l-time.Second, []Origin{of("s", "v2")})
	peer.Confirm(read(0, l))
	restarted.Observe(l, []Origin{of("s", "v2")})
	restarted.Confirm(read(l, l))
	wantOnly(t, restarted, l, "before the peer's report", "v2", false)
	restarted.Merge(l, peer.History(l))
	wantOnly(t, restarted, l, "after the peer's report", "", true)
}

// TestHistoryWithGapIsNotJoined guards against an instance that joins what a peer knew before
// it was cut off or suspended with what it has read itself since its own start.
func TestHistoryWithGapIsNotJoined(t *testing.T) {
	const l = MinLifetime
	peer, restarted := NewTable(0), NewTable(l)
	peer.Observe(0, []Origin{of("s", "v2")})
	peer.Confirm(read(0, l-2*time.Second))
	restarted.Observe(l, []Origin{of("s", "v2")})
	restarted.Confirm(read(l, l))
	restarted.Merge(l, peer.History(l))
	wantOnly(t, restarted, l, "the peer has read nothing for 2 s", "v2", false)
}

// TestOlderReleasesAreBelievedOnlyWhatTheySaw guards against the claims of instances of
// earlier releases, which count from their start and grow without contact.
func TestOlderReleasesAreBelievedOnlyWhatTheySaw(t *testing.T) {
	var old History
	if err := json.Unmarshal([]byte(`{"sightings":[{"origin":{"target":"s","version":"v1"},"age_ms":5000}],"coverage_ms":3600000}`), &old); err != nil {
		t.Fatal(err)
	}
	table := NewTable(0)
	table.Observe(0, []Origin{of("s", "v2")})
	table.Confirm(read(0, 0))
	table.Merge(0, old)
	wantOnly(t, table, 0, "after the report", "", false)
}

// TestOlderReleaseUnderstandsHistory decodes a history as the release before does.
func TestOlderReleaseUnderstandsHistory(t *testing.T) {
	table := NewTable(0)
	table.Observe(0, []Origin{of("s", "v1")})
	table.Confirm(read(0, 9*time.Second))
	encoded, err := json.Marshal(table.History(10 * time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var decoded struct {
		Sightings []Sighting `json:"sightings"`
		Coverage  int64      `json:"coverage_ms"`
	}
	if err := json.Unmarshal(encoded, &decoded); err != nil || len(decoded.Sightings) != 1 || decoded.Coverage != 10000 {
		t.Errorf("%s is decoded as %+v, %v", encoded, decoded, err)
	}
}

// TestLifetimeFollowsLongestTimeout guards against versions that are forgotten while streams
// of theirs may still be resumed (fault 3).
func TestLifetimeFollowsLongestTimeout(t *testing.T) {
	const l = 4 * MinLifetime
	table := NewTable(0)
	table.Observe(0, []Origin{of("s", "v1"), of("s", "v2")})
	table.Confirm(read(0, 0))
	table.SetLifetime(0, l)
	table.Record(0, Stream{Key: 1, Origin: of("s", "v1")})
	table.Observe(1, []Origin{of("s", "v2")})
	for now := time.Duration(0); now <= l; now += time.Second {
		table.Record(now, Stream{Key: 2, Origin: of("s", "v2")})
		table.Confirm(read(0, now))
		wantOnly(t, table, now, "within the lifetime", "", now >= l)
		if _, ok := table.Lookup(1); !ok {
			t.Fatalf("the origin of the stream is lost after %v", now)
		}
	}
	table.SetLifetime(l, MinLifetime)
	if table.Lifetime() != l {
		t.Error("streams that have begun lose their origin when the timeout becomes shorter")
	}
}

// TestLongerLifetimeHasNoKnowledgeOfForgottenVersions guards against an instance that counts
// time in whose history it has forgotten versions already.
func TestLongerLifetimeHasNoKnowledgeOfForgottenVersions(t *testing.T) {
	const l = MinLifetime
	table := NewTable(0)
	table.Observe(0, []Origin{of("s", "v1"), of("s", "v2")})
	table.Observe(1, []Origin{of("s", "v2")})
	table.Observe(2*l, []Origin{of("s", "v2")})
	table.Confirm(read(0, 2*l))
	table.SetLifetime(2*l, 2*l)
	wantOnly(t, table, 2*l, "right after the change", "v2", false)
	table.Confirm(read(0, 3*l))
	wantOnly(t, table, 3*l, "when the longer lifetime is covered", "v2", true)
}

// TestForgottenVersionsStayUnknown guards against the same once the instance confirms again that it
// has read the list all the time.
func TestForgottenVersionsStayUnknown(t *testing.T) {
	const l = MinLifetime
	table := NewTable(0)
	table.Observe(0, []Origin{of("s", "v1"), of("s", "v2")})
	table.Observe(1, []Origin{of("s", "v2")})
	table.Observe(2*l, []Origin{of("s", "v2")})
	table.SetLifetime(2*l, 2*l)
	table.Confirm(read(0, 2*l))
	wantOnly(t, table, 2*l, "right after the change", "v2", false)
	// A peer that has had the longer lifetime all the time tells what it has seen.
	table.Merge(2*l, History{Sightings: []Sighting{{Origin: of("s", "v2")}}, Complete: &Interval{FromMilliseconds: (2 * l).Milliseconds()}})
	wantOnly(t, table, 2*l, "a peer knows more", "v2", true)
}

// TestImpossibleAgesAreIgnored guards against a peer whose report makes a version count for ever, or
// a history complete that is not.
func TestImpossibleAgesAreIgnored(t *testing.T) {
	const now = 20 * time.Second
	for _, age := range []int64{-1, -5000, math.MinInt64, math.MinInt64 / 1_000_000, math.MaxInt64, math.MaxInt64 / 1_000_000, math.MaxInt64/1_000_000 + 1, math.MaxInt64 - 1<<20} {
		table := NewTable(0)
		table.Observe(0, []Origin{of("s", "v1")})
		table.Confirm(read(0, now))
		if impossible := table.Merge(now, History{Sightings: []Sighting{{of("s", "v2"), age}, {of("other", "v3"), 1000}}, Complete: &Interval{age, 0}}); impossible != 2 {
			t.Errorf("age %d: %d impossible values, want 2", age, impossible)
		}
		if impossible := table.Merge(now, History{Complete: &Interval{age, age}}); impossible != 1 {
			t.Errorf("interval at age %d: %d impossible values, want 1", age, impossible)
		}
		wantOnly(t, table, now, fmt.Sprint("age ", age), "v1", false)
		if version, _, ok := table.OnlyVersion(now, "other", 0); !ok || version != "v3" {
			t.Errorf("age %d: the rest of the message does not count", age)
		}
		table.Confirm(read(0, 2*now))
		wantOnly(t, table, 2*now, fmt.Sprint("later, age ", age), "v1", true)
	}
}

// TestHistoryReceivedLate guards against a confirmation that looks newer than it is because its
// message was delayed.
func TestHistoryReceivedLate(t *testing.T) {
	for _, c := range []struct {
		from, to int64
		within   time.Duration
		want     *Interval
	}{
		{5000, 100, 0, &Interval{5000, 100}},
		{5000, 100, 2*time.Second + 1, &Interval{5000, 2101}},
		{5000, 100, 6 * time.Second, nil},
	} {
		given := History{Complete: &Interval{c.from, c.to}}
		if got := given.Received(c.within).Complete; (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
			t.Errorf("received within %v: %v, want %v", c.within, got, c.want)
		}
		if given.Complete.ToMilliseconds != c.to {
			t.Error("the history of the sender has changed")
		}
	}
}
