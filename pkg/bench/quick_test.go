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
		for _, load := range []float64{1.5, 2.5} {
			trace := w.trace(1, load, 0)
			for _, p := range policies() {
				began := time.Now()
				s := simulate(w, 1, trace, FaultNone, p)
				if os.Getenv("VIOL") != "" {
					for _, p := range s.arrangement.points {
						v, _ := history.Tiers(p.steps, tierOptions)
						w, _ := history.Floors(p.steps, history.FloorOptions{Grace: checkerGrace})
						for i, x := range w {
							if i < 4 {
								fmt.Println(p.name, x)
							}
						}
						for i, x := range v {
							if i < 4 {
								fmt.Println(x)
							}
						}
					}
				}
				who := map[string]int{}
				for _, p := range s.arrangement.points {
					for _, st := range p.steps {
						for _, a := range st.Actions {
							if a.Preempt != nil {
								v, g := s.byID[a.Preempt.ID], s.byID[a.Preempt.For]
								who[fmt.Sprint(v.arrival.class.Class.Name, " for ", g.arrival.class.Class.Name, " at ", int(st.At.Seconds())/5*5)]++
							}
						}
					}
				}
				fmt.Println(who)
				pre, gen, fill := 0, 0, 0
				for _, u := range s.upstreams {
					c := u.counters()
					gen += c.GeneratedTokens
					fill += c.PrefillTokens
					if u.engine != nil {
						pre += u.engine.Counters().Preemptions
					}
				}
				lost, extra := 0, 0
				codes := map[string]int{}
				for _, r := range s.requests {
					if r.arrival.class.Target != modelTarget {
						continue
					}
					if r.refusedFor != "" {
						codes[string(r.refusedFor)+"/"+string(r.arrival.class.Class.Name)]++
					}
					if !r.completed {
						lost += r.tokens + r.starts*r.arrival.prompt
					} else {
						extra += (r.starts - 1) * r.arrival.prompt
					}
				}
				fmt.Println("engine preemptions", pre, "total", gen+fill, "lost", lost, "extra", extra, codes)
				f, err := measure(s)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Printf("%v %-11s %v n=%d topfits=%v att=%v good=%.0f waste=%.3f inv=%.0f tv=%v fv=%v ft=%.0f gap=%.0f ref=%.2f reft=%.0f delay=%.0f extra=%v\n", load, p, time.Since(began).Round(time.Millisecond), len(trace), w.topFits(load), f.Attainment, f.Goodput, f.Wasted, f.Inversions, f.TierViolations, f.FloorViolations, f.FirstToken, f.Gap, f.Refusals, f.RefusalTime, f.RefusalDelay, f.Preemptions)
			}
		}
	}
}
