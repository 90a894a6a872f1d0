package bench

import (
	"fmt"
	"time"
)

// Target is one aim of the bench and whether it was met.
type Target struct {
	Name string `json:"name"`
	Met  bool   `json:"met"`
	// Measured is the worst case by its median over the seeds.
	Measured float64 `json:"measured"`
	Aim      float64 `json:"aim"`
	// Where names the worst case.
	Where string `json:"where"`
}

// The aims of the bench.
const (
	aimAttainment   = 0.99
	aimGoodput      = 0.95
	aimWasted       = 0.02
	aimWastedFaulty = 0.05
	aimFloodLoss    = 0.02
	aimRefusalDelay = 20 * time.Millisecond
	overload        = 2.5
	fullLoad        = 1.0
)

// worst follows the worst value of a target over the cases.
type worst struct {
	target Target
	// higher says that higher values are better.
	higher bool
	seen   bool
}

func newWorst(name string, aim float64, higher bool) *worst {
	return &worst{target: Target{Name: name, Aim: aim}, higher: higher}
}

// see takes one case's value.
func (w *worst) see(value float64, where string) {
	better := value <= w.target.Measured
	if w.higher {
		better = value >= w.target.Measured
	}
	if w.seen && better {
		return
	}
	w.seen = true
	w.target.Measured = value
	w.target.Where = where
	w.target.Met = value <= w.target.Aim
	if w.higher {
		w.target.Met = value >= w.target.Aim
	}
}

// where names a case.
func (c Case) where() string {
	return fmt.Sprintf("%s %.1f %s", c.Workload, c.Load, c.Fault)
}

// judge compares the product's cases with the aims.
func judge(r *Report) []Target {
	attainment := newWorst("top tier attainment at the engines, where it fits", aimAttainment, true)
	services := newWorst("top tier attainment at the services, where it fits", aimAttainment, true)
	wasted := newWorst("wasted work without faults", aimWasted, false)
	faulty := newWorst("wasted work with faults", aimWastedFaulty, false)
	inversions := newWorst("inversions of tier", 0, false)
	tiers := newWorst("violations of tier order by the history", 0, false)
	floors := newWorst("violations of floors by the history", 0, false)
	first := newWorst("first token of the top tier, p95, ms", float64(topFirstToken), false)
	gap := newWorst("gap of the top tier, p95, ms", float64(topGap), false)
	delay := newWorst("refusal after the decision, p99, ms", float64(aimRefusalDelay.Milliseconds()), false)
	for _, c := range r.Cases {
		if c.Policy != PolicyProduct {
			continue
		}
		w := workloadNamed(c.Workload)
		if c.ModelTopFits {
			attainment.see(c.Values[topModelKey(w)].Median, c.where())
			first.see(c.Values["first_token.p95"].Median, c.where())
			gap.see(c.Values["gap.p95"].Median, c.where())
		}
		if c.ServiceTopFits {
			services.see(c.Values[topServiceKey(w)].Median, c.where())
		}
		if c.Fault == FaultNone || c.Fault == FaultLag {
			wasted.see(c.Values["wasted"].Median, c.where())
		} else {
			faulty.see(c.Values["wasted"].Median, c.where())
		}
		// The spread counts for what must never happen.
		inversions.see(c.Values["inversions"].Max, c.where())
		tiers.see(c.Values["tier_violations"].Max, c.where())
		floors.see(c.Values["floor_violations"].Max, c.where())
		delay.see(c.Values["refusal_delay.p99"].Median, c.where())
	}
	flood := newWorst("loss of other accounts to a large one", aimFloodLoss, false)
	for _, f := range r.Floods {
		if f.Policy == PolicyProduct {
			flood.see(f.Loss.Median, f.Workload)
		}
	}
	targets := []Target{}
	for _, w := range []*worst{attainment, services, goodputTarget(r), wasted, faulty, inversions, tiers, floors, first, gap, delay, flood} {
		targets = append(targets, w.target)
	}
	return targets
}

// goodputTarget compares the product's goodput under overload with the best that
// any policy reaches at full load.
func goodputTarget(r *Report) *worst {
	target := newWorst("goodput at 2.5 over the best at 1.0", aimGoodput, true)
	best := map[string]float64{}
	for _, c := range r.Cases {
		if c.Load == fullLoad && c.Fault == FaultNone {
			best[c.Workload] = max(best[c.Workload], c.Values["goodput"].Median)
		}
	}
	for _, c := range r.Cases {
		if c.Policy == PolicyProduct && c.Load == overload && c.Fault == FaultNone && best[c.Workload] > 0 {
			target.see(c.Values["goodput"].Median/best[c.Workload], c.where())
		}
	}
	return target
}

func workloadNamed(name string) Workload {
	for _, w := range Workloads() {
		if w.Name == name {
			return w
		}
	}
	return Workload{}
}
