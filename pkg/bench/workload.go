// Package bench compares the scheduling policy of the router with baselines in
// virtual time. It runs the policies and models of the engines on the same seeded
// load in one process, without a network.
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

// Workload describes the load and the upstreams of a deployment.
type Workload struct {
	Name        string
	DataCentres int
	Engines     int
	Services    int
	Classes     []ClassLoad
	// Burst is the factor on the request rate of the bursting classes.
	Burst float64
}

// ClassLoad describes the load of one class.
type ClassLoad struct {
	Class  config.Class
	Target types.TargetName
	// Share is the share of the class in the requests to its target.
	Share float64
	// Bursts is true if the request rate of the class rises during the burst.
	Bursts bool
	// PromptTokens is the median prompt length. The distribution is log-normal.
	PromptTokens float64
	// AnswerTokens is the median answer length. The distribution is log-normal.
	AnswerTokens float64
	// Sigma is the standard deviation of the logarithm of both lengths.
	Sigma float64
	// Repeatable is true if a request may be executed more than once.
	Repeatable bool
}

const (
	// topFirstToken and topInterToken are the latency targets of the top tier.
	topFirstToken config.Milliseconds = 320
	topInterToken config.Milliseconds = 73
	// serviceTime is the median duration of a call to a plain service.
	serviceTime = 50 * time.Millisecond
	// serviceSigma is the standard deviation of the logarithm of the duration.
	serviceSigma = 0.4
	// serviceConcurrency is the number of concurrent calls of a plain service.
	serviceConcurrency = 2
)

// Workloads returns all workloads.
func Workloads() []Workload {
	return []Workload{rappel(), kavtaradze()}
}

func floor(starts int, interval config.Milliseconds) config.Floor {
	return config.Floor{Starts: starts, Interval: interval}
}

// rappel returns the workload of a callback queue on a Monday morning.
func rappel() Workload {
	return Workload{
		Name: "rappel", DataCentres: 4, Engines: 9, Services: 4, Burst: 1.8,
		Classes: []ClassLoad{
			{Class: config.Class{Name: "summary", Tier: 3, FirstToken: topFirstToken, InterTokenLatency: topInterToken, Deadline: 120000, Floor: floor(1, 5000)},
				Target: modelTarget, Share: 0.2, Bursts: true, PromptTokens: 700, AnswerTokens: 100, Sigma: 0.6, Repeatable: true},
			{Class: config.Class{Name: "script", Tier: 2, FirstToken: 1000, InterTokenLatency: topInterToken, Deadline: 150000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.4, Bursts: true, PromptTokens: 500, AnswerTokens: 120, Sigma: 0.8, Repeatable: true},
			{Class: config.Class{Name: "backlog", Tier: 1, Deadline: 300000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.4, PromptTokens: 700, AnswerTokens: 150, Sigma: 1, Repeatable: true},
			{Class: config.Class{Name: "claim", Tier: 3, Deadline: 1000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.3, Bursts: true},
			{Class: config.Class{Name: "status", Tier: 2, Deadline: 2000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.7, Repeatable: true},
		},
	}
}

// kavtaradze returns the workload of a booking assistant on a Friday evening.
func kavtaradze() Workload {
	return Workload{
		Name: "kavtaradze", DataCentres: 3, Engines: 18, Services: 3, Burst: 1.8,
		Classes: []ClassLoad{
			{Class: config.Class{Name: "parent", Tier: 3, FirstToken: topFirstToken, InterTokenLatency: topInterToken, Deadline: 120000, Floor: floor(1, 5000)},
				Target: modelTarget, Share: 0.2, Bursts: true, PromptTokens: 400, AnswerTokens: 120, Sigma: 0.8, Repeatable: true},
			{Class: config.Class{Name: "entertainer", Tier: 2, FirstToken: 1500, InterTokenLatency: 100, Deadline: 150000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.3, Bursts: true, PromptTokens: 600, AnswerTokens: 150, Sigma: 0.8, Repeatable: true},
			{Class: config.Class{Name: "draft", Tier: 1, Deadline: 300000, Floor: floor(1, 5000), Preemptible: true},
				Target: modelTarget, Share: 0.5, PromptTokens: 500, AnswerTokens: 250, Sigma: 1, Repeatable: true},
			{Class: config.Class{Name: "confirm", Tier: 3, Deadline: 1000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.3, Bursts: true},
			{Class: config.Class{Name: "calendar", Tier: 2, Deadline: 2000, Floor: floor(1, 1000)},
				Target: serviceTarget, Share: 0.7, Repeatable: true},
		},
	}
}

// engineSettings returns the settings of every engine. A step takes 12 ms without
// sequences and 62 ms with a hundred. The prefill of new requests brings the
// latter to about 73 ms.
func engineSettings(seed uint64) model.Settings {
	return model.Settings{
		Seed: seed, StepBase: 12 * time.Millisecond, StepPerSequence: 500 * time.Microsecond,
		StepPerPrefillToken: 20 * time.Microsecond, Jitter: 0.05, Straggle: 1,
		MaxBatch: 128, PrefillChunk: 2048, KVTokens: 128 * 1024, PrefixTokens: 0,
	}
}

// logNormalMean returns the mean of a log-normal distribution with the given
// median.
func logNormalMean(median, sigma float64) float64 {
	return median * math.Exp(sigma*sigma/2)
}

// capacity returns the requests per second that the target can serve with the
// workload's mix of classes. Engines are limited by their memory and by the
// inter-token latency target of the top tier.
func (w Workload) capacity(target types.TargetName) float64 {
	if target == serviceTarget {
		return float64(w.Services*serviceConcurrency) / logNormalMean(serviceTime.Seconds(), serviceSigma)
	}
	prompt, answer := w.meanTokens()
	s := engineSettings(0)
	batch := min(float64(s.MaxBatch), float64(s.KVTokens)/(prompt+answer/2))
	best := 0.0
	for b := 1.0; b <= batch; b++ {
		// A request takes as many steps as its answer has tokens, each shared by b
		// requests, and its prefill.
		generate := (s.StepBase.Seconds() + b*s.StepPerSequence.Seconds()) * answer / b
		cost := generate + prompt*s.StepPerPrefillToken.Seconds()
		if step := cost * b / answer; step <= topInterToken.Duration().Seconds() {
			best = max(best, 1/cost)
		}
	}
	return best * float64(w.Engines)
}

// meanTokens returns the mean lengths of the prompt and the answer of a request
// to the engines.
func (w Workload) meanTokens() (prompt, answer float64) {
	for _, c := range w.Classes {
		if c.Target == modelTarget {
			prompt += c.Share * logNormalMean(c.PromptTokens, c.Sigma)
			answer += c.Share * logNormalMean(c.AnswerTokens, c.Sigma)
		}
	}
	return prompt, answer
}

// topTierFits reports whether the top tier alone, including the burst, fits the
// capacity of the target at the given load. Requests are weighted by the upstream
// time that they take.
func (w Workload) topTierFits(target types.TargetName, load float64) bool {
	top, total := 0.0, 0.0
	for _, c := range w.Classes {
		if c.Target != target {
			continue
		}
		cost := c.Share * c.upstreamTime()
		total += cost
		if c.Class.Tier == topTier(w) {
			top += cost * w.Burst
		}
	}
	return total > 0 && load*top/total <= 1
}

// upstreamTime returns the upstream time that a request of the class takes, in
// seconds, without the base time of steps, which the batch shares.
func (c ClassLoad) upstreamTime() float64 {
	if c.Target == serviceTarget {
		return logNormalMean(serviceTime.Seconds(), serviceSigma)
	}
	s := engineSettings(0)
	return logNormalMean(c.AnswerTokens, c.Sigma)*s.StepPerSequence.Seconds() +
		logNormalMean(c.PromptTokens, c.Sigma)*s.StepPerPrefillToken.Seconds()
}

// topTier returns the highest tier of the workload.
func topTier(w Workload) types.Tier {
	top := w.Classes[0].Class.Tier
	for _, c := range w.Classes {
		top = max(top, c.Class.Tier)
	}
	return top
}
