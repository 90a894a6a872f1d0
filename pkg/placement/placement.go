// Package placement chooses the upstream that runs a request. It is pure: the
// caller passes in the time and the state of the upstreams.
//
// It is designed for many independent entry instances in front of few model
// engines. The load consists of long prompts that share prefixes, of short
// prompts whose streams need a low inter-token latency, and of bursts of both,
// while upstreams fail partially.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// recomputeWeight weighs the prefill of shared segments that another engine has
	// cached. This prefill also delays the requests that wait at the engine, which are
	// added, and those that arrive meanwhile.
	recomputeWeight = 6.0
	// smallFleetSize is the number of instances up to which each learns of the
	// others' load immediately. In a larger fleet the load reports are so old that
	// many instances would send long prompts to the same engine, the least loaded
	// one according to the reports.
	smallFleetSize = 16
	// sampleSize is the number of engines, drawn for each request, that a large
	// fleet considers for a long prompt in addition to those that have its shared
	// segments cached. Two choices spread the load almost evenly, however old the load
	// reports are.
	sampleSize = 2
	// maxCachedShortlisted is the number of engines that a large fleet considers for a long
	// prompt because they have its shared segments cached, besides the preferred one.
	maxCachedShortlisted = 2
	// LongPromptTokens is the prompt length from which prefill takes several full
	// steps, which delay the tokens of all streams in the same batch.
	LongPromptTokens = 2 * prefillChunkTokens
	// sensitivityMargin is the ratio of the inter-token objective to the latency beside
	// a prefill below which a stream is latency-sensitive.
	sensitivityMargin = 1.15
	// maxPrefillRatio bounds the inter-token latency beside a prefill, relative to the
	// strictest objective of the service. If the streams of all kinds counted as
	// sensitive, none could be kept apart from long prompts.
	maxPrefillRatio = 1.2
	// longPromptShare is the cost of a long prompt for each latency-sensitive stream
	// in the same batch, which it makes late, as a share of the prompt's own
	// objective. About fifteen streams outweigh a wait that makes the prompt late.
	longPromptShare = 1.0 / 15
	// unreservedShare is the cost of a latency-sensitive stream among long prompts,
	// as a share of the stream's objective: these make it late, as does a wait that
	// uses up the objective.
	unreservedShare = 0.8
	// minIdleShare is the share of the engines that must appear idle before a
	// large fleet prefers an engine only because it is idle. Between two load
	// reports about as many requests arrive as there are engines: some hundred.
	minIdleShare = 0.25
	// preemptionPenalty is the cost of a request that finds the batch full, because
	// the engine then interrupts less urgent work and prefills its prompt again.
	preemptionPenalty = 300 * time.Millisecond
	// runningStreamPenalty is the cost of each stream that runs in the same batch
	// as a new one.
	runningStreamPenalty = 200 * time.Microsecond
	// remotePenalty is the cost of another data centre, as waiting time.
	remotePenalty = 4 * time.Millisecond
	// failurePenalty is the cost of an upstream that fails all its requests.
	failurePenalty = 600 * time.Millisecond
	// overduePenalty is the cost of each request that has been without a response
	// for well beyond its predicted time.
	overduePenalty = 80 * time.Millisecond
	// coldShare is the cost of a cold upstream, which responds slowly, as a share of the
	// request's objective.
	coldShare = 0.25
)

// PromptSegment is a segment of a prompt. Requests share segments by ID.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Work is what a request requires of an upstream.
type Work struct {
	// Engine is true if the request runs on a model engine.
	Engine bool
	// Segments are the segments of the prompt in order. The last one is not shared.
	Segments []PromptSegment
	// Tokens is the length of the whole prompt.
	Tokens int
	// Priority is the request's priority; zero is the most urgent.
	Priority int
	// LateWork reports whether requests of LatePriority are late work.
	LateWork bool
	// InterTokenObjective is the longest inter-token latency at which a stream is
	// in time. It is zero for other requests.
	InterTokenObjective time.Duration
	// Objective is the longest time to the first event or the response at which a
	// request is in time.
	Objective time.Duration
	Timing
}

// Timing is what was measured at the engines of a target. Zero means unknown.
type Timing struct {
	// PrefillInterToken is the inter-token latency of a stream while its engine
	// prefills a long prompt of another request.
	PrefillInterToken time.Duration
	// FirstEventDelay is the time to the first event in addition to the wait and the
	// prefill.
	FirstEventDelay time.Duration
}

// Bounded returns the timing for a service with the given strictest inter-token
// objective. Until it is measured how streams fare beside long prompts, those with
// this objective count as latency-sensitive.
func (t Timing) Bounded(strictest time.Duration) Timing {
	t.PrefillInterToken = min(cmp.Or(t.PrefillInterToken, strictest), scale(strictest, maxPrefillRatio))
	return t
}

// LatencySensitive reports whether long prompts in the same batch make the
// stream late.
func (w *Work) LatencySensitive() bool {
	return w.Engine && w.InterTokenObjective > 0 && w.InterTokenObjective < scale(w.PrefillInterToken, sensitivityMargin)
}

// long reports whether the prefill of the prompt makes streams in the same batch late
// at an engine that has some of its tokens cached.
func (w *Work) long(cachedTokens int) bool {
	return w.Engine && !w.LatencySensitive() && w.Tokens-cachedTokens >= LongPromptTokens
}

// affinityKey returns the ID of the last shared segment, which identifies the
// session, or "" if the prompt has no shared segment.
func (w *Work) affinityKey() string {
	if len(w.Segments) < 2 {
		return ""
	}
	return w.Segments[len(w.Segments)-2].ID
}

// PriorityLoad is the load of one priority at an upstream.
type PriorityLoad struct {
	// PrefillTokens is the number of prompt tokens of the requests that have not
	// produced a first event yet.
	PrefillTokens int `json:"u,omitempty"`
	// Waiting counts the requests without a first event or response.
	Waiting int `json:"w,omitempty"`
	// Running counts the streams after their first event.
	Running int `json:"r,omitempty"`
}

// Load is the known load of an upstream.
type Load struct {
	// ByPriority is the load by priority; zero is the most urgent.
	ByPriority map[int]PriorityLoad `json:"p,omitempty"`
	// LatencySensitive counts the latency-sensitive streams, waiting or running.
	LatencySensitive int `json:"s,omitempty"`
	// Overdue counts the requests that wait well beyond their predicted time.
	Overdue int `json:"o,omitempty"`
}

// Add adds another load to this one.
func (l *Load) Add(other Load) {
	l.LatencySensitive += other.LatencySensitive
	l.Overdue += other.Overdue
	for priority, load := range other.ByPriority {
		if l.ByPriority == nil {
			l.ByPriority = make(map[int]PriorityLoad, len(other.ByPriority))
		}
		sum := l.ByPriority[priority]
		sum.PrefillTokens += load.PrefillTokens
		sum.Waiting += load.Waiting
		sum.Running += load.Running
		l.ByPriority[priority] = sum
	}
}

// Remove subtracts the load of requests of one priority, as far as it is there.
func (l *Load) Remove(priority int, load PriorityLoad) {
	held, ok := l.ByPriority[priority]
	if !ok {
		return
	}
	held.PrefillTokens = max(held.PrefillTokens-load.PrefillTokens, 0)
	held.Waiting = max(held.Waiting-load.Waiting, 0)
	held.Running = max(held.Running-load.Running, 0)
	l.ByPriority[priority] = held
}

// Empty reports whether there is no load.
func (l Load) Empty() bool { return len(l.ByPriority) == 0 && l.Overdue == 0 }

// ahead returns the load that an engine processes before or together with a
// request of the priority. An engine admits more urgent requests first, but
// completes the steps that it has started.
func (l Load) ahead(priority int) PriorityLoad {
	var ahead PriorityLoad
	lessUrgent := 0
	for p, load := range l.ByPriority {
		if p > priority {
			lessUrgent += load.PrefillTokens
			continue
		}
		ahead.PrefillTokens += load.PrefillTokens
		ahead.Waiting += load.Waiting
		ahead.Running += load.Running
	}
	ahead.PrefillTokens += min(lessUrgent, startedPrefillTokens)
	return ahead
}

// lessUrgent reports whether there is load of a less urgent priority.
func (l Load) lessUrgent(priority int) bool {
	for p := range l.ByPriority {
		if p > priority {
			return true
		}
	}
	return false
}

// Total returns the load of all priorities.
func (l Load) Total() PriorityLoad { return l.ahead(math.MaxInt) }

// Candidate is an upstream that may run a request, with its known state.
type Candidate struct {
	ID         types.UpstreamID
	DataCentre types.DataCentre
	Slots      int
	Load       Load
	// FailureRate is the recent share of failed requests, 0 to 1.
	FailureRate float64
	// LatencyRatio is the ratio of the measured to the predicted time to the first
	// event or the response. Zero means unknown.
	LatencyRatio float64
	// CachedTokens is the number of tokens of the prompt that the upstream probably
	// has cached.
	CachedTokens int
	// StepTime is the measured time between two tokens while the engine prefills no
	// long prompt. Zero means unknown.
	StepTime time.Duration
	// Cold is true if the upstream has just started and responds slowly.
	Cold bool
	Capacity
}

// UpdateLoads replaces the requests that run or wait at the candidates by fresher figures.
func UpdateLoads(candidates []Candidate, loads map[types.UpstreamID]Load) {
	for i := range candidates {
		if load, ok := loads[candidates[i].ID]; ok {
			candidates[i].Load.ByPriority = load.ByPriority
		}
	}
}

// Choice is a placement.
type Choice struct {
	ID types.UpstreamID
	// Wait is the predicted queueing time: until an engine starts the prefill or a
	// plain service starts the call.
	Wait time.Duration
	// FirstResponse is the predicted time to the first event or the response.
	FirstResponse time.Duration
	// Cost is the value that the choice minimises.
	Cost time.Duration
	// LessUrgentWork is true if the candidates have less urgent work, which yields
	// to the request.
	LessUrgentWork bool
}

// Entry describes the instance that places the request.
type Entry struct {
	DataCentre types.DataCentre
	// FleetSize is the number of instances that place requests independently.
	FleetSize int
}

// Choose returns the placement with the lowest cost, or false if there is no
// candidate. Ties go to the first candidate in rendezvous order. A request that is late work
// already goes on as that, so it needs a candidate that accepts another late request.
func Choose(work *Work, entry Entry, request string, candidates []Candidate) (Choice, bool) {
	if work.Late() {
		return ChooseLate(work, entry, request, candidates)
	}
	return choose(work, entry, request, withoutLate(work, candidates), nil)
}

// choose implements Choose among the candidates that are accepted; nil accepts all.
func choose(work *Work, entry Entry, request string, candidates []Candidate, accepts func(c *Candidate, reserved bool) bool) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	r := newRater(work, entry, request, candidates)
	var best Choice
	var bestWeight uint64
	found := false
	for i := range candidates {
		candidate := &candidates[i]
		if !r.considers(candidate) || accepts != nil && !accepts(candidate, r.reserved[candidate.ID]) {
			continue
		}
		choice := r.rate(candidate)
		weight := rendezvous.Weight(r.key, candidateID(*candidate))
		if !found || choice.Cost < best.Cost || choice.Cost == best.Cost && weight > bestWeight {
			best, bestWeight, found = choice, weight, true
		}
	}
	best.LessUrgentWork = slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Load.lessUrgent(work.Priority) })
	return best, found
}

// rater predicts the times and the cost of a request at each of its candidates.
type rater struct {
	work       *Work
	dataCentre types.DataCentre
	// key determines the rendezvous order.
	key         string
	reserved    map[types.UpstreamID]bool
	preferred   types.UpstreamID
	shortlisted []types.UpstreamID
	// least is the factor that the learned capacity puts on the times of all candidates.
	least float64
}

func newRater(work *Work, entry Entry, request string, candidates []Candidate) rater {
	r := rater{work: work, dataCentre: entry.DataCentre, key: cmp.Or(work.affinityKey(), request), reserved: reservedEngines(candidates), least: leastFactor(candidates)}
	r.preferred = preferredEngine(work, r.key, candidates, r.reserved)
	r.shortlisted = shortlist(work, entry, request, r.key, r.preferred, candidates)
	return r
}

// considers reports whether Choose may return the candidate.
func (r *rater) considers(candidate *Candidate) bool {
	return r.shortlisted == nil || slices.Contains(r.shortlisted, candidate.ID)
}

func (r *rater) rate(candidate *Candidate) Choice {
	choice := predict(r.work, candidate, r.least)
	choice.Cost = choice.FirstResponse + penalties(r.work, r.dataCentre, candidate, r.reserved[candidate.ID])
	if r.work.Engine && candidate.ID != r.preferred {
		waiting := float64(candidate.Load.Total().Waiting)
		choice.Cost += scale(prefillTime(r.work.sharedTokens()-candidate.CachedTokens), recomputeWeight+waiting)
	}
	return choice
}

// Rating is what Choose compares of one candidate.
type Rating struct {
	Choice
	// Considered is false for a candidate outside the shortlist.
	Considered bool
	// Preferred marks the engine that caches the shared segments of the session, Reserved one
	// that is kept for latency-sensitive streams.
	Preferred, Reserved bool
}

// Rate returns the ratings by which Choose decides, in the order of the candidates.
func Rate(work *Work, entry Entry, request string, candidates []Candidate) []Rating {
	if len(candidates) == 0 {
		return nil
	}
	candidates = withoutLate(work, candidates)
	r := newRater(work, entry, request, candidates)
	ratings := make([]Rating, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		ratings[i] = Rating{Choice: r.rate(c), Considered: r.considers(c), Preferred: work.Engine && c.ID == r.preferred, Reserved: work.Engine && r.reserved[c.ID]}
	}
	return ratings
}

// Idle returns the candidates that would start the request immediately. For
// latency-sensitive streams these are reserved engines only, for other engine
// work the other engines only. In a large fleet Idle returns nil if few
// candidates appear idle, because other instances with the same reports are about
// to use them.
func Idle(work *Work, entry Entry, candidates []Candidate) []Candidate {
	reserved := reservedEngines(candidates)
	least := leastFactor(candidates)
	idle := slices.DeleteFunc(slices.Clone(withoutLate(work, candidates)), func(c Candidate) bool {
		return work.Engine && reserved[c.ID] != work.LatencySensitive() || predict(work, &c, least).Wait > 0
	})
	if entry.FleetSize > smallFleetSize && float64(len(idle)) < minIdleShare*float64(len(candidates)) {
		return nil
	}
	return idle
}

// Shortlist returns the upstreams among which Choose decides, or nil if these are all
// candidates: an instance of a large fleet considers only a few engines for a long prompt.
// It does not depend on the requests that run or wait at the candidates.
func Shortlist(work *Work, entry Entry, request string, candidates []Candidate) []types.UpstreamID {
	if considersAll(work, entry, candidates) {
		return nil
	}
	key := cmp.Or(work.affinityKey(), request)
	return shortlist(work, entry, request, key, preferredEngine(work, key, candidates, reservedEngines(candidates)), candidates)
}

// shortlist implements Shortlist: the preferred engine, those drawn for the request, and the
// first ones in rendezvous order of those that have all shared segments cached.
// Latency-sensitive streams consider all engines: their prefill is short and they need the
// reserved ones.
func shortlist(work *Work, entry Entry, request, key string, preferred types.UpstreamID, candidates []Candidate) []types.UpstreamID {
	if considersAll(work, entry, candidates) {
		return nil
	}
	list := []types.UpstreamID{preferred}
	for _, candidate := range rendezvous.OrderOf(request, candidates, candidateID)[:sampleSize] {
		if candidate.ID != preferred {
			list = append(list, candidate.ID)
		}
	}
	cached := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.CachedTokens == 0 || c.CachedTokens < work.sharedTokens() || slices.Contains(list, c.ID)
	})
	for _, candidate := range rendezvous.OrderOf(key, cached, candidateID)[:min(maxCachedShortlisted, len(cached))] {
		list = append(list, candidate.ID)
	}
	return list
}

// considersAll reports whether Choose decides among all candidates.
func considersAll(work *Work, entry Entry, candidates []Candidate) bool {
	return entry.FleetSize <= smallFleetSize || !work.Engine || work.LatencySensitive() || len(candidates) <= sampleSize
}

// preferredEngine returns the engine that caches the shared segments of a session:
// the first in rendezvous order among the reserved engines for latency-sensitive
// streams, and among the others for other work. Instances with the same view of the
// load agree on it, so the shared segments are prefilled at one engine only. An engine that
// is known to be much slower is preferred only if there is no other: slow engines are not
// reserved, so that they would become the preferred ones of sessions with long prompts.
func preferredEngine(work *Work, key string, candidates []Candidate, reserved map[types.UpstreamID]bool) types.UpstreamID {
	first, ok := rendezvous.FirstOf(key, candidates, candidateID, func(c Candidate) bool {
		return reserved[c.ID] == work.LatencySensitive() && !c.muchSlower()
	})
	if !ok {
		first, _ = rendezvous.FirstOf(key, candidates, candidateID, func(c Candidate) bool {
			return reserved[c.ID] == work.LatencySensitive()
		})
	}
	return first.ID
}

func candidateID(c Candidate) types.InstanceID { return types.InstanceID(c.ID) }

// sharedTokens returns the number of tokens in segments that other requests may
// share.
func (w *Work) sharedTokens() int {
	tokens := 0
	for i := 0; i+1 < len(w.Segments); i++ {
		tokens += w.Segments[i].Tokens
	}
	return tokens
}

func penalties(work *Work, local types.DataCentre, candidate *Candidate, reserved bool) time.Duration {
	cost := scale(failurePenalty, candidate.FailureRate) + time.Duration(candidate.Load.Overdue)*overduePenalty
	cost += crowdedCost(work, candidate)
	if candidate.DataCentre != local {
		cost += remotePenalty
	}
	if candidate.Cold {
		cost += scale(work.Objective, coldShare)
	}
	if !reserved && work.LatencySensitive() {
		cost += scale(work.Objective, unreservedShare)
	}
	if work.long(candidate.CachedTokens) {
		cost += scale(work.Objective, longPromptShare*float64(candidate.Load.LatencySensitive))
	}
	if work.Engine {
		// Each stream in a batch slows the steps of the others slightly.
		total := candidate.Load.Total()
		cost += time.Duration(total.Running) * runningStreamPenalty
		if candidate.Slots > 0 && total.Running+total.Waiting >= candidate.Slots && candidate.Load.lessUrgent(work.Priority) {
			cost += preemptionPenalty
		}
	}
	return cost
}
