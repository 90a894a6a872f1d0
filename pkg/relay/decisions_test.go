package relay

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func TestAdmit(t *testing.T) {
	settings := DefaultSettings()
	late := settings.AdmissionWait
	cases := []struct {
		name  string
		state admissionState
		want  bool
	}{
		{"no configuration", admissionState{listKnown: true, listed: 0, elapsed: late}, false},
		{"alone on the list", admissionState{configured: true, listKnown: true}, true},
		{"list never read", admissionState{configured: true}, false},
		{"enough serving peers", admissionState{configured: true, listed: 7, serving: 3}, true},
		{"two serving of seven", admissionState{configured: true, listed: 7, serving: 2}, false},
		{"two serving of seven, late", admissionState{configured: true, listed: 7, serving: 2, elapsed: late}, true},
		{"the only other serves", admissionState{configured: true, listed: 1, serving: 1}, true},
		{"all start together", admissionState{configured: true, listed: 7, notServing: 7}, true},
		{"most start together", admissionState{configured: true, listed: 7, notServing: 5}, false},
		{"most start together, late", admissionState{configured: true, listed: 7, notServing: 5, elapsed: late}, true},
		{"smaller side of a partition, late", admissionState{configured: true, listed: 7, notServing: 3, elapsed: late}, false},
		{"isolated for an hour", admissionState{configured: true, listed: 7, elapsed: time.Hour}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := admit(c.state, settings); got != c.want {
				t.Errorf("admit = %v", got)
			}
		})
	}
}

// drawManifest returns a manifest with some of ten parts.
func drawManifest(t *rapid.T, revision types.Revision) configservice.Manifest {
	manifest := configservice.Manifest{Revision: revision}
	for i := range 10 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		content := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "content"))
		ref := configservice.PartRef{Name: fmt.Sprintf("part-%d", i), Digest: configservice.DigestOf([]byte(content)), Size: 1}
		manifest.Parts = append(manifest.Parts, ref)
	}
	return manifest
}

func TestApplyDeltaReversesDiffManifests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawManifest(t, 1), drawManifest(t, 2)
		response := manifestResponse{Version: version{Revision: 2, Digest: next.Digest()}, Delta: true}
		response.Parts, response.Removed = diffManifests(base, next)
		if got := applyDelta(base, response); got.Digest() != next.Digest() {
			t.Fatalf("got %+v, want %+v", got, next)
		}
		for _, ref := range response.Parts {
			if partsByName(base)[ref.Name] == ref {
				t.Fatalf("part %s did not change", ref.Name)
			}
		}
	})
}

func TestReadersPerDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []types.Instance
		for i := range rapid.IntRange(1, 40).Draw(t, "size") {
			dataCentre := types.DataCentre(fmt.Sprintf("dc%d", rapid.IntRange(0, 3).Draw(t, "centre")))
			live = append(live, types.Instance{ID: types.InstanceID(fmt.Sprintf("i%02d", i)), DataCentre: dataCentre})
		}
		local, readers := map[types.DataCentre]int{}, map[types.DataCentre]int{}
		for _, instance := range live {
			local[instance.DataCentre]++
			if isReader(instance, live, 2) {
				readers[instance.DataCentre]++
			}
		}
		for dataCentre, count := range local {
			if readers[dataCentre] != min(2, count) {
				t.Fatalf("%s has %d readers of %d", dataCentre, readers[dataCentre], count)
			}
		}
	})
}

func TestPickPrefersLocalDataCentre(t *testing.T) {
	source := newRandomSource(1)
	var others []types.Instance
	for i := range 20 {
		others = append(others, types.Instance{ID: types.InstanceID(fmt.Sprint(i)), DataCentre: types.DataCentre(fmt.Sprint("dc", i%5))})
	}
	for range 50 {
		local, seen := 0, map[types.InstanceID]bool{}
		picked := source.pick(others, "dc0", 4)
		for _, instance := range picked {
			seen[instance.ID] = true
			if instance.DataCentre == "dc0" {
				local++
			}
		}
		if len(picked) != 4 || len(seen) != 4 || local < 2 {
			t.Fatalf("picked %+v", picked)
		}
	}
	if got := source.pick(others[:1], "dc0", 4); len(got) != 1 {
		t.Errorf("picked %+v of one", got)
	}
}
