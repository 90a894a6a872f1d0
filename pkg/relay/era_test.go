package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// contents returns the digests of the contents in force.
func (f *testFleet) contents() map[configservice.Digest]int {
	contents := make(map[configservice.Digest]int)
	for _, relay := range f.relays {
		_, snapshot := relay.inForce()
		contents[contentDigest(snapshot.Manifest())]++
	}
	return contents
}

// TestChangeAfterServiceReturnedFromCopyTakesForce guards against a configuration that is
// dropped because its revision is not above that of the one in force.
func TestChangeAfterServiceReturnedFromCopyTakesForce(t *testing.T) {
	const bound = 18 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(8, 2)
		f.publish(t, 1000)
		for _, instance := range f.instances[:7] {
			f.start(ctx, instance)
		}
		time.Sleep(30 * time.Second)
		second := f.publish(t, 2000)
		time.Sleep(bound)
		f.publish(t, 3000)
		time.Sleep(bound)
		f.publish(t, 3500)
		time.Sleep(bound)
		newest := f.publish(t, 4000)
		time.Sleep(bound)
		want := func(when string, manifest configservice.Manifest) {
			t.Helper()
			contents := f.contents()
			if contents[contentDigest(manifest)] != len(f.relays) {
				t.Errorf("%s: %d of %d have the newest configuration in force, %v", when, contents[contentDigest(manifest)], len(f.relays), contents)
			}
		}
		want("before the return", newest)
		f.platform.Restore(second.Revision)
		f.start(ctx, f.instances[7])
		time.Sleep(bound)
		want("the service has an older configuration", newest)
		f.publish(t, 3000)
		time.Sleep(bound)
		want("a replaced configuration is written again", newest)
		next := f.publish(t, 5000)
		if revision, _ := types.NewRevision(1, 4); next.Revision != revision {
			t.Errorf("the next revision is %v, want %v", next.Revision, revision)
		}
		time.Sleep(bound)
		want("the next change", next)
	})
}
