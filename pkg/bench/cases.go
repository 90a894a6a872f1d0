package bench

import (
	"context"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options choose what the bench runs.
type Options struct {
	// FirstSeed and Seeds fix the seeds of every case.
	FirstSeed uint64
	Seeds     int
	Loads     []float64
	Faults    []Fault
	Workloads []string
	// Floods adds the cases of one large account.
	Floods bool
	// Parallel bounds the runs at once.
	Parallel int
}

// DefaultOptions returns the options of `make bench`.
func DefaultOptions() Options {
	return Options{
		FirstSeed: 1,
		Seeds:     5,
		Loads:     []float64{0.7, 1.0, 1.5, 2.5},
		Faults:    []Fault{FaultNone, FaultStraggler, FaultCrash, FaultLag},
		Workloads: []string{"rappel", "kavtaradze"},
		Floods:    true,
		Parallel:  max(1, runtime.GOMAXPROCS(0)/2),
	}
}

// Case is one workload, load, fault and policy over all seeds.
type Case struct {
	Workload string     `json:"workload"`
	Load     float64    `json:"load"`
	Fault    Fault      `json:"fault"`
	Policy   PolicyName `json:"policy"`
	// ModelTopFits and ServiceTopFits say whether the top tier alone fits the
	// capacity of the target, burst included.
	ModelTopFits   bool `json:"model_top_fits"`
	ServiceTopFits bool `json:"service_top_fits"`
	// Values holds each figure by its name.
	Values map[string]Summary `json:"values"`
}

// Summary is one figure over the seeds.
type Summary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// summarize returns the median and the spread of the samples.
func summarize(samples []float64) Summary {
	sorted := slices.Sorted(slices.Values(samples))
	n := len(sorted)
	if n == 0 {
		return Summary{}
	}
	return Summary{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Min: sorted[0], Max: sorted[n-1]}
}

// Flood is the effect of one large account on the others: their attainment in
// the top tier without it less that with it.
type Flood struct {
	Workload string     `json:"workload"`
	Policy   PolicyName `json:"policy"`
	Loss     Summary    `json:"loss"`
}

// Report is the outcome of a bench.
type Report struct {
	Options Options  `json:"options"`
	Cases   []Case   `json:"cases"`
	Floods  []Flood  `json:"floods"`
	Targets []Target `json:"targets"`
}

// caseKey names a case.
type caseKey struct {
	workload string
	load     float64
	fault    Fault
	policy   PolicyName
}

// collector gathers the samples of all runs.
type collector struct {
	mu      sync.Mutex
	samples map[caseKey]map[string][]float64
	losses  map[Flood][]float64
}

// Run plays every case and judges the targets. It returns the first failure, or
// that of ctx.
func Run(ctx context.Context, options Options) (*Report, error) {
	c := &collector{samples: make(map[caseKey]map[string][]float64), losses: make(map[Flood][]float64)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(options.Parallel, 1))
	for _, w := range options.chosen() {
		for i := range options.Seeds {
			seed := options.FirstSeed + uint64(i)
			for _, load := range options.Loads {
				group.Go(func() error { return c.runLoad(ctx, options, w, load, seed) })
			}
			if options.Floods {
				group.Go(func() error { return c.runFlood(ctx, w, seed) })
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	report := &Report{Options: options}
	report.collect(c)
	report.Targets = judge(report)
	return report, nil
}

// chosen returns the workloads that the options name.
func (o Options) chosen() []Workload {
	return slices.DeleteFunc(Workloads(), func(w Workload) bool { return !slices.Contains(o.Workloads, w.Name) })
}

// runLoad plays all policies and faults on one trace.
func (c *collector) runLoad(ctx context.Context, options Options, w Workload, load float64, seed uint64) error {
	trace := w.trace(seed, load, 0)
	for _, fault := range options.Faults {
		for _, policy := range Policies() {
			if err := ctx.Err(); err != nil {
				return err
			}
			figures, err := measure(simulate(w, seed, trace, fault, policy))
			if err != nil {
				return err
			}
			c.add(caseKey{w.Name, load, fault, policy}, figures)
		}
	}
	return nil
}

// add keeps the figures of one run.
func (c *collector) add(key caseKey, figures Figures) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples[key] == nil {
		c.samples[key] = make(map[string][]float64)
	}
	for name, value := range figures.values() {
		c.samples[key][name] = append(c.samples[key][name], value)
	}
}

const (
	// floodBase is the load of the ordinary accounts in the flood case.
	floodBase = 0.5
	// floodLoad is what one account adds in the top tier, as a multiple of the
	// engines' capacity.
	floodLoad = 1.5
)

// runFlood measures what one large account takes from the others.
func (c *collector) runFlood(ctx context.Context, w Workload, seed uint64) error {
	for _, policy := range Policies() {
		if err := ctx.Err(); err != nil {
			return err
		}
		calm := othersAttainment(simulate(w, seed, w.trace(seed, floodBase, 0), FaultNone, policy))
		flooded := othersAttainment(simulate(w, seed, w.trace(seed, floodBase, floodLoad), FaultNone, policy))
		c.mu.Lock()
		key := Flood{Workload: w.Name, Policy: policy}
		c.losses[key] = append(c.losses[key], calm-flooded)
		c.mu.Unlock()
	}
	return nil
}

// othersAttainment returns the attainment of the top model tier without the
// flooding account.
func othersAttainment(s *simulation) float64 {
	offered, attained := 0, 0
	for _, r := range s.requests {
		class := r.arrival.class
		if r.arrival.account == floodAccount || r.arrival.at < countFrom ||
			class.Target != modelTarget || class.Class.Tier != topTier(s.workload) {
			continue
		}
		offered++
		if r.attained() {
			attained++
		}
	}
	return float64(attained) / float64(max(offered, 1))
}

// collect orders the samples into cases.
func (r *Report) collect(c *collector) {
	for _, w := range r.Options.chosen() {
		for _, fault := range r.Options.Faults {
			for _, load := range r.Options.Loads {
				for _, policy := range Policies() {
					r.Cases = append(r.Cases, newCase(w, caseKey{w.Name, load, fault, policy}, c))
				}
			}
		}
		if !r.Options.Floods {
			continue
		}
		for _, policy := range Policies() {
			key := Flood{Workload: w.Name, Policy: policy}
			r.Floods = append(r.Floods, Flood{Workload: w.Name, Policy: policy, Loss: summarize(c.losses[key])})
		}
	}
}

func newCase(w Workload, key caseKey, c *collector) Case {
	one := Case{
		Workload: key.workload, Load: key.load, Fault: key.fault, Policy: key.policy,
		ModelTopFits: w.topFits(modelTarget, key.load), ServiceTopFits: w.topFits(serviceTarget, key.load),
		Values: make(map[string]Summary),
	}
	for name, samples := range c.samples[key] {
		one.Values[name] = summarize(samples)
	}
	return one
}

// topModelKey and topServiceKey name the top tiers' attainment.
func topModelKey(w Workload) string   { return "tier." + tierName(modelTarget, topTier(w)) }
func topServiceKey(w Workload) string { return "tier." + tierName(serviceTarget, topTier(w)) }

func tierName(target types.TargetName, tier types.Tier) string {
	return string(target) + "-" + string(rune('0'+tier))
}

// values returns the figures by name.
func (f Figures) values() map[string]float64 {
	v := map[string]float64{
		"goodput": f.Goodput, "wasted": f.Wasted, "inversions": f.Inversions,
		"tier_violations": f.TierViolations, "floor_violations": f.FloorViolations,
		"refusals": f.Refusals, "extra_attempts": f.ExtraAttempts,
	}
	for name, share := range f.Attainment {
		v["class."+string(name)] = share
	}
	for name, share := range f.TierAttainment {
		v["tier."+name] = share
	}
	for name, q := range map[string]Quantiles{
		"first_token": f.FirstToken, "gap": f.Gap, "refusal_time": f.RefusalTime, "refusal_delay": f.RefusalDelay,
	} {
		v[name+".p50"], v[name+".p95"], v[name+".p99"] = q.P50, q.P95, q.P99
	}
	return v
}
