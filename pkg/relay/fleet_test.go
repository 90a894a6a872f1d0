package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// testFleet is a number of relays on one fake network.
type testFleet struct {
	platform *fakes.Platform
	network  *fakes.Network
	log      *fakes.Log
	rows     []types.Instance
	relays   []*Relay
}

// newTestFleet lists size instances in the number of data centres and starts
// none.
func newTestFleet(size, centres int) *testFleet {
	f := &testFleet{platform: fakes.NewPlatform(), network: fakes.NewNetwork(1), log: &fakes.Log{}}
	f.network.SetDelay(time.Millisecond, 5*time.Millisecond)
	for i := range size {
		id := fmt.Sprintf("i%03d", i)
		f.rows = append(f.rows, types.Instance{
			ID:          types.InstanceID(id),
			DataCentre:  types.DataCentre(fmt.Sprintf("dc%02d", i%centres)),
			PeerAddress: id,
		})
	}
	f.platform.SetInstances(f.rows)
	return f
}

// start runs a relay for the row until ctx ends.
func (f *testFleet) start(ctx context.Context, row types.Instance) *Relay {
	relay := f.add(row)
	go func() { _ = relay.Run(ctx) }()
	return relay
}

// add puts a relay on the network that does not run.
func (f *testFleet) add(row types.Instance) *Relay {
	caller, registrar := f.network.Node(row.PeerAddress, peer.Identity{Instance: row.ID, DataCentre: row.DataCentre})
	view := fakes.NewView(row)
	view.SetLive(f.rows)
	relay := New(Options{
		Source:   f.platform.Reader(string(row.ID)),
		Caller:   caller,
		View:     view,
		Store:    config.NewStore(),
		Recorder: f.log,
		Logger:   zerolog.Nop(),
	})
	relay.Register(registrar)
	f.relays = append(f.relays, relay)
	return relay
}

// startAll runs all rows.
func (f *testFleet) startAll(ctx context.Context) {
	for _, row := range f.rows {
		f.start(ctx, row)
	}
}

// publish publishes a document whose deadline tells it from others.
func (f *testFleet) publish(t *testing.T, deadline config.Milliseconds) configservice.Manifest {
	t.Helper()
	published := document()
	published.Classes[0].Deadline = deadline
	manifest, err := f.platform.Publish(published)
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

// behind counts the relays below the revision.
func (f *testFleet) behind(revision types.Revision) int {
	count := 0
	for _, relay := range f.relays {
		if held, _ := relay.held(); held.Revision < revision {
			count++
		}
	}
	return count
}

// TestReadsDoNotGrowWithTheFleet compares the reads of two fleets over the same
// data centres, in fake time.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	const span = 2 * time.Minute
	reads := map[int]int{}
	for _, size := range []int{20, 60} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newTestFleet(size, 10)
			f.publish(t, 1000)
			f.startAll(ctx)
			time.Sleep(time.Minute)
			before := f.platform.Calls()
			for change := range 5 {
				time.Sleep(span / 5)
				f.publish(t, config.Milliseconds(2000+change))
			}
			time.Sleep(18 * time.Second)
			if late := f.behind(6); late > 0 {
				t.Errorf("%d of %d are behind after 18 s", late, size)
			}
			after := f.platform.Calls()
			reads[size] = after.Manifest + after.Part - before.Manifest - before.Part
		})
	}
	t.Logf("reads in %v: %v", span, reads)
	if limit := reads[20] + reads[20]/5; reads[60] > limit {
		t.Errorf("60 instances read %d times, 20 read %d times", reads[60], reads[20])
	}
}

// TestFleetThatStartsTogetherSparesTheService starts all instances at once.
func TestFleetThatStartsTogetherSparesTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(40, 2)
		parts := len(f.publish(t, 1000).Parts)
		f.startAll(ctx)
		for _, relay := range f.relays {
			<-relay.Ready()
		}
		readers := 2 * f.relays[0].settings.Readers
		if reads, limit := f.platform.Calls().Part, 2*readers*parts; reads > limit {
			t.Errorf("%d reads of parts, at most %d expected", reads, limit)
		}
	})
}

// TestIsolatedFreshInstanceStaysOut starts an instance that reaches a stale
// service and no peer, then heals the network.
func TestIsolatedFreshInstanceStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(4, 2)
		f.publish(t, 1000)
		for _, row := range f.rows[:3] {
			f.start(ctx, row)
		}
		f.publish(t, 2000)
		time.Sleep(30 * time.Second)
		f.network.Partition([]string{f.rows[3].PeerAddress})
		f.platform.SetStale(string(f.rows[3].ID), 1)
		fresh := f.start(ctx, f.rows[3])
		time.Sleep(10 * time.Minute)
		if held, _ := fresh.held(); fresh.serving() || held.Revision != 1 {
			t.Errorf("serving %v with revision %d", fresh.serving(), held.Revision)
		}
		f.network.Heal()
		<-fresh.Ready()
		if held, _ := fresh.held(); held.Revision != 2 {
			t.Errorf("ready with revision %d", held.Revision)
		}
	})
}

// TestConflictingManifestsOfOneRevision gives two halves of the fleet different
// documents of one revision.
func TestConflictingManifestsOfOneRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(6, 2)
		f.publish(t, 1000)
		f.startAll(ctx)
		time.Sleep(30 * time.Second)
		fork := document()
		fork.Classes[0].Deadline = 3000
		other, err := f.platform.Fork(fork, "i000", "i001", "i002")
		if err != nil {
			t.Fatal(err)
		}
		manifest := f.publish(t, 2000)
		time.Sleep(18 * time.Second)
		want := max(manifest.Digest(), other.Digest())
		for _, relay := range f.relays {
			if held, _ := relay.held(); held.Revision != 2 || held.Digest != want {
				t.Errorf("%+v in force, want %s", held, want)
			}
		}
		rejections := 0
		for _, event := range f.log.Events() {
			if event.Kind == timeline.ConfigRejected && event.Code == string(fault.ConflictingRevision) {
				rejections++
			}
		}
		if rejections == 0 {
			t.Error("no typed rejection")
		}
	})
}

// TestPartsAreCheckedAgainstTheirDigests puts an instance on the network that
// hands out wrong bytes and names a wrong manifest.
func TestPartsAreCheckedAgainstTheirDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(2, 1)
		f.publish(t, 1000)
		manifest := f.publish(t, 2000)
		f.platform.SetStale("i000", 1)
		_, faulty := f.network.Node("i001", peer.Identity{Instance: "i001"})
		faulty.Handle(methodManifest, func(context.Context, peer.Identity, json.RawMessage) (any, error) {
			return manifestAnswer{Version: version{manifest.Revision, manifest.Digest()}, Serving: true, Parts: manifest.Parts}, nil
		})
		faulty.Handle(methodPart, func(context.Context, peer.Identity, json.RawMessage) (any, error) {
			return partAnswer{Bytes: []byte(`{"rules": []}`)}, nil
		})
		relay := f.start(ctx, f.rows[0])
		time.Sleep(30 * time.Second)
		held, _ := relay.held()
		if held.Revision != 2 {
			t.Errorf("revision %d: the parts are at the service", held.Revision)
		}
		if got := relay.Status(); got.PartsFromPeers != 0 || got.PartsFromService == 0 {
			t.Errorf("%+v", got)
		}
	})
}

// TestBadDocumentIsFetchedOnce publishes a bad document and lets time pass.
func TestBadDocumentIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(1, 1)
		f.publish(t, 1000)
		relay := f.start(ctx, f.rows[0])
		<-relay.Ready()
		f.platform.PublishParts(map[string][]byte{"document": []byte(`{"rules": []}`)})
		time.Sleep(5 * time.Second)
		parts := f.platform.Calls().Part
		time.Sleep(10 * time.Minute)
		status := relay.Status()
		if status.Rejected != 1 || status.Revision != 1 || f.platform.Calls().Part != parts {
			t.Errorf("%+v, %d parts, then %d", status, parts, f.platform.Calls().Part)
		}
	})
}
