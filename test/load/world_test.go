// Package load_test plays the heaviest loads of the users' sites on a model of
// their engines and checks what callers get from the decisions on placing and
// refusing.
package load_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	target = types.TargetName("engines")
	// tick is the resolution of the simulation.
	tick = time.Millisecond
	// hearing is the time between two reports of instances to each other.
	hearing = 40 * time.Millisecond
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent = 4
	instances      = 8
)

// kind is a kind of request.
type kind struct {
	name              string
	perSecond         float64
	priority          int
	shared, own       float64
	sessions          int
	events            float64
	spread            float64
	objective, pauses time.Duration
	patience          time.Duration
	worth, late       float64
}

// burst multiplies the requests of a kind for a while.
type burst struct {
	kind     string
	from, to time.Duration
	times    float64
}

// site is a deployment and its load.
type site struct {
	engines  int
	settings model.Settings
	kinds    []kind
	bursts   []burst
	length   time.Duration
}

// request is one request of a caller.
type request struct {
	id       types.RequestID
	kind     *kind
	work     placement.Work
	session  uint64
	output   int
	came     time.Duration
	instance int
	tries    int

	engine  types.UpstreamID
	ticket  *roster.Ticket
	tokens  int
	first   time.Duration
	last    time.Duration
	longest time.Duration
	ended   bool
}

// inTime reports whether the whole stream was in time.
func (r *request) inTime() bool {
	return r.ended && r.first-r.came <= r.kind.objective && r.longest <= r.kind.pauses
}

// policy decides on one request at one instance.
type policy func(w *world, r *request, candidates []placement.Candidate) (placement.Choice, admission.Decision)

// product is what the gateway does.
func product(w *world, r *request, candidates []placement.Candidate) (placement.Choice, admission.Decision) {
	choice, ok := placement.Choose(&r.work, "", string(r.id), candidates)
	if !ok {
		return choice, admission.Decision{ReturnAfter: time.Second}
	}
	return choice, admission.Decide(admission.Request{
		Objective: r.kind.objective, Remaining: 6 * time.Second, Spread: w.random.Float64(),
	}, choice)
}

// lesserOfTwo takes the less loaded of two engines drawn at random.
func lesserOfTwo(w *world, _ *request, candidates []placement.Candidate) (placement.Choice, admission.Decision) {
	a, b := w.draw(candidates), w.draw(candidates)
	if count(b) < count(a) {
		a = b
	}
	return placement.Choice{ID: a.ID}, admission.Decision{Admit: true}
}

// fixedLimit takes any engine with less than half of its batch taken.
func fixedLimit(w *world, _ *request, candidates []placement.Candidate) (placement.Choice, admission.Decision) {
	for range 2 * len(candidates) {
		if c := w.draw(candidates); count(c) < c.Slots/2 {
			return placement.Choice{ID: c.ID}, admission.Decision{Admit: true}
		}
	}
	return placement.Choice{}, admission.Decision{ReturnAfter: 500 * time.Millisecond}
}

func count(c placement.Candidate) int {
	total := 0
	for _, rank := range c.Load.Ranks {
		total += rank.Waiting + rank.Running
	}
	return total
}

// world is one run.
type world struct {
	site   site
	decide policy
	// arrivals draws what callers send, so that all policies get the same; random
	// draws what the policies need.
	arrivals *rand.Rand
	random   *rand.Rand
	now      time.Duration
	engines  map[types.UpstreamID]*model.Engine
	order    []types.UpstreamID
	rosters  []*roster.Roster
	// placed are the placements that peers have not heard of.
	placed   []mention
	requests []*request
	byID     map[types.RequestID]*request
	waiting  []*request
}

type mention struct {
	from  int
	id    types.UpstreamID
	parts []string
}

// play runs the site's load to its end under the policy.
func play(s site, seed uint64, decide policy) *world {
	w := &world{site: s, decide: decide, arrivals: rand.New(rand.NewPCG(seed, 7)), random: rand.New(rand.NewPCG(seed, 8)), engines: map[types.UpstreamID]*model.Engine{}, byID: map[types.RequestID]*request{}}
	var list []roster.Upstream
	for i := range s.engines {
		id := types.UpstreamID(fmt.Sprint("e", i))
		settings := s.settings
		settings.Seed = seed + uint64(i)
		w.engines[id], w.order = model.New(settings), append(w.order, id)
		list = append(list, roster.Upstream{ID: id, Target: target, Address: string(id), Slots: settings.MaxBatch, Ready: true})
	}
	for range instances {
		r := roster.New()
		r.Update(list)
		w.rosters = append(w.rosters, r)
	}
	for w.now = 0; w.now < s.length+10*time.Second; w.now += tick {
		w.arrive()
		w.retry()
		w.step()
		w.leave()
		if w.now%hearing == 0 {
			w.hear()
		}
	}
	return w
}

func (w *world) draw(candidates []placement.Candidate) placement.Candidate {
	return candidates[w.random.IntN(len(candidates))]
}

// arrive draws the requests of this tick.
func (w *world) arrive() {
	if w.now >= w.site.length {
		return
	}
	for i := range w.site.kinds {
		k := &w.site.kinds[i]
		rate := k.perSecond
		for _, b := range w.site.bursts {
			if b.kind == k.name && w.now >= b.from && w.now < b.to {
				rate *= b.times
			}
		}
		if w.arrivals.Float64() < rate*tick.Seconds() {
			w.come(k)
		}
	}
}

// vary draws from a distribution of the mean with a long tail.
func (w *world) vary(mean, spread float64) float64 {
	return mean * math.Exp(w.arrivals.NormFloat64()*spread-spread*spread/2)
}

func (w *world) come(k *kind) {
	session := w.arrivals.IntN(k.sessions)
	shared := int(k.shared)
	own := max(int(w.vary(k.own, 1)), 1)
	r := &request{id: types.RequestID(fmt.Sprint("r", len(w.requests))), kind: k, came: w.now, instance: w.arrivals.IntN(instances)}
	r.session = xxhash.Sum64String(fmt.Sprint(k.name, session))
	r.output = max(int(w.vary(k.events, k.spread)), 1) * tokensPerEvent
	r.work = placement.Work{Engine: true, Priority: k.priority, Tokens: shared + own, StepPause: k.pauses / tokensPerEvent,
		Parts: []placement.Part{{ID: fmt.Sprint(k.name, session), Tokens: shared}, {ID: string(r.id), Tokens: own}}}
	w.requests = append(w.requests, r)
	w.byID[r.id] = r
	w.offer(r)
}

// offer places or refuses the request at its instance.
func (w *world) offer(r *request) {
	r.tries++
	at := w.rosters[r.instance]
	candidates := at.Candidates(w.now, target, &r.work, nil)
	choice, decision := w.decide(w, r, candidates)
	if !decision.Admit {
		if r.tries == 1 {
			r.last = w.now + decision.ReturnAfter
			w.waiting = append(w.waiting, r)
		}
		return
	}
	r.engine = choice.ID
	r.ticket = at.Begin(w.now, &r.work, choice)
	w.placed = append(w.placed, mention{r.instance, choice.ID, roster.SharedParts(&r.work)})
	w.engines[choice.ID].Submit(w.now, model.Request{ID: r.id, PromptTokens: r.work.Tokens, OutputTokens: r.output, Priority: r.kind.priority,
		PrefixHash: r.session, PrefixTokens: r.work.Parts[0].Tokens})
}

// retry offers those again whose time to come back has come.
func (w *world) retry() {
	var left []*request
	for _, r := range w.waiting {
		if r.last > w.now {
			left = append(left, r)
			continue
		}
		r.instance = w.random.IntN(instances)
		w.offer(r)
	}
	w.waiting = left
}

func (w *world) step() {
	for _, id := range w.order {
		engine := w.engines[id]
		for {
			next, busy := engine.Next()
			if !busy || next > w.now {
				break
			}
			for _, event := range engine.Step(next) {
				w.token(w.byID[event.ID], next, event)
			}
		}
	}
}

// token notes one token; each fourth is an event for the caller.
func (w *world) token(r *request, at time.Duration, event model.Event) {
	r.tokens++
	if r.tokens%tokensPerEvent == 0 || event.Done {
		if r.first == 0 {
			r.first = at
			r.ticket.First(at)
		} else {
			r.longest = max(r.longest, at-r.last)
		}
		r.last = at
	}
	if event.Done {
		r.ended = true
		r.ticket.End(at, roster.Completed)
	}
}

// leave ends the requests of callers who have waited too long.
func (w *world) leave() {
	for id, r := range w.byID {
		if r.engine == "" || r.ended {
			if r.ended {
				delete(w.byID, id)
			}
			continue
		}
		if since := max(r.last, r.came); w.now-since > r.kind.patience {
			w.engines[r.engine].Cancel(w.now, id)
			r.ticket.End(w.now, roster.Abandoned)
			delete(w.byID, id)
		}
	}
}

// hear delivers the reports of all instances to all others.
func (w *world) hear() {
	for from, r := range w.rosters {
		loads := r.Loads(w.now, nil)
		for to, other := range w.rosters {
			if to != from {
				other.Hear(w.now, types.InstanceID(fmt.Sprint(from)), loads, nil)
			}
		}
	}
	for _, m := range w.placed {
		for to, other := range w.rosters {
			if to != m.from {
				other.Placed(w.now, m.id, m.parts)
			}
		}
	}
	w.placed = nil
}

// outcome is what the callers of one kind got.
type outcome struct {
	asked, inTime, late, nothing int
	worth                        float64
}

// outcomes counts by kind, and the sum over all under the empty name.
func (w *world) outcomes() map[string]outcome {
	all := map[string]outcome{}
	for _, r := range w.requests {
		for _, name := range []string{r.kind.name, ""} {
			o := all[name]
			o.asked++
			switch {
			case r.inTime():
				o.inTime++
				o.worth += r.kind.worth
			case r.ended:
				o.late++
				o.worth += r.kind.late
			default:
				o.nothing++
			}
			all[name] = o
		}
	}
	return all
}
