package simulate

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// Metrics summarizes the outcomes of the requests of one kind, or of all.
type Metrics struct {
	Requests  int `json:"asked"`
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Abandoned int `json:"left"`
	// Worth is the value of the answers divided by the value that they would have
	// if all requests were answered in time.
	Worth float64 `json:"worth"`
	// LargestServedRatio is the served share of the tenth of the requests with the
	// longest prompts, divided by the served share of all.
	LargestServedRatio float64 `json:"largest"`
	// FirstEvent is the time from the arrival to the first event of the answer.
	FirstEvent Quantiles `json:"first_event"`
}

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
}

// Result holds the metrics of one run.
type Result struct {
	ByKind map[string]Metrics `json:"by_kind"`
	All    Metrics            `json:"all"`
	// Preempted counts the preemptions of running sequences by the engines.
	Preempted int `json:"preempted"`
	// RepeatedPrefillTokens counts the prefilled tokens beyond the first prefill
	// of each prompt segment.
	RepeatedPrefillTokens int `json:"read_again"`
	// Utilization estimates the share of the day in which the engines were busy,
	// from the prefilled tokens and the base time of the steps.
	Utilization float64 `json:"busy"`
	// Limits tells how the limits of the engines were kept and used.
	Limits LimitUse `json:"limits"`
	// Cold tells how the bounds of cold engines were kept.
	Cold ColdUse `json:"cold"`
	// LateWork tells what became of late work.
	LateWork LateUse `json:"late_work"`
	// Parts tells what crashes did to the engines and to the requests.
	Parts PartUse `json:"parts"`
}

const (
	// The value of an answer is multiplied by a weight: baseWeight plus sizeWeight
	// times the size of the request relative to the mean size of its kind, at most
	// maxWeight.
	baseWeight, sizeWeight, maxWeight = 0.3, 0.7, 4.0
	// outputTokenSize is the size of an output token in prompt tokens.
	outputTokenSize = 10
)

func (r *request) size() float64 { return float64(r.work.Tokens + outputTokenSize*r.outputTokens) }

// metrics returns the result of a finished run.
func (sim *simulation) metrics() Result {
	result := Result{ByKind: make(map[string]Metrics)}
	possible, achieved := 0.0, 0.0
	for i := range sim.site.Kinds {
		kind := &sim.site.Kinds[i]
		var requests []*request
		for _, r := range sim.requests {
			if r.kind == kind {
				requests = append(requests, r)
			}
		}
		kindMetrics, kindPossible, kindAchieved := metricsOf(requests)
		possible, achieved = possible+kindPossible, achieved+kindAchieved
		result.ByKind[kind.Name] = kindMetrics
	}
	result.All, _, _ = metricsOf(sim.requests)
	result.All.Worth = achieved / max(possible, 1)
	counters := sim.counters()
	result.Preempted = counters.Preemptions
	result.RepeatedPrefillTokens = max(counters.PrefillTokens-sim.minimumPrefillTokens(), 0)
	stepSeconds := float64(counters.PrefillTokens)*sim.site.Engine.StepPerPrefillToken.Seconds() + float64(counters.Steps)*sim.site.Engine.StepBase.Seconds()
	result.LateWork = sim.lateUse()
	result.Limits, result.Parts, result.Cold = sim.limitUse(), sim.partUse(), sim.coldUse()
	result.Utilization = stepSeconds / (float64(sim.site.Engines) * sim.day.Length.Seconds())
	return result
}

func (sim *simulation) counters() model.Counters {
	var total model.Counters
	for _, slot := range sim.engines {
		total.Add(slot.pastCounters)
		if !slot.down {
			total.Add(slot.engine.Counters())
		}
	}
	return total
}

// minimumPrefillTokens returns the number of tokens that the engines would
// prefill if each prompt segment were prefilled once.
func (sim *simulation) minimumPrefillTokens() int {
	tokens := 0
	counted := make(map[uint64]bool)
	for _, r := range sim.requests {
		if r.executions == 0 {
			continue
		}
		tokens += r.uniqueTokens
		for _, segment := range r.segments {
			if !counted[segment.ID] {
				counted[segment.ID] = true
				tokens += segment.Tokens
			}
		}
	}
	return tokens
}

// metricsOf returns the metrics of the requests, the value that they would have
// if all were answered in time, and the value achieved.
func metricsOf(requests []*request) (metrics Metrics, possible, achieved float64) {
	meanSize := 0.0
	for _, r := range requests {
		meanSize += r.size() / float64(len(requests))
	}
	var firstEvents []time.Duration
	for _, r := range requests {
		weight := min(baseWeight+sizeWeight*r.size()/meanSize, maxWeight)
		possible += weight * r.kind.Worth
		metrics.Requests++
		switch r.outcome {
		case InTime:
			metrics.InTime++
			achieved += weight * r.kind.Worth
		case Late:
			metrics.Late++
			achieved += weight * r.kind.LateWorth
		case Refused:
			metrics.Refused++
		case Failed:
			metrics.Failed++
		default:
			metrics.Abandoned++
		}
		if r.firstEventAt > 0 {
			firstEvents = append(firstEvents, r.firstEventAt-r.arrivedAt)
		}
	}
	metrics.Worth = achieved / max(possible, 1)
	metrics.LargestServedRatio = largestServedRatio(requests)
	slices.Sort(firstEvents)
	metrics.FirstEvent = Quantiles{Median: quantile(firstEvents, 0.5), P95: quantile(firstEvents, 0.95)}
	return metrics, possible, achieved
}

// largestServedRatio returns Metrics.LargestServedRatio of the requests.
func largestServedRatio(requests []*request) float64 {
	bySize := slices.Clone(requests)
	slices.SortStableFunc(bySize, func(a, b *request) int { return b.work.Tokens - a.work.Tokens })
	servedOfAll := servedShare(bySize)
	if servedOfAll == 0 {
		return 0
	}
	return servedShare(bySize[:(len(bySize)+9)/10]) / servedOfAll
}

func servedShare(requests []*request) float64 {
	count := 0
	for _, r := range requests {
		if r.outcome == InTime || r.outcome == Late {
			count++
		}
	}
	return float64(count) / float64(max(len(requests), 1))
}

// quantile returns a quantile of sorted durations in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
