package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Figures are the measurements of one run.
type Figures struct {
	// Attainment is the share of the requests of each class that were answered
	// within all of the class's targets.
	Attainment map[types.ClassName]float64 `json:"attainment"`
	// TierAttainment is the same by tier, engines and services apart.
	TierAttainment map[string]float64 `json:"tier_attainment"`
	// Goodput counts the answer tokens a second of attained requests that
	// arrived in the counted time.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// Wasted is the share of the engines' tokens, read and generated, that no
	// complete answer needed.
	Wasted float64 `json:"wasted"`
	// Inversions counts the requests that ended without an answer although a
	// lower tier of their target started while they waited, floors apart.
	Inversions float64 `json:"inversions"`
	// TierViolations and FloorViolations are what the history checkers found in
	// the steps of the dispatchers.
	TierViolations  float64   `json:"tier_violations"`
	FloorViolations float64   `json:"floor_violations"`
	FirstToken      Quantiles `json:"first_token_ms"`
	Gap             Quantiles `json:"gap_ms"`
	// Refusals is the share of requests that were refused or given up.
	Refusals float64 `json:"refusals"`
	// RefusalTime is the time from the arrival to the refusal, RefusalDelay that
	// from the decision to the caller.
	RefusalTime  Quantiles `json:"refusal_ms"`
	RefusalDelay Quantiles `json:"refusal_delay_ms"`
	// ExtraAttempts counts the attempts beyond the first of each request.
	ExtraAttempts float64 `json:"extra_attempts"`
}

// Quantiles are in milliseconds. Those of first tokens and gaps are of the top
// tier's model classes.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	// histogramMax is the longest time that they hold, in microseconds.
	histogramMax = 300_000_000
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// record adds a duration; longer ones count as the longest that is held.
func record(h *hdrhistogram.Histogram, d time.Duration) error {
	return h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// tally counts the requests of a run.
type tally struct {
	offered, attained           map[types.ClassName]int
	tierOffered, tierAttained   map[string]int
	firsts, gaps, times, delays *hdrhistogram.Histogram
	goodTokens                  int
	refused, inverted, extra    int
	total, spent, useful        int
}

// measure computes the figures of an ended run.
func measure(s *simulation) (Figures, error) {
	t := &tally{
		offered: map[types.ClassName]int{}, attained: map[types.ClassName]int{},
		tierOffered: map[string]int{}, tierAttained: map[string]int{},
		firsts: newHistogram(), gaps: newHistogram(), times: newHistogram(), delays: newHistogram(),
	}
	for _, r := range s.requests {
		if r.state != ended {
			return Figures{}, fault.New(fault.Internal, "request "+string(r.arrival.id)+" never ended")
		}
		if r.arrival.at < countFrom {
			continue
		}
		if err := t.add(r); err != nil {
			return Figures{}, fault.Wrap(fault.Internal, err, "a time does not fit the histogram")
		}
	}
	f := t.figures()
	f.Wasted = t.wasted(s)
	f.TierViolations, f.FloorViolations = s.violations()
	return f, nil
}

// tierKey names a tier of a target.
func tierKey(c *ClassLoad) string {
	return tierName(c.Target, c.Class.Tier)
}

// add counts one request.
func (t *tally) add(r *request) error {
	class := r.arrival.class
	t.total++
	t.offered[class.Class.Name]++
	t.tierOffered[tierKey(class)]++
	t.extra += max(r.starts-1, 0)
	t.addWork(r)
	if r.attained() {
		t.attained[class.Class.Name]++
		t.tierAttained[tierKey(class)]++
		t.goodTokens += r.tokens
	}
	if !r.completed {
		return t.addRefused(r)
	}
	if class.Target != modelTarget || class.Class.Tier != topTier(r.sim.workload) {
		return nil
	}
	if err := record(t.firsts, r.firstToken()); err != nil {
		return err
	}
	return record(t.gaps, r.meanGap())
}

// addRefused counts a request that ended without its answer.
func (t *tally) addRefused(r *request) error {
	t.refused++
	if r.overtaken && r.starts == 0 {
		t.inverted++
	}
	if err := record(t.times, r.end-r.arrival.at); err != nil {
		return err
	}
	return record(t.delays, r.end-r.decidedAt)
}

func (t *tally) figures() Figures {
	f := Figures{Attainment: map[types.ClassName]float64{}, TierAttainment: map[string]float64{}}
	for name, n := range t.offered {
		f.Attainment[name] = float64(t.attained[name]) / float64(n)
	}
	for key, n := range t.tierOffered {
		f.TierAttainment[key] = float64(t.tierAttained[key]) / float64(n)
	}
	f.Goodput = float64(t.goodTokens) / (traceLength - countFrom).Seconds()
	f.Inversions = float64(t.inverted)
	f.Refusals = float64(t.refused) / float64(max(t.total, 1))
	f.ExtraAttempts = float64(t.extra)
	f.FirstToken = quantilesOf(t.firsts)
	f.Gap = quantilesOf(t.gaps)
	f.RefusalTime = quantilesOf(t.times)
	f.RefusalDelay = quantilesOf(t.delays)
	return f
}

// addWork counts the engine tokens of a request: all that its attempts read and
// generated, and the part that its complete answer needed.
func (t *tally) addWork(r *request) {
	if r.arrival.class.Target != modelTarget {
		return
	}
	t.spent += r.read + r.tokens
	if r.completed {
		t.useful += r.arrival.prompt + r.arrival.answer
	}
}

// wasted returns the share of the engines' tokens that no complete answer
// needed. What the engines read again of their own accord counts too.
func (t *tally) wasted(s *simulation) float64 {
	read, asked := 0, 0
	for _, u := range s.upstreams {
		read += u.counters().PrefillTokens
	}
	for _, r := range s.requests {
		if r.arrival.class.Target == modelTarget {
			asked += r.read
		}
	}
	repeated := float64(max(read-asked, 0)) / float64(max(read, 1))
	spent := float64(t.spent) + repeated*float64(t.spent)
	if spent == 0 {
		return 0
	}
	return 1 - float64(t.useful)/spent
}

const (
	// checkerLateness is the time left to a target below which a request counts
	// as late by its own age.
	checkerLateness = 150 * time.Millisecond
	// checkerPerToken is added for each token of the prompt: a step of 60 ms reads
	// 2048 of them at 20 µs each.
	checkerPerToken = 50 * time.Microsecond
	// checkerFeasible is the time left at the enqueuing from which a request may
	// not be given up while lower work runs that never gave way for it.
	checkerFeasible = 300 * time.Millisecond
	// checkerGrace is added to the interval of a floor.
	checkerGrace = 500 * time.Millisecond
)

// tierOptions are what the checker of tiers takes for late.
var tierOptions = history.TierOptions{
	LateThreshold: checkerLateness, PerPromptToken: checkerPerToken, FeasibleThreshold: checkerFeasible,
}

// violations runs the history checkers over the dispatchers' steps.
func (s *simulation) violations() (tiers, floors float64) {
	for _, p := range s.arrangement.points {
		if !p.recorded {
			continue
		}
		broken, _ := history.Tiers(p.steps, tierOptions)
		tiers += float64(len(broken))
		starved, _ := history.Floors(p.steps, history.FloorOptions{Grace: checkerGrace})
		floors += float64(len(starved))
	}
	return tiers, floors
}
