package simulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	target types.TargetName = "engines"
	// tick is the resolution of the simulation.
	tick = time.Millisecond
	// meshLimit is the number of entries up to which each hears of each.
	meshLimit = 16
	// unlisting is the time after which an engine that is silent is no longer
	// listed: three of its heartbeats.
	unlisting = 3600 * time.Millisecond
	// maxSends bounds the engines that a request is offered to.
	maxSends = 4
	// settling is the time after the last request in which answers end.
	settling = 16 * time.Second
)

// engineID names an engine.
type engineID = types.UpstreamID

// request is one request of a caller.
type request struct {
	id     types.RequestID
	kind   *Kind
	work   placement.Work
	parts  []model.PromptSegment
	own    int
	output int
	came   time.Duration
	entry  int
	// comes counts the caller's attempts, runs the engines that began to work.
	comes, runs int
	remaining   time.Duration
	// returns is when a refused caller comes back.
	returns time.Duration
	tried   map[engineID]bool

	engine  engineID
	ticket  *roster.Attempt
	tokens  int
	first   time.Duration
	last    time.Duration
	longest time.Duration
	outcome Outcome
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	InTime  Outcome = "in time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Left: the caller gave up.
	Left Outcome = "left"
)

// world is one run.
type world struct {
	site   Site
	day    Day
	load   float64
	policy PolicyName
	// arrivals draws what callers send, so that all policies get the same; random
	// draws what the policies need.
	arrivals, random *rand.Rand
	now              time.Duration
	order            []engineID
	engines          map[engineID]*slot
	rosters          []*roster.Roster
	// placed are the placements that the other entries have not heard of.
	placed   []mention
	requests []*request
	running  map[types.RequestID]*request
	// live are the same in the order in which they began to run.
	live []*request
	// away are callers who come back, queued are requests that wait for an engine.
	away, queued []*request
	roots        map[string][]int
	sessions     map[string][]int
}

// slot is the place of an engine, which may be down.
type slot struct {
	engine   *model.Engine
	settings model.Settings
	down     bool
	lives    int64
	// unlisted is when a silent engine leaves the list.
	unlisted time.Duration
	// ended are the counters of the lives before.
	ended model.Counters
}

type mention struct {
	from  int
	id    engineID
	parts []string
}

// play runs a day to its end.
func play(site Site, day Day, load float64, policy PolicyName, seed uint64) *world {
	w := &world{
		site: site, day: day, load: load, policy: policy,
		arrivals: rand.New(rand.NewPCG(seed, 7)), random: rand.New(rand.NewPCG(seed, 8)),
		engines: make(map[engineID]*slot), running: make(map[types.RequestID]*request),
		roots: make(map[string][]int), sessions: make(map[string][]int),
	}
	for i := range site.Engines {
		id := engineID(fmt.Sprintf("e%02d", i))
		settings := site.Engine
		settings.Seed = seed + uint64(i)
		w.order = append(w.order, id)
		w.engines[id] = &slot{engine: model.New(settings), settings: settings}
	}
	for range site.Entries {
		w.rosters = append(w.rosters, roster.New())
	}
	for i := range site.Kinds {
		k := &site.Kinds[i]
		for range k.Roots {
			w.roots[k.Name] = append(w.roots[k.Name], k.RootTokens.draw(w.arrivals))
		}
		for range k.Sessions {
			w.sessions[k.Name] = append(w.sessions[k.Name], k.SessionTokens.draw(w.arrivals))
		}
	}
	w.list()
	for w.now = 0; w.now < day.Length+settling; w.now += tick {
		w.disturb()
		w.arrive()
		w.comeBack()
		w.step()
		if w.now%site.Hearing == 0 {
			w.leave()
			w.hear()
		}
	}
	return w
}

// list publishes the engines that are not known to be down.
func (w *world) list() {
	var list []roster.Upstream
	for _, id := range w.order {
		s := w.engines[id]
		if s.down && w.now >= s.unlisted {
			continue
		}
		list = append(list, roster.Upstream{ID: id, Target: target, Address: string(id), Slots: s.settings.MaxBatch, Ready: true, StartedUnixMilli: s.lives})
	}
	for _, r := range w.rosters {
		r.Update(list)
	}
}

// some returns a share of the engines, at least one, which differ by the moment.
func (w *world) some(share float64, at time.Duration) []engineID {
	count := max(int(share*float64(len(w.order))+0.5), 1)
	first := int(at/time.Second) % len(w.order)
	return append(slices.Clone(w.order[first:]), w.order[:first]...)[:count]
}

// disturb begins and ends outages and slowdowns.
func (w *world) disturb() {
	for _, o := range w.day.Outages {
		if w.now == o.At {
			for _, id := range w.some(o.Share, o.At) {
				w.crash(id)
			}
		}
		if w.now == o.At+unlisting {
			w.list()
		}
		if w.now == o.At+o.For {
			for _, id := range w.some(o.Share, o.At) {
				w.restart(id)
			}
			w.list()
		}
	}
	for _, s := range w.day.Slowdowns {
		for _, id := range w.some(s.Share, s.At) {
			if w.now == s.At {
				w.engines[id].engine.SetStraggle(s.Multiple)
			}
			if w.now == s.At+s.For {
				w.engines[id].engine.SetStraggle(1)
			}
		}
	}
}

// crash ends all work of an engine. Streams that may go on elsewhere do.
func (w *world) crash(id engineID) {
	s := w.engines[id]
	if s.down {
		return
	}
	s.down, s.unlisted = true, w.now+unlisting
	s.ended.Add(s.engine.Counters())
	for _, r := range slices.Clone(w.live) {
		if r.engine != id || w.running[r.id] != r {
			continue
		}
		delete(w.running, r.id)
		r.ticket.End(w.now, roster.Failed)
		r.engine = ""
		if !r.kind.Resumable {
			r.outcome = Failed
			continue
		}
		w.offer(r)
	}
}

func (w *world) restart(id engineID) {
	s := w.engines[id]
	s.down = false
	s.lives++
	s.engine = model.New(s.settings)
}

// arrive draws the requests of this tick.
func (w *world) arrive() {
	if w.now >= w.day.Length {
		return
	}
	for i := range w.site.Kinds {
		k := &w.site.Kinds[i]
		rate := k.Rate * w.load
		for _, b := range w.day.Bursts {
			if b.Kind == k.Name && w.now >= b.At && w.now < b.At+b.For {
				rate *= b.Multiple
			}
		}
		if w.arrivals.Float64() < rate*tick.Seconds() {
			w.come(k)
		}
	}
}

// come draws one request.
func (w *world) come(k *Kind) {
	session := w.arrivals.IntN(k.Sessions)
	hot := w.arrivals.Float64()
	for _, h := range w.day.Hot {
		if h.Kind == k.Name && w.now >= h.At && w.now < h.At+h.For && hot < h.Share {
			session = 0
		}
	}
	root := session % k.Roots
	r := &request{
		id: types.RequestID(fmt.Sprint("r", len(w.requests))), kind: k, came: w.now, entry: w.arrivals.IntN(w.site.Entries),
		own: k.OwnTokens.draw(w.arrivals), output: k.Events.draw(w.arrivals) * w.site.Stride,
	}
	rootName, sessionName := fmt.Sprint(k.Name, "-root", root), fmt.Sprint(k.Name, "-session", session)
	rootTokens, sessionTokens := w.roots[k.Name][root], w.sessions[k.Name][session]
	r.parts = []model.PromptSegment{{ID: xxhash.Sum64String(rootName), Tokens: rootTokens}, {ID: xxhash.Sum64String(sessionName), Tokens: sessionTokens}}
	r.work = placement.Work{
		Engine: true, Priority: k.Priority, Tokens: rootTokens + sessionTokens + r.own, InterTokenObjective: k.Pause / time.Duration(w.site.Stride),
		Parts: []placement.Part{{ID: rootName, Tokens: rootTokens}, {ID: sessionName, Tokens: sessionTokens}, {ID: string(r.id), Tokens: r.own}},
	}
	w.requests = append(w.requests, r)
	w.attempt(r)
}

// attempt is one attempt of the caller.
func (w *world) attempt(r *request) {
	r.comes++
	r.tried = make(map[engineID]bool)
	w.offer(r)
}

// offer decides on the request at its entry until an engine takes it.
func (w *world) offer(r *request) {
	r.remaining = r.came + r.kind.Deadline - w.now
	for len(r.tried) < maxSends {
		fleet := w.site.Entries
		if w.site.TrustsReports {
			fleet = 1
		}
		verdict := decide(w.policy, fleet, w.random, r, w.candidates(r))
		if verdict.wait {
			w.queued = append(w.queued, r)
			return
		}
		if verdict.to.ID == "" {
			w.refuse(r, verdict.returnAfter)
			return
		}
		if w.send(r, verdict.to) {
			return
		}
	}
	w.refuse(r, 400*time.Millisecond)
}

// candidates are the engines as the request's entry knows them. The queue of the
// baseline sees them as they are.
func (w *world) candidates(r *request) []placement.Candidate {
	candidates := w.rosters[r.entry].Candidates(w.now, target, &r.work, r.tried)
	slices.SortFunc(candidates, func(a, b placement.Candidate) int { return compare(a.ID, b.ID) })
	if w.policy != FIFO {
		return candidates
	}
	for i := range candidates {
		load := w.engines[candidates[i].ID].engine.Load()
		candidates[i].Load = placement.Load{ByPriority: map[int]placement.PriorityLoad{0: {Waiting: load.Waiting, Running: load.Running}}}
	}
	return candidates
}

func compare(a, b engineID) int {
	if a < b {
		return -1
	}
	return 1
}

// send offers the request to an engine and reports whether it took it.
func (w *world) send(r *request, choice placement.Choice) bool {
	r.tried[choice.ID] = true
	at := w.rosters[r.entry]
	ticket := at.Begin(w.now, &r.work, choice)
	s := w.engines[choice.ID]
	switch {
	case s.down:
		ticket.End(w.now, roster.Unreachable)
		return false
	case s.engine.Load().Waiting >= w.site.Queue:
		ticket.End(w.now, roster.Rejected)
		return false
	}
	r.engine, r.ticket = choice.ID, ticket
	r.runs++
	w.running[r.id] = r
	w.live = append(w.live, r)
	w.placed = append(w.placed, mention{r.entry, choice.ID, roster.SharedParts(&r.work)})
	s.engine.Submit(w.now, model.Request{ID: r.id, PromptTokens: r.work.Tokens + r.tokens, OutputTokens: r.output - r.tokens, Priority: r.kind.Priority, Segments: r.parts})
	return true
}

// refuse tells the caller to come back, who does once.
func (w *world) refuse(r *request, after time.Duration) {
	if r.runs > 0 {
		r.outcome = Failed
		return
	}
	r.outcome = Refused
	if r.comes > 1 {
		return
	}
	r.returns = w.now + min(after, r.remaining/3)
	w.away = append(w.away, r)
}

// comeBack offers those again whose time to come back has come, and those that
// wait in the queue.
func (w *world) comeBack() {
	away := w.away
	w.away = nil
	for _, r := range away {
		if r.returns > w.now {
			w.away = append(w.away, r)
			continue
		}
		r.outcome = ""
		r.entry = w.random.IntN(w.site.Entries)
		w.attempt(r)
	}
	queued := w.queued
	w.queued = nil
	for i, r := range queued {
		if w.now-r.came > r.kind.patience() {
			r.outcome = Left
			continue
		}
		if len(w.queued) > 0 {
			// Nobody overtakes the first.
			w.queued = append(w.queued, queued[i:]...)
			return
		}
		w.offer(r)
	}
}

func (w *world) step() {
	for _, id := range w.order {
		s := w.engines[id]
		for !s.down {
			next, busy := s.engine.StepEnd()
			if !busy || next > w.now {
				break
			}
			for _, event := range s.engine.Step(next) {
				if r, ok := w.running[event.ID]; ok {
					w.token(r, next, event.Done)
				}
			}
		}
	}
}

// token notes one token; some of them are an event for the caller.
func (w *world) token(r *request, at time.Duration, done bool) {
	r.tokens++
	if r.tokens%w.site.Stride == 0 || done {
		if r.first == 0 {
			r.first = at
		} else {
			r.longest = max(r.longest, at-r.last)
		}
		r.ticket.RecordFirstResponse(at)
		r.last = at
	}
	if done {
		delete(w.running, r.id)
		r.ticket.End(at, roster.Completed)
		r.outcome = Late
		if r.first-r.came <= r.kind.Objective && r.longest <= r.kind.Pause {
			r.outcome = InTime
		}
	}
}

// leave ends the requests of callers who have waited too long.
func (w *world) leave() {
	live := w.live[:0]
	for _, r := range w.live {
		if w.running[r.id] != r {
			continue
		}
		if w.now-max(r.last, r.came) <= r.kind.patience() && w.now-r.came <= r.kind.Deadline {
			live = append(live, r)
			continue
		}
		w.engines[r.engine].engine.Cancel(w.now, r.id)
		r.ticket.End(w.now, roster.Abandoned)
		r.outcome = Left
		delete(w.running, r.id)
	}
	w.live = live
}

// hear delivers the reports of all entries to all others.
func (w *world) hear() {
	if w.site.Entries > meshLimit {
		w.hearHub()
	} else {
		for from, r := range w.rosters {
			loads, ejected := r.Loads(w.now, nil), r.Ejected(w.now)
			for to, other := range w.rosters {
				if to != from {
					other.ApplyPeerReport(w.now, types.InstanceID(fmt.Sprint(from)), loads, ejected)
				}
			}
		}
	}
	for _, m := range w.placed {
		for to, other := range w.rosters {
			if to != m.from {
				other.AddCachedParts(w.now, m.id, m.parts)
			}
		}
	}
	w.placed = nil
}

// hearHub delivers the work of all, summed up, to each entry.
func (w *world) hearHub() {
	all := make(map[engineID]placement.Load)
	for _, r := range w.rosters {
		for id, load := range r.Loads(w.now, nil) {
			sum := all[id]
			sum.Add(load)
			all[id] = sum
		}
	}
	for _, r := range w.rosters {
		r.ApplyPeerReport(w.now, "hub", all, nil)
	}
}
