package simulate

import (
	"fmt"
	"testing"
	"time"
)

// scaledLargeSite returns the large site with a third of its engines and of its load, at a
// number of entries.
func scaledLargeSite(t *testing.T, entries int) (Site, Day) {
	t.Helper()
	s, d := findSiteAndDay(t, "callbacks-large", "crash-in-first-burst")
	const scale = 3
	s.Engines /= scale
	for i := range s.Kinds {
		s.Kinds[i].Rate /= scale
		s.Kinds[i].Sessions /= scale
	}
	s.Entries, d.Length = entries, seconds(6)
	return s, d
}

// TestLateReportsCostLittle compares what callers get in a burst of long prompts with load
// reports that are as old as those of a fleet with hubs, and with reports that are almost
// fresh. At least 0.9 of the worth must be left, for each size of the fleet.
func TestLateReportsCostLittle(t *testing.T) {
	const minShare = 0.9
	for _, entries := range []int{9, 61, 195, 350} {
		t.Run(fmt.Sprint("entries=", entries), func(t *testing.T) {
			t.Parallel()
			late, day := scaledLargeSite(t, entries)
			fresh := late
			fresh.ReportInterval, fresh.ReportDelay = 50*time.Millisecond, 0
			if entries <= fullMeshLimit {
				late.ReportInterval, late.ReportDelay = directReportInterval, 0
			}
			got, best := simulate(late, day, 1, Product, 1).metrics().All, simulate(fresh, day, 1, Product, 1).metrics().All
			t.Logf("worth is %.3f with late reports, %.3f with fresh ones", got.Worth, best.Worth)
			if got.Worth < minShare*best.Worth {
				t.Errorf("worth is %.3f with late reports and %.3f with fresh ones; at least %.2f of it is required", got.Worth, best.Worth, minShare)
			}
		})
	}
}

// TestBurstIsAnsweredInTime plays a burst of long prompts that the engines cannot prefill,
// and the crash of a quarter of them. A late answer is worth less than a third of one in time,
// so that most of the answers must be in time, and more requests must not be refused for it
// than the acceptance criteria of the deployment allow, the longest ones least of all.
func TestBurstIsAnsweredInTime(t *testing.T) {
	const seeds, minInTime, maxUnserved, minLargestServed = 3, 0.5, 0.6, 0.5
	for _, entries := range []int{9, 61, 195, 350} {
		t.Run(fmt.Sprint("entries=", entries), func(t *testing.T) {
			t.Parallel()
			s, day := scaledLargeSite(t, entries)
			if entries <= fullMeshLimit {
				s.ReportInterval, s.ReportDelay = directReportInterval, 0
			}
			inTime, late := 0, 0
			for seed := range uint64(seeds) {
				got := simulate(s, day, 1, Product, seed+1).metrics().ByKind[LongPrompts]
				t.Logf("seed %d: %+v", seed+1, got)
				inTime, late = inTime+got.InTime, late+got.Late
				if unservedShare(got) > maxUnserved {
					t.Errorf("seed %d: %.2f of the long prompts get no answer, %.2f are allowed", seed+1, unservedShare(got), maxUnserved)
				}
				if got.LargestServedRatio < minLargestServed {
					t.Errorf("seed %d: the longest tenth is served %.2f times as often as all; at least %.2f is required", seed+1, got.LargestServedRatio, minLargestServed)
				}
			}
			if share := float64(inTime) / float64(inTime+late); share < minInTime {
				t.Errorf("%.2f of the answers to long prompts are in time; at least %.2f is required", share, minInTime)
			}
		})
	}
}
