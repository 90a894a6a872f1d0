package bench

import (
	"fmt"
	"time"
)

// Target is a performance target and its result.
type Target struct {
	Name string `json:"name"`
	Met  bool   `json:"met"`
	// Measured is the value of the worst case: its median over the seeds, or the
	// maximum for values that must be zero.
	Measured float64 `json:"measured"`
	Aim      float64 `json:"aim"`
	// Where is the name of the worst case.
	Where string `json:"where"`
}

// The bounds of the targets, and the loads that the goodput target compares.
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

// worstCase tracks the worst value of a target over the cases.
type worstCase struct {
	target Target
	// higherIsBetter is true if the target is a lower bound.
	higherIsBetter bool
	observed       bool
}

func newWorstCase(name string, aim float64, higherIsBetter bool) *worstCase {
	return &worstCase{target: Target{Name: name, Aim: aim}, higherIsBetter: higherIsBetter}
}

// observe records the value of a case.
func (w *worstCase) observe(value float64, where string) {
	better := value <= w.target.Measured
	if w.higherIsBetter {
		better = value >= w.target.Measured
	}
	if w.observed && better {
		return
	}
	w.observed = true
	w.target.Measured = value
	w.target.Where = where
	w.target.Met = value <= w.target.Aim
	if w.higherIsBetter {
		w.target.Met = value >= w.target.Aim
	}
}

// where returns the name of the case.
func (c Case) where() string {
	return fmt.Sprintf("%s %.1f %s", c.Workload, c.Load, c.Fault)
}

// evaluateTargets compares the results of the product with the targets.
func evaluateTargets(r *Report) []Target {
	attainment := newWorstCase("top tier attainment at the engines, where it fits", aimAttainment, true)
	serviceAttainment := newWorstCase("top tier attainment at the services, where it fits", aimAttainment, true)
	wasted := newWorstCase("wasted work without faults", aimWasted, false)
	wastedWithFaults := newWorstCase("wasted work with faults", aimWastedFaulty, false)
	inversions := newWorstCase("inversions of tier", 0, false)
	tierViolations := newWorstCase("violations of tier order by the history", 0, false)
	floorViolations := newWorstCase("violations of floors by the history", 0, false)
	firstToken := newWorstCase("first token of the top tier, p95, ms", float64(topFirstToken), false)
	interTokenLatency := newWorstCase("gap of the top tier, p95, ms", float64(topInterToken), false)
	refusalDelay := newWorstCase("refusal after the decision, p99, ms", float64(aimRefusalDelay.Milliseconds()), false)
	for _, c := range r.Cases {
		if c.Policy != PolicyProduct {
			continue
		}
		w := findWorkload(c.Workload)
		if c.ModelTopFits {
			attainment.observe(c.Values[topModelKey(w)].Median, c.where())
			firstToken.observe(c.Values["first_token.p95"].Median, c.where())
			interTokenLatency.observe(c.Values["gap.p95"].Median, c.where())
		}
		if c.ServiceTopFits {
			serviceAttainment.observe(c.Values[topServiceKey(w)].Median, c.where())
		}
		if c.Fault == FaultNone || c.Fault == FaultLag {
			wasted.observe(c.Values["wasted"].Median, c.where())
		} else {
			wastedWithFaults.observe(c.Values["wasted"].Median, c.where())
		}
		// Violations must never happen, so the maximum over the seeds counts.
		inversions.observe(c.Values["inversions"].Max, c.where())
		tierViolations.observe(c.Values["tier_violations"].Max, c.where())
		floorViolations.observe(c.Values["floor_violations"].Max, c.where())
		refusalDelay.observe(c.Values["refusal_delay.p99"].Median, c.where())
	}
	flood := newWorstCase("loss of other accounts to a large one", aimFloodLoss, false)
	for _, f := range r.Floods {
		if f.Policy == PolicyProduct {
			flood.observe(f.Loss.Median, f.Workload)
		}
	}
	targets := []Target{}
	for _, w := range []*worstCase{attainment, serviceAttainment, goodputTarget(r), wasted, wastedWithFaults, inversions, tierViolations, floorViolations, firstToken, interTokenLatency, refusalDelay, flood} {
		targets = append(targets, w.target)
	}
	return targets
}

// goodputTarget compares the goodput of the product under overload with the best
// goodput of any policy at full load.
func goodputTarget(r *Report) *worstCase {
	target := newWorstCase("goodput at 2.5 over the best at 1.0", aimGoodput, true)
	best := map[string]float64{}
	for _, c := range r.Cases {
		if c.Load == fullLoad && c.Fault == FaultNone {
			best[c.Workload] = max(best[c.Workload], c.Values["goodput"].Median)
		}
	}
	for _, c := range r.Cases {
		if c.Policy == PolicyProduct && c.Load == overload && c.Fault == FaultNone && best[c.Workload] > 0 {
			target.observe(c.Values["goodput"].Median/best[c.Workload], c.where())
		}
	}
	return target
}

func findWorkload(name string) Workload {
	for _, w := range Workloads() {
		if w.Name == name {
			return w
		}
	}
	return Workload{}
}
