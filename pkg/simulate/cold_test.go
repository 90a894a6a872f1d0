package simulate

import (
	"fmt"
	"testing"
)

// TestThirdOfEnginesTurnCold guards the bound of cold engines and the answers of callers when
// a third of the engines turn cold during a burst. Entries that know nothing of it serve as the
// baseline: their engines crash.
func TestThirdOfEnginesTurnCold(t *testing.T) {
	const perSecond = 2
	for _, c := range []struct{ engines, entries int }{{15, 9}, {15, 58}, {15, 89}} {
		t.Run(fmt.Sprintf("engines=%d/entries=%d", c.engines, c.entries), func(t *testing.T) {
			t.Parallel()
			s, d := findSiteAndDay(t, "callbacks-grown", "steady")
			s.Engines, s.Entries, d.Length = c.engines, c.entries, seconds(14)
			if c.entries <= fullMeshLimit {
				s.ReportInterval = directReportInterval
			}
			// Many short prompts, so that each engine gets more of them in the burst than a
			// cold one survives.
			for i := range s.Kinds {
				s.Kinds[i].Sessions /= 4
			}
			s.Kinds[0].Rate /= 30
			s.Kinds[1].Rate *= 0.7
			d.Bursts = []Burst{{ShortPrompts, seconds(2), seconds(9), 1.6}}
			undisturbed := simulate(s, d, 1, Product, 1).metrics()
			d.ColdPeriods = []ColdPeriod{{seconds(4), seconds(6), 1.0 / 3, perSecond, 3}}
			got := simulate(s, d, 1, Product, 1).metrics()
			ignoring := s
			ignoring.IgnoreLimits = true
			baseline := simulate(ignoring, d, 1, Product, 1).metrics()
			allowed := int(coldOver*d.ColdPeriods[0].PerSecond + coldSlack)
			t.Logf("worth %.3f, without cold engines %.3f, at most %d requests in %v, %d allowed, %d in all, %d refused, %d failed; if cold engines are not known: worth %.3f, at most %d, %d crashes, %d failed",
				got.All.Worth, undisturbed.All.Worth, got.Cold.Most, coldWindow, allowed, got.Cold.Requests, got.All.Refused, got.All.Failed, baseline.All.Worth, baseline.Cold.Most, baseline.Cold.Crashes, baseline.All.Failed)
			if got.Cold.Most > allowed || got.Cold.Crashes > 0 {
				t.Errorf("%d requests in %v, %d are allowed; %d crashes", got.Cold.Most, coldWindow, allowed, got.Cold.Crashes)
			}
			if baseline.Cold.Crashes == 0 {
				t.Error("no engine crashes if the entries do not know that it is cold: the test proves nothing")
			}
			// Five of fifteen engines serve little for six of fourteen seconds. The others
			// must not be overloaded.
			if got.All.Worth < baseline.All.Worth+0.05 || got.All.Worth < undisturbed.All.Worth-0.2 {
				t.Errorf("worth is %.3f, if cold engines are not known %.3f, without cold engines %.3f", got.All.Worth, baseline.All.Worth, undisturbed.All.Worth)
			}
		})
	}
}
