package simulate

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// Figures are what callers got of one kind of request, or of all.
type Figures struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Left    int `json:"left"`
	// Worth is what the answers are worth against what all would be, in time.
	Worth float64 `json:"worth"`
	// Largest is the share of the largest tenth that was served, against that of
	// all.
	Largest float64 `json:"largest"`
	// FirstEvent is the time to the first event, as the caller sees it.
	FirstEvent Quantiles `json:"first_event"`
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
}

// Run is the outcome of one run.
type Run struct {
	ByKind map[string]Figures `json:"by_kind"`
	All    Figures            `json:"all"`
	// Preempted counts requests that engines put back.
	Preempted int `json:"preempted"`
	// ReadAgain counts prompt tokens read beyond the first reading of each part.
	ReadAgain int `json:"read_again"`
	// Busy is the share of the day in which the engines' steps ran, by the prompt
	// tokens that they could have read instead.
	Busy float64 `json:"busy"`
}

const (
	// sizeBase and sizeWeight give the worth of a request by its size against the
	// mean of its kind, and largestWorth bounds it, as the users state.
	sizeBase, sizeWeight, largestWorth = 0.3, 0.7, 4.0
	// outputSize is the size of an output token in prompt tokens.
	outputSize = 10
)

func (r *request) size() float64 { return float64(r.work.Tokens + outputSize*r.output) }

// measure returns the figures of a run that has ended.
func (w *world) measure() Run {
	run := Run{ByKind: make(map[string]Figures)}
	owed, earned := 0.0, 0.0
	for i := range w.site.Kinds {
		k := &w.site.Kinds[i]
		var list []*request
		for _, r := range w.requests {
			if r.kind == k {
				list = append(list, r)
			}
		}
		figures, kindOwed, kindEarned := figuresOf(list)
		owed, earned = owed+kindOwed, earned+kindEarned
		run.ByKind[k.Name] = figures
	}
	run.All, _, _ = figuresOf(w.requests)
	run.All.Worth = earned / max(owed, 1)
	counters := w.counters()
	run.Preempted = counters.Preemptions
	run.ReadAgain = max(counters.PrefillTokens-w.leastRead(), 0)
	read := float64(counters.PrefillTokens)*w.site.Engine.StepPerPrefillToken.Seconds() + float64(counters.Steps)*w.site.Engine.StepBase.Seconds()
	run.Busy = read / (float64(w.site.Engines) * w.day.Length.Seconds())
	return run
}

func (w *world) counters() model.Counters {
	var all model.Counters
	for _, s := range w.engines {
		all.Add(s.ended)
		if !s.down {
			all.Add(s.engine.Counters())
		}
	}
	return all
}

// leastRead is what the engines would read if each part were read once.
func (w *world) leastRead() int {
	tokens := 0
	seen := make(map[uint64]bool)
	for _, r := range w.requests {
		if r.runs == 0 {
			continue
		}
		tokens += r.own
		for _, part := range r.parts {
			if !seen[part.ID] {
				seen[part.ID] = true
				tokens += part.Tokens
			}
		}
	}
	return tokens
}

// figuresOf returns the figures of some requests and their worth.
func figuresOf(list []*request) (f Figures, owed, earned float64) {
	mean := 0.0
	for _, r := range list {
		mean += r.size() / float64(len(list))
	}
	var first []time.Duration
	for _, r := range list {
		weight := min(sizeBase+sizeWeight*r.size()/mean, largestWorth)
		owed += weight * r.kind.Worth
		f.Asked++
		switch r.outcome {
		case InTime:
			f.InTime++
			earned += weight * r.kind.Worth
		case Late:
			f.Late++
			earned += weight * r.kind.Late
		case Refused:
			f.Refused++
		case Failed:
			f.Failed++
		default:
			f.Left++
		}
		if r.first > 0 {
			first = append(first, r.first-r.came)
		}
	}
	f.Worth = earned / max(owed, 1)
	f.Largest = largestShare(list)
	slices.Sort(first)
	f.FirstEvent = Quantiles{Median: quantile(first, 0.5), P95: quantile(first, 0.95)}
	return f, owed, earned
}

// largestShare compares how often the largest tenth is served with all.
func largestShare(list []*request) float64 {
	bySize := slices.Clone(list)
	slices.SortStableFunc(bySize, func(a, b *request) int { return b.work.Tokens - a.work.Tokens })
	all := served(bySize)
	if all == 0 {
		return 0
	}
	return served(bySize[:(len(bySize)+9)/10]) / all
}

func served(list []*request) float64 {
	count := 0
	for _, r := range list {
		if r.outcome == InTime || r.outcome == Late {
			count++
		}
	}
	return float64(count) / float64(max(len(list), 1))
}

// quantile returns a quantile of sorted times in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
