package bench

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
)

func policies() []PolicyName {
	if os.Getenv("ALL") != "" {
		return Policies()
	}
	return []PolicyName{PolicyProduct}
}

func TestQuick(t *testing.T) {
	for _, w := range Workloads() {
		fmt.Println(w.Name, w.capacity(modelTarget), w.capacity(serviceTarget))
		for _, load := range []float64{0.7, 1.0, 1.5, 2.5} {
			trace := w.trace(1, load, 0)
			for _, p := range policies() {
				began := time.Now()
				s := simulate(w, 1, trace, FaultNone, p)
				if os.Getenv("VIOL") != "" {
					for _, p := range s.arrangement.points {
						v, _ := history.Tiers(p.steps, history.TierOptions{LatestStart: checkerLateness, FeasibleStart: checkerFeasible})
						for i, x := range v {
							if i < 4 {
								fmt.Println(x)
							}
						}
					}
				}
				f, err := measure(s)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Printf("%v %-11s %v n=%d topfits=%v att=%v good=%.0f waste=%.3f inv=%.0f tv=%v fv=%v ft=%.0f gap=%.0f ref=%.2f reft=%.0f delay=%.0f extra=%v\n", load, p, time.Since(began).Round(time.Millisecond), len(trace), w.topFits(load), f.Attainment, f.Goodput, f.Wasted, f.Inversions, f.TierViolations, f.FloorViolations, f.FirstToken, f.Gap, f.Refusals, f.RefusalTime, f.RefusalDelay, f.Preemptions)
			}
		}
	}
}
