package simulate

import (
	"fmt"
	"testing"
)

// TestLimitsOfEnginesAreKeptAndUsed lets two of fifteen engines limit their request rate
// while callers wait, before fleets of three sizes. Entries that ignore the limits serve as
// the baseline.
func TestLimitsOfEnginesAreKeptAndUsed(t *testing.T) {
	const perSecond = 2.2
	// Upstreams tolerate one and a half times the limit and five requests.
	allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5
	for _, entries := range []int{9, 61, 350} {
		t.Run(fmt.Sprint("entries=", entries), func(t *testing.T) {
			t.Parallel()
			s, d := findSiteAndDay(t, "callbacks-grown", "steady")
			s.Engines, s.Entries, d.Length = 15, entries, seconds(16)
			if entries <= fullMeshLimit {
				s.ReportInterval = directReportInterval
			}
			for i := range s.Kinds {
				s.Kinds[i].Rate /= 4
				s.Kinds[i].Sessions /= 4
			}
			d.Limits = []EngineLimit{{seconds(1), seconds(15), 2.0 / 15, perSecond}}
			got := simulate(s, d, 1, Product, 1).metrics()
			ignoring := s
			ignoring.IgnoreLimits = true
			baseline := simulate(ignoring, d, 1, Product, 1).metrics()
			t.Logf("worth %.3f, if limits are ignored %.3f; at most %d requests in %v, %d allowed, %.2f used; ignored: %d requests", got.All.Worth, baseline.All.Worth, got.Limits.Most, limitWindow, allowed, got.Limits.Used, baseline.Limits.Most)
			if got.Limits.Most > allowed {
				t.Errorf("%d requests in %v, %d are allowed", got.Limits.Most, limitWindow, allowed)
			}
			if got.Limits.Used < 0.8 {
				t.Errorf("%.2f of the limits is used while callers wait", got.Limits.Used)
			}
			if baseline.Limits.Most <= allowed {
				t.Errorf("entries that ignore the limits send %d requests in %v", baseline.Limits.Most, limitWindow)
			}
			// Two of fifteen engines serve less. The others must not be overloaded.
			if got.All.Worth < baseline.All.Worth-0.2 {
				t.Errorf("worth is %.3f, if limits are ignored %.3f", got.All.Worth, baseline.All.Worth)
			}
		})
	}
}
