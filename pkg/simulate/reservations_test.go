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
