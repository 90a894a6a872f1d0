// Package bench measures the decisions of the router against its baselines in
// virtual time. One process runs the pure policies over the pure engine models
// on the same seeded load; nothing is sent over a network.
package bench

import (
	"math"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The targets of every workload.
const (
	modelTarget   types.TargetName = "model"
	serviceTarget types.TargetName = "service"
)

// Workload describes the load and the upstreams of one user.
type Workload struct {
	Name        string
	DataCentres int
	Engines     int
	Services    int
	Classes     []ClassLoad
	// Burst multiplies the arrivals of the classes that burst.
	Burst float64
}

// ClassLoad is the load of one class.
type ClassLoad struct {
	Class  config.Class
	Target types.TargetName
	// Share is the class's part of the requests to its target.
	Share float64
	// Bursts says that the class's arrivals rise in the burst.
	Bursts bool
	// PromptTokens is the median prompt; prompts are log-normal.
	PromptTokens float64
	// AnswerTokens is the median answer; answers are log-normal.
	AnswerTokens float64
	// Spread is the standard deviation of the logarithm of prompts and answers.
	Spread float64
	// Repeatable says that an attempt may be repeated.
	Repeatable bool
}

const (
	// topFirstToken and topGap are the targets of the top tiers.
	topFirstToken config.Milliseconds = 320
	topGap        config.Milliseconds = 73
	// serviceTime is the median time of a call to a plain service.
	serviceTime = 50 * time.Millisecond
	// serviceSpread is the standard deviation of its logarithm.
	serviceSpread = 0.4
	// servicePlaces is the number of calls that a worker runs at once.
	servicePlaces = 2
)

// Workloads returns the two workloads.
func Workloads() []Workload {
	return []Workload{rappel(), kavtaradze()}
}

func floor(starts int, interval config.Milliseconds) config.Floor {
	return config.Floor{Starts: starts, Interval: interval}
}

// rappel is a callback queue on a Monday morning.
func rappel() Workload {
	return Workload{
		Name: "rappel", DataCentres: 4, Engines: 9, Services: 4, Burst: 1.8,
		Classes: []ClassLoad{
			{Class: config.Class{Name: "summary", Tier: 3, FirstToken: topFirstToken, BetweenTokens: topGap, Deadline: 120000, Floor: floor(1, 5000)},
				Target: modelTarget, Share: 0.2, Bursts: true, PromptTokens: 700, AnswerTokens: 100, Spread: 0.6, Repeatable: true},
			{Class: config.Class{Name: "script", Tier: 2, FirstToken: 1000, BetweenTokens: topGap, Deadline: 150000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.4, Bursts: true, PromptTokens: 500, AnswerTokens: 120, Spread: 0.8, Repeatable: true},
			{Class: config.Class{Name: "backlog", Tier: 1, Deadline: 300000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.4, PromptTokens: 700, AnswerTokens: 150, Spread: 1, Repeatable: true},
			{Class: config.Class{Name: "claim", Tier: 3, Deadline: 1000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.3, Bursts: true},
			{Class: config.Class{Name: "status", Tier: 2, Deadline: 2000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.7, Repeatable: true},
		},
	}
}

// kavtaradze is a booking assistant on a Friday evening.
func kavtaradze() Workload {
	return Workload{
		Name: "kavtaradze", DataCentres: 3, Engines: 18, Services: 3, Burst: 1.8,
		Classes: []ClassLoad{
			{Class: config.Class{Name: "parent", Tier: 3, FirstToken: topFirstToken, BetweenTokens: topGap, Deadline: 120000, Floor: floor(1, 5000)},
				Target: modelTarget, Share: 0.2, Bursts: true, PromptTokens: 400, AnswerTokens: 120, Spread: 0.8, Repeatable: true},
			{Class: config.Class{Name: "entertainer", Tier: 2, FirstToken: 1500, BetweenTokens: 100, Deadline: 150000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.3, Bursts: true, PromptTokens: 600, AnswerTokens: 150, Spread: 0.8, Repeatable: true},
			{Class: config.Class{Name: "draft", Tier: 1, Deadline: 300000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.5, PromptTokens: 500, AnswerTokens: 250, Spread: 1, Repeatable: true},
			{Class: config.Class{Name: "confirm", Tier: 3, Deadline: 1000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.3, Bursts: true},
			{Class: config.Class{Name: "calendar", Tier: 2, Deadline: 2000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.7, Repeatable: true},
		},
	}
}

// engineSettings returns the model of every engine: steps of 12 ms when idle and
// about 73 ms with a hundred sequences.
func engineSettings(seed uint64) model.Settings {
	return model.Settings{
		Seed: seed, StepBase: 12 * time.Millisecond, StepPerSequence: 500 * time.Microsecond,
		StepPerPrefillToken: 20 * time.Microsecond, Jitter: 0.05, Straggle: 1,
		MaxBatch: 128, PrefillChunk: 2048, KVTokens: 128 * 1024, PrefixTokens: 0,
	}
}

// meanOf returns the mean of a log-normal distribution with the given median.
func meanOf(median, spread float64) float64 {
	return median * math.Exp(spread*spread/2)
}

// capacity returns the requests a second that the target can serve at the
// workload's mix: the rate at which an engine's steps reach the between-token
// target or its memory is full.
func (w Workload) capacity(target types.TargetName) float64 {
	if target == serviceTarget {
		return float64(w.Services*servicePlaces) / meanOf(serviceTime.Seconds(), serviceSpread)
	}
	prompt, answer := w.meanTokens()
	s := engineSettings(0)
	batch := min(float64(s.MaxBatch), float64(s.KVTokens)/(prompt+answer/2))
	best := 0.0
	for b := 1.0; b <= batch; b++ {
		// One request costs answer/b of a step's own time and its prompt.
		generate := (s.StepBase.Seconds() + b*s.StepPerSequence.Seconds()) * answer / b
		cost := generate + prompt*s.StepPerPrefillToken.Seconds()
		if step := cost * b / answer; step <= topGap.Duration().Seconds() {
			best = max(best, 1/cost)
		}
	}
	return best * float64(w.Engines)
}

// meanTokens returns the mean prompt and answer of a request to the engines.
func (w Workload) meanTokens() (prompt, answer float64) {
	for _, c := range w.Classes {
		if c.Target == modelTarget {
			prompt += c.Share * meanOf(c.PromptTokens, c.Spread)
			answer += c.Share * meanOf(c.AnswerTokens, c.Spread)
		}
	}
	return prompt, answer
}

// topFits reports whether the top tier alone fits the target at the load, the
// burst included, counted in the time that its requests take.
func (w Workload) topFits(target types.TargetName, load float64) bool {
	own, all := 0.0, 0.0
	for _, c := range w.Classes {
		if c.Target != target {
			continue
		}
		work := c.Share * c.work()
		all += work
		if c.Class.Tier == topTier(w) {
			own += work * w.Burst
		}
	}
	return all > 0 && load*own/all <= 1
}

// work returns the time that a request of the class takes of an upstream, in
// seconds, apart from what the batch shares.
func (c ClassLoad) work() float64 {
	if c.Target == serviceTarget {
		return meanOf(serviceTime.Seconds(), serviceSpread)
	}
	s := engineSettings(0)
	return meanOf(c.AnswerTokens, c.Spread)*s.StepPerSequence.Seconds() +
		meanOf(c.PromptTokens, c.Spread)*s.StepPerPrefillToken.Seconds()
}

// topTier returns the highest tier of the workload.
func topTier(w Workload) types.Tier {
	top := w.Classes[0].Class.Tier
	for _, c := range w.Classes {
		top = max(top, c.Class.Tier)
	}
	return top
}
