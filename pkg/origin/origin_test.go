package origin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
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
				if now-at <= lifetime && !ok {
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
	for now := time.Duration(0); now <= 2*lifetime; now += lifetime / 4 {
		table.Record(now, Stream{Key: 2, Origin: of("s", "v1")})
	}
	if _, ok := table.Lookup(1); ok {
		t.Error("an origin is kept for more than two lifetimes")
	}
}

func TestOnlyVersion(t *testing.T) {
	table := NewTable(0)
	if _, _, ok := table.OnlyVersion(0, "s"); ok {
		t.Error("a version is known before any upstream")
	}
	table.Observe(0, []Origin{of("s", "v1"), of("other", "v2")})
	if version, complete, ok := table.OnlyVersion(0, "s"); version != "v1" || complete || !ok {
		t.Errorf("after the start: %q, %v, %v", version, complete, ok)
	}
	if version, complete, ok := table.OnlyVersion(lifetime, "s"); version != "v1" || !complete || !ok {
		t.Errorf("after a lifetime: %q, %v, %v", version, complete, ok)
	}
	table.Observe(lifetime, []Origin{of("s", "v1"), of("s", "v2")})
	if _, _, ok := table.OnlyVersion(lifetime, "s"); ok {
		t.Error("two versions count as one")
	}
	table.Observe(2*lifetime, []Origin{of("s", "v2")})
	if _, _, ok := table.OnlyVersion(3*lifetime, "s"); ok {
		t.Error("a version is forgotten at once when its last upstream has gone")
	}
	if version, _, ok := table.OnlyVersion(3*lifetime+1, "s"); version != "v2" || !ok {
		t.Errorf("a lifetime after the last upstream of v1: %q, %v", version, ok)
	}
}

func TestRestartedInstanceLearnsVersionsFromPeer(t *testing.T) {
	peer, restarted := NewTable(0), NewTable(lifetime)
	peer.Observe(0, []Origin{of("s", "v1")})
	peer.Observe(lifetime-time.Second, []Origin{of("s", "v2")})
	restarted.Observe(lifetime, []Origin{of("s", "v2")})
	if _, complete, ok := restarted.OnlyVersion(lifetime, "s"); complete || !ok {
		t.Errorf("before the peer's report: complete %v, one version %v", complete, ok)
	}
	restarted.Merge(lifetime, peer.History(lifetime))
	if _, complete, ok := restarted.OnlyVersion(lifetime, "s"); !complete || ok {
		t.Errorf("after the peer's report: complete %v, one version %v", complete, ok)
	}
}
