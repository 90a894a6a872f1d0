// Package placement decides which upstream runs a request, or that none should.
// It is pure: the time and what is known of the upstreams are passed in.
//
// It answers the load of many independent entry instances in front of few model
// engines: long prompts that share parts, short prompts whose streams allow only
// short pauses, bursts of either, and upstreams that fail in part.
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
	// readRate is the number of prompt tokens that an engine reads in a
	// millisecond: the slower of the users' engines, as stated.
	readRate = 38.0
	// stepTime is a step of an engine without a prompt to read, as stated.
	stepTime = 5 * time.Millisecond
	// readChunk is the number of prompt tokens that one step reads.
	readChunk = 1024
	// begunRead is the reading of less urgent prompts that a step has begun.
	begunRead = readChunk
	// rereadCost weighs the reading of shared parts that another engine keeps: it
	// takes time from all requests that wait there and that come while it lasts,
	// some six in a burst.
	rereadCost = 6.0
	// directFleet is the number of instances up to which each hears of the others'
	// work at once. In a larger fleet that is old enough for many of them to send
	// long prompts to the same engine, the least loaded as far as they know.
	directFleet = 16
	// sampled is the number of engines, drawn for each request, that a large fleet
	// considers for a long prompt beside those that keep its shared parts: two, by
	// which load spreads nearly evenly whatever the age of the reports.
	sampled = 2
	// longRead is the prompt beyond which one step is not enough; the steps of
	// such prompts delay the tokens of all streams beside them.
	longRead = 2 * readChunk
	// sensitivePause is the pause per step of a stream below which a step that
	// reads a whole chunk of a long prompt makes the stream late.
	sensitivePause = 45 * time.Millisecond
	// harm is the cost of a long read for each sensitive stream beside it, which
	// it makes late: some twenty of them outweigh the longest wait that is
	// admitted.
	harm = 40 * time.Millisecond
	// exposed is the cost of a sensitive stream among long reads, which make it
	// late: a wait that uses up the objective of such streams is no better.
	exposed = 200 * time.Millisecond
	// leastApart is the part of the engines that is kept for sensitive streams
	// before there are any, so that the first of them find more than one engine.
	// Long reads use these engines while nobody else does.
	leastApart = 1.0 / 6
	// sensitivePerEngine is the part of the batch that sensitive streams fill
	// before another engine is set apart for them.
	sensitivePerEngine = 0.6
	// idleShare is the part of the engines that a large fleet must believe to be
	// idle before it sends a request to one of them for that reason alone: in the
	// time between two reports some hundred requests come for as many engines.
	idleShare = 0.25
	// slotTurn is the mean time between two streams that end in a full batch: a
	// stream of two seconds in a batch of 64.
	slotTurn = 30 * time.Millisecond
	// besides is the cost of each stream that runs beside a new one.
	besides = 200 * time.Microsecond
	// distance is the cost of another data centre, in waiting time.
	distance = 4 * time.Millisecond
	// unhealthy is the cost of an upstream that fails all its requests.
	unhealthy = 600 * time.Millisecond
	// overdueCost is the cost of each request that an upstream has left
	// unanswered well beyond its predicted time.
	overdueCost = 80 * time.Millisecond
	// plainWork is the assumed time of a call of a plain service without history.
	plainWork = 40 * time.Millisecond
)

// Part is one part of a prompt: requests share parts by ID.
type Part struct {
	ID     string
	Tokens int
}

// Work is what a request asks of an upstream.
type Work struct {
	// Engine says that a model engine runs it.
	Engine bool
	// Parts are the parts of the prompt in order, the request's own last.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Priority is the rank; zero is the most urgent.
	Priority int
	// StepPause is the pause that a stream allows for each step; zero for others.
	StepPause time.Duration
}

// Sensitive reports whether long reads beside the stream make it late.
func (w *Work) Sensitive() bool { return w.Engine && w.StepPause > 0 && w.StepPause < sensitivePause }

func (w *Work) long() bool { return w.Engine && w.Tokens >= longRead }

// affinity returns the part by which requests are kept together: that of the
// session, before the request's own.
func (w *Work) affinity() string {
	if len(w.Parts) < 2 {
		return ""
	}
	return w.Parts[len(w.Parts)-2].ID
}

// Rank is the work of one priority at an upstream.
type Rank struct {
	// Unread is the number of prompt tokens sent that have not brought a first
	// event yet.
	Unread int `json:"u,omitempty"`
	// Waiting counts the requests without a first event or answer.
	Waiting int `json:"w,omitempty"`
	// Running counts the streams after their first event.
	Running int `json:"r,omitempty"`
}

// Load is the work that is known to be at an upstream.
type Load struct {
	// Ranks is the work by priority; zero is the most urgent.
	Ranks map[int]Rank `json:"p,omitempty"`
	// Sensitive counts the streams, waiting or running, that long reads harm.
	Sensitive int `json:"s,omitempty"`
	// Overdue counts the requests that wait well beyond their predicted time.
	Overdue int `json:"o,omitempty"`
}

// Add adds another load to this one.
func (l *Load) Add(other Load) {
	l.Sensitive += other.Sensitive
	l.Overdue += other.Overdue
	for priority, rank := range other.Ranks {
		if l.Ranks == nil {
			l.Ranks = make(map[int]Rank, len(other.Ranks))
		}
		sum := l.Ranks[priority]
		sum.Unread += rank.Unread
		sum.Waiting += rank.Waiting
		sum.Running += rank.Running
		l.Ranks[priority] = sum
	}
}

// Empty reports whether there is no work.
func (l Load) Empty() bool { return len(l.Ranks) == 0 && l.Overdue == 0 }

// ahead returns the work that an engine does before or beside a request of the
// priority: it admits the more urgent first, but ends the steps it has begun.
func (l Load) ahead(priority int) Rank {
	var ahead Rank
	less := 0
	for p, rank := range l.Ranks {
		if p > priority {
			less += rank.Unread
			continue
		}
		ahead.Unread += rank.Unread
		ahead.Waiting += rank.Waiting
		ahead.Running += rank.Running
	}
	ahead.Unread += min(less, begunRead)
	return ahead
}

// lessUrgent reports whether there is work that gives way to the priority.
func (l Load) lessUrgent(priority int) bool {
	for p := range l.Ranks {
		if p > priority {
			return true
		}
	}
	return false
}

// All returns the work of all priorities.
func (l Load) All() Rank { return l.ahead(math.MaxInt) }

// Candidate is an upstream that may run a request, and what is known of it.
type Candidate struct {
	ID         types.UpstreamID
	DataCentre types.DataCentre
	Slots      int
	Load       Load
	// Failing is the recent part of failed requests, 0 to 1.
	Failing float64
	// Pace is the upstream's time for a request against that predicted; 1 is as
	// predicted, zero is unknown.
	Pace float64
	// Held returns how many tokens of the prompt the upstream is believed to keep.
	Held int
}

// Choice is a placement.
type Choice struct {
	ID types.UpstreamID
	// Wait is the predicted time before the upstream begins to read the prompt
	// or, at a plain service, to work.
	Wait time.Duration
	// First is the predicted time to the first event or the answer.
	First time.Duration
	// Cost is what the choice was made by.
	Cost time.Duration
	// Urgent says that less urgent work is at the upstreams, which gives way.
	Urgent bool
}

// Entry is the instance that decides.
type Entry struct {
	DataCentre types.DataCentre
	// Fleet is the number of instances that decide independently.
	Fleet int
}

// Choose returns the placement with the smallest cost, and false when there is
// no candidate. Equal costs go to the first in rendezvous order.
func Choose(work *Work, entry Entry, request string, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	apart := setApart(candidates)
	key := cmp.Or(work.affinity(), request)
	home := home(work, key, candidates, apart)
	some := sample(work, entry, request, candidates)
	var best Choice
	var bestWeight uint64
	found := false
	for i := range candidates {
		candidate := &candidates[i]
		if some != nil && !some[candidate.ID] && candidate.ID != home && (candidate.Held == 0 || candidate.Held < work.shared()) {
			continue
		}
		choice := predict(work, candidate)
		choice.Cost = choice.First + penalties(work, entry.DataCentre, candidate, apart[candidate.ID])
		if work.Engine && candidate.ID != home {
			choice.Cost += scale(readTime(work.shared()-candidate.Held), rereadCost)
		}
		weight := rendezvous.Weight(key, candidateID(*candidate))
		if !found || choice.Cost < best.Cost || choice.Cost == best.Cost && weight > bestWeight {
			best, bestWeight, found = choice, weight, true
		}
	}
	best.Urgent = slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Load.lessUrgent(work.Priority) })
	return best, found
}

// Idle returns the candidates that would begin to work on the request at once,
// without those that are set apart for others. In a large fleet a few do not
// count: others that know the same are about to take them.
func Idle(work *Work, entry Entry, candidates []Candidate) []Candidate {
	apart := setApart(candidates)
	idle := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return work.Engine && apart[c.ID] != work.Sensitive() || predict(work, &c).Wait > 0
	})
	if entry.Fleet > directFleet && float64(len(idle)) < idleShare*float64(len(candidates)) {
		return nil
	}
	return idle
}

// sample returns the engines that are considered beside those that keep the shared
// parts; nil means all. Streams of short pauses are short to read, and need the
// engines that are set apart.
func sample(work *Work, entry Entry, request string, candidates []Candidate) map[types.UpstreamID]bool {
	if entry.Fleet <= directFleet || !work.Engine || work.Sensitive() || len(candidates) <= sampled {
		return nil
	}
	some := make(map[types.UpstreamID]bool, sampled)
	for _, candidate := range rendezvous.OrderOf(request, candidates, candidateID)[:sampled] {
		some[candidate.ID] = true
	}
	return some
}

// home returns the engine that keeps what a session shares: the first in
// rendezvous order among those of the work's kind, so that all instances read
// it once, at the same place.
func home(work *Work, key string, candidates []Candidate, apart map[types.UpstreamID]bool) types.UpstreamID {
	first, _ := rendezvous.FirstOf(key, candidates, candidateID, func(c Candidate) bool {
		return apart[c.ID] == work.Sensitive()
	})
	return first.ID
}

func candidateID(c Candidate) types.InstanceID { return types.InstanceID(c.ID) }

// shared is the number of tokens that other requests may share.
func (w *Work) shared() int {
	shared := 0
	for i := 0; i+1 < len(w.Parts); i++ {
		shared += w.Parts[i].Tokens
	}
	return shared
}

// predict returns the times that an upstream will take.
func predict(work *Work, candidate *Candidate) Choice {
	pace := cmp.Or(candidate.Pace, 1)
	choice := Choice{ID: candidate.ID}
	if !work.Engine {
		busy := float64(candidate.Load.All().Waiting) / float64(max(candidate.Slots, 1))
		choice.Wait = time.Duration(math.Max(0, busy-0.5) * float64(plainWork) * pace)
		choice.First = choice.Wait + time.Duration(float64(plainWork)*pace*(1+busy/4))
		return choice
	}
	ahead := candidate.Load.ahead(work.Priority)
	choice.Wait = scale(readTime(ahead.Unread)+slotTime(ahead, candidate.Slots), pace)
	choice.First = choice.Wait + scale(readTime(max(work.Tokens-candidate.Held, 1))+2*stepTime, pace)
	return choice
}

// slotTime is the wait for a slot when the batch is full: streams end one after
// the other over the time that one takes.
func slotTime(ahead Rank, slots int) time.Duration {
	full := ahead.Waiting + ahead.Running - slots
	if slots == 0 || full < 0 {
		return 0
	}
	return time.Duration(full+1) * slotTurn
}

// readTime is the time in which an engine reads so many tokens, steps included.
func readTime(tokens int) time.Duration {
	tokens = max(tokens, 0)
	read := time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
	return read + time.Duration(tokens/readChunk)*stepTime
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func penalties(work *Work, here types.DataCentre, candidate *Candidate, apart bool) time.Duration {
	cost := scale(unhealthy, candidate.Failing) + time.Duration(candidate.Load.Overdue)*overdueCost
	if candidate.DataCentre != here {
		cost += distance
	}
	if !apart && work.Sensitive() {
		cost += exposed
	}
	if work.long() {
		cost += time.Duration(candidate.Load.Sensitive) * harm
	}
	if work.Engine {
		// Streams that run side by side slow each other's steps a little.
		cost += time.Duration(candidate.Load.All().Running) * besides
	}
	return cost
}

// setApart returns the engines that are kept for sensitive streams. It depends
// only on the fleet's load and the engines' names, so that instances which see
// about the same load set about the same engines apart.
func setApart(candidates []Candidate) map[types.UpstreamID]bool {
	sensitive, slots := 0, 0
	for i := range candidates {
		sensitive += candidates[i].Load.Sensitive
		slots += candidates[i].Slots
	}
	apart := make(map[types.UpstreamID]bool)
	if len(candidates) < 2 || slots == 0 {
		return apart
	}
	perEngine := float64(slots) / float64(len(candidates)) * sensitivePerEngine
	least := int(math.Ceil(leastApart * float64(len(candidates))))
	count := min(max(1+int(float64(sensitive)/perEngine), least), len(candidates)-1)
	order := rendezvous.OrderOf("sensitive", candidates, candidateID)
	for _, candidate := range order[:count] {
		apart[candidate.ID] = true
	}
	return apart
}
