package bench

import (
	"context"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options configures Run. It selects the cases to run.
type Options struct {
	// FirstSeed and Seeds select the seeds of every case.
	FirstSeed uint64
	Seeds     int
	Loads     []float64
	Faults    []Fault
	Workloads []string
	// Floods adds the cases in which one account floods the top tier.
	Floods bool
	// Parallel is the maximum number of concurrent runs.
	Parallel int
}

// DefaultOptions returns the options that `make bench` uses.
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

// Case holds the results of one workload, load, fault and policy for all seeds.
type Case struct {
	Workload string     `json:"workload"`
	Load     float64    `json:"load"`
	Fault    Fault      `json:"fault"`
	Policy   PolicyName `json:"policy"`
	// ModelTopFits and ServiceTopFits are true if the load of the top tier alone,
	// including the burst, fits the capacity of the target.
	ModelTopFits   bool `json:"model_top_fits"`
	ServiceTopFits bool `json:"service_top_fits"`
	// Values holds the metrics by name.
	Values map[string]Summary `json:"values"`
}

// Summary summarizes a metric over the seeds.
type Summary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// summarize returns the median, minimum and maximum of the samples.
func summarize(samples []float64) Summary {
	sorted := slices.Sorted(slices.Values(samples))
	n := len(sorted)
	if n == 0 {
		return Summary{}
	}
	return Summary{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Min: sorted[0], Max: sorted[n-1]}
}

// Flood is the effect of one large account on the others. Loss is their
// attainment in the top tier without the large account minus that with it.
type Flood struct {
	Workload string     `json:"workload"`
	Policy   PolicyName `json:"policy"`
	Loss     Summary    `json:"loss"`
}

// Report holds the results of all cases and targets.
type Report struct {
	Options Options  `json:"options"`
	Cases   []Case   `json:"cases"`
	Floods  []Flood  `json:"floods"`
	Targets []Target `json:"targets"`
}

// caseKey identifies a case.
type caseKey struct {
	workload string
	load     float64
	fault    Fault
	policy   PolicyName
}

// collector collects the metrics of all runs. It is safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	samples map[caseKey]map[string][]float64
	losses  map[Flood][]float64
}

// Run runs every case and evaluates the targets. It returns the first error, or
// that of ctx.
func Run(ctx context.Context, options Options) (*Report, error) {
	c := &collector{samples: make(map[caseKey]map[string][]float64), losses: make(map[Flood][]float64)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(options.Parallel, 1))
	for _, w := range options.selectedWorkloads() {
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
	report.Targets = evaluateTargets(report)
	return report, nil
}

// selectedWorkloads returns the workloads that the options name.
func (o Options) selectedWorkloads() []Workload {
	return slices.DeleteFunc(Workloads(), func(w Workload) bool { return !slices.Contains(o.Workloads, w.Name) })
}

// runLoad runs all policies and faults on one trace.
func (c *collector) runLoad(ctx context.Context, options Options, w Workload, load float64, seed uint64) error {
	trace := w.trace(seed, load, 0)
	for _, fault := range options.Faults {
		for _, policy := range Policies() {
			if err := ctx.Err(); err != nil {
				return err
			}
			metrics, err := measure(simulate(w, seed, trace, fault, policy))
			if err != nil {
				return err
			}
			c.add(caseKey{w.Name, load, fault, policy}, metrics)
		}
	}
	return nil
}

// add adds the metrics of one run.
func (c *collector) add(key caseKey, metrics Metrics) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples[key] == nil {
		c.samples[key] = make(map[string][]float64)
	}
	for name, value := range metrics.values() {
		c.samples[key][name] = append(c.samples[key][name], value)
	}
}

const (
	// floodBaseLoad is the load of the other accounts in the flood case.
	floodBaseLoad = 0.5
	// floodLoad is the load that one account adds in the top tier, as a multiple of
	// the engines' capacity.
	floodLoad = 1.5
)

// runFlood measures the attainment that the others lose to one large account.
func (c *collector) runFlood(ctx context.Context, w Workload, seed uint64) error {
	for _, policy := range Policies() {
		if err := ctx.Err(); err != nil {
			return err
		}
		withoutFlood := othersAttainment(simulate(w, seed, w.trace(seed, floodBaseLoad, 0), FaultNone, policy))
		withFlood := othersAttainment(simulate(w, seed, w.trace(seed, floodBaseLoad, floodLoad), FaultNone, policy))
		c.mu.Lock()
		key := Flood{Workload: w.Name, Policy: policy}
		c.losses[key] = append(c.losses[key], withoutFlood-withFlood)
		c.mu.Unlock()
	}
	return nil
}

// othersAttainment returns the attainment of the top tier of the model target
// for all accounts but the flooding one.
func othersAttainment(s *simulation) float64 {
	offered, attained := 0, 0
	for _, r := range s.requests {
		class := r.arrival.class
		if r.arrival.account == floodAccount || r.arrival.at < warmUpTime ||
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

// collect fills the cases and floods of the report.
func (r *Report) collect(c *collector) {
	for _, w := range r.Options.selectedWorkloads() {
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
	result := Case{
		Workload: key.workload, Load: key.load, Fault: key.fault, Policy: key.policy,
		ModelTopFits: w.topTierFits(modelTarget, key.load), ServiceTopFits: w.topTierFits(serviceTarget, key.load),
		Values: make(map[string]Summary),
	}
	for name, samples := range c.samples[key] {
		result.Values[name] = summarize(samples)
	}
	return result
}

// topModelKey and topServiceKey return the names of the attainment of the top
// tiers in Case.Values.
func topModelKey(w Workload) string   { return "tier." + tierName(modelTarget, topTier(w)) }
func topServiceKey(w Workload) string { return "tier." + tierName(serviceTarget, topTier(w)) }

func tierName(target types.TargetName, tier types.Tier) string {
	return string(target) + "-" + string(rune('0'+tier))
}

// values returns the metrics by name.
func (m Metrics) values() map[string]float64 {
	v := map[string]float64{
		"goodput": m.Goodput, "wasted": m.Wasted, "inversions": m.Inversions,
		"tier_violations": m.TierViolations, "floor_violations": m.FloorViolations,
		"refusals": m.Refusals, "extra_attempts": m.ExtraAttempts,
	}
	for name, share := range m.Attainment {
		v["class."+string(name)] = share
	}
	for name, share := range m.TierAttainment {
		v["tier."+name] = share
	}
	for name, quantiles := range map[string]Quantiles{
		"first_token": m.FirstToken, "gap": m.InterTokenLatency, "refusal_time": m.RefusalTime, "refusal_delay": m.RefusalDelay,
	} {
		v[name+".p50"], v[name+".p95"], v[name+".p99"] = quantiles.P50, quantiles.P95, quantiles.P99
	}
	return v
}
