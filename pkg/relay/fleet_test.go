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

// testFleet is a set of relays on one fake network.
type testFleet struct {
	platform  *fakes.Platform
	network   *fakes.Network
	recorder  *fakes.Recorder
	instances []types.Instance
	relays    []*Relay
}

// newTestFleet publishes an instance list of the given size, spread over the data
// centres. It starts no relay.
func newTestFleet(size, dataCentres int) *testFleet {
	f := &testFleet{platform: fakes.NewPlatform(), network: fakes.NewNetwork(1), recorder: &fakes.Recorder{}}
	f.network.SetDelay(time.Millisecond, 5*time.Millisecond)
	for i := range size {
		id := fmt.Sprintf("i%03d", i)
		f.instances = append(f.instances, types.Instance{
			ID:          types.InstanceID(id),
			DataCentre:  types.DataCentre(fmt.Sprintf("dc%02d", i%dataCentres)),
			PeerAddress: id,
		})
	}
	f.platform.SetInstances(f.instances)
	return f
}

// start adds a relay for the instance and runs it until ctx is done.
func (f *testFleet) start(ctx context.Context, instance types.Instance) *Relay {
	relay := f.add(instance)
	go func() { _ = relay.Run(ctx) }()
	return relay
}

// add adds a relay for the instance to the network without running it.
func (f *testFleet) add(instance types.Instance) *Relay {
	caller, registrar := f.network.AddNode(instance.PeerAddress, peer.Identity{Instance: instance.ID, DataCentre: instance.DataCentre})
	view := fakes.NewView(instance)
	view.SetLive(f.instances)
	relay := New(Options{
		Source:   f.platform.Reader(string(instance.ID)),
		Caller:   caller,
		View:     view,
		Store:    config.NewStore(),
		Recorder: f.recorder,
		Logger:   zerolog.Nop(),
	})
	relay.Register(registrar)
	f.relays = append(f.relays, relay)
	return relay
}

// startAll starts a relay for each instance.
func (f *testFleet) startAll(ctx context.Context) {
	for _, instance := range f.instances {
		f.start(ctx, instance)
	}
}

// publish publishes a document with the deadline, which distinguishes it from
// other documents.
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

// behind returns the number of relays with a lower revision in force.
func (f *testFleet) behind(revision types.Revision) int {
	count := 0
	for _, relay := range f.relays {
		if current, _ := relay.inForce(); current.Revision < revision {
			count++
		}
	}
	return count
}

// TestServiceReadsIndependentOfFleetSize checks that a fleet of three times the
// size in the same data centres reads the configuration service about as often.
func TestServiceReadsIndependentOfFleetSize(t *testing.T) {
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

// TestSimultaneousStartBoundsServiceReads starts all instances at once and checks
// that the parts are read from the configuration service at most twice per reader.
// The other instances must get them from each other.
func TestSimultaneousStartBoundsServiceReads(t *testing.T) {
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

// TestIsolatedInstanceIsNotAdmitted starts an instance that reaches no other
// instance and reads a stale revision from the service. It must not serve until
// the network is healed and the current revision is in force.
func TestIsolatedInstanceIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(4, 2)
		f.publish(t, 1000)
		for _, instance := range f.instances[:3] {
			f.start(ctx, instance)
		}
		f.publish(t, 2000)
		time.Sleep(30 * time.Second)
		f.network.Partition([]string{f.instances[3].PeerAddress})
		f.platform.SetStale(string(f.instances[3].ID), 1)
		isolated := f.start(ctx, f.instances[3])
		time.Sleep(10 * time.Minute)
		if current, _ := isolated.inForce(); isolated.serving() || current.Revision != 1 {
			t.Errorf("serving %v with revision %d", isolated.serving(), current.Revision)
		}
		f.network.Heal()
		<-isolated.Ready()
		if current, _ := isolated.inForce(); current.Revision != 2 {
			t.Errorf("ready with revision %d", current.Revision)
		}
	})
}

// TestConflictingManifestsOfOneRevision gives two halves of the fleet different
// documents of one revision. All instances must end with the one that has the
// larger digest, and the other must be recorded as rejected.
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
			if current, _ := relay.inForce(); current.Revision != 2 || current.Digest != want {
				t.Errorf("%+v in force, want %s", current, want)
			}
		}
		rejections := 0
		for _, event := range f.recorder.Events() {
			if event.Kind == timeline.ConfigRejected && event.Code == string(fault.ConflictingRevision) {
				rejections++
			}
		}
		if rejections == 0 {
			t.Error("no typed rejection")
		}
	})
}

// TestPartDigestsAreVerified adds an instance to the network that serves the
// newer manifest and wrong bytes for its parts. The parts must come from the
// configuration service.
func TestPartDigestsAreVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(2, 1)
		f.publish(t, 1000)
		manifest := f.publish(t, 2000)
		f.platform.SetStale("i000", 1)
		_, faulty := f.network.AddNode("i001", peer.Identity{Instance: "i001"})
		faulty.Handle(methodManifest, func(context.Context, peer.Identity, json.RawMessage) (any, error) {
			return manifestResponse{Version: version{manifest.Revision, manifest.Digest()}, Serving: true, Parts: manifest.Parts}, nil
		})
		faulty.Handle(methodPart, func(context.Context, peer.Identity, json.RawMessage) (any, error) {
			return partResponse{Bytes: []byte(`{"rules": []}`)}, nil
		})
		relay := f.start(ctx, f.instances[0])
		time.Sleep(30 * time.Second)
		current, _ := relay.inForce()
		if current.Revision != 2 {
			t.Errorf("revision %d: the parts are at the service", current.Revision)
		}
		if got := relay.Status(); got.PartsFromPeers != 0 || got.PartsFromService == 0 {
			t.Errorf("%+v", got)
		}
	})
}

// TestInvalidDocumentIsFetchedOnce checks that a rejected document is not fetched
// again.
func TestInvalidDocumentIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(1, 1)
		f.publish(t, 1000)
		relay := f.start(ctx, f.instances[0])
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
