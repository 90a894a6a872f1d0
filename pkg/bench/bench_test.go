package bench

import (
	"context"
	"reflect"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// shortOptions returns options that run in a few seconds.
func shortOptions() Options {
	return Options{FirstSeed: 1, Seeds: 1, Loads: []float64{0.7}, Faults: []Fault{FaultNone}, Workloads: []string{"rappel"}, Parallel: 2}
}

func TestRunReportsEveryPolicy(t *testing.T) {
	report, err := Run(context.Background(), shortOptions())
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Cases) != len(Policies()) || len(report.Targets) == 0 {
		t.Fatalf("%d cases, %d targets", len(report.Cases), len(report.Targets))
	}
	for _, c := range report.Cases {
		if c.Values["goodput"].Median <= 0 || c.Values[topModelKey(rappel())].Median < 0.9 {
			t.Errorf("%s at 0.7: %+v", c.Policy, c.Values)
		}
	}
	var page strings.Builder
	if err := report.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(page.String(), "<polyline") || strings.Contains(page.String(), "src=\"http") {
		t.Error("the page has no plots or refers to an external resource")
	}
}

func TestSameSeedGivesSameMetrics(t *testing.T) {
	w := rappel()
	run := func() Metrics {
		metrics, err := measure(simulate(w, 3, w.trace(3, 0.5, 0), FaultCrash, PolicyProduct))
		if err != nil {
			t.Fatal(err)
		}
		return metrics
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", a, b)
	}
}

func TestTopTierFits(t *testing.T) {
	w := rappel()
	for _, test := range []struct {
		target types.TargetName
		load   float64
		want   bool
	}{{modelTarget, 1, true}, {modelTarget, 10, false}, {serviceTarget, 1.5, true}, {serviceTarget, 2.5, false}} {
		if got := w.topTierFits(test.target, test.load); got != test.want {
			t.Errorf("top tier of %s fits at %v: %v", test.target, test.load, got)
		}
	}
}

func TestSummarize(t *testing.T) {
	if got := summarize([]float64{3, 1, 2, 10}); got != (Summary{Median: 2.5, Min: 1, Max: 10}) {
		t.Errorf("summary %+v", got)
	}
}
