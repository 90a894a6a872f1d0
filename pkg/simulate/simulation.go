package simulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	target types.TargetName = "engines"
	// tick is the resolution of the simulation.
	tick = time.Millisecond
	// fullMeshLimit is the number of entries up to which all report directly to
	// each other.
	fullMeshLimit = 16
	// unlistTimeout is the time after a crash at which an engine is removed from
	// the published list: three heartbeat intervals.
	unlistTimeout = 3600 * time.Millisecond
	// maxEngineAttempts bounds the engines that one attempt of a caller tries.
	maxEngineAttempts = 4
	// resendDelay is the time after which a caller resends a failed request.
	resendDelay = 400 * time.Millisecond
	// drainTime is the time that the simulation continues after the last arrival,
	// so that requests in flight can end.
	drainTime = 16 * time.Second
)

// engineID identifies an engine.
type engineID = types.UpstreamID

// request is the state of one request.
type request struct {
	id           types.RequestID
	kind         *Kind
	work         placement.Work
	segments     []model.PromptSegment
	uniqueTokens int
	outputTokens int
	arrivedAt    time.Duration
	entry        int
	// callerAttempts counts the attempts of the caller, executions the engines that
	// accepted the request in the current one.
	callerAttempts, executions int
	remaining                  time.Duration
	// retryAt is the time at which a refused caller retries.
	retryAt time.Duration
	// account is the rank of the account, or zero without accounts.
	account int
	share   shareState
	tried   map[engineID]bool
	// reserves reports whether the entry of the request reports its attempts to the
	// keepers of the engines. Reservation numbers the attempt in progress.
	reserves    bool
	reservation uint64
	// attemptAt is when the attempt of the caller began, and patience how long the caller still
	// waits for its first event as its entry sees it. EverLate reports whether the request was
	// sent as late work.
	attemptAt, patience time.Duration
	everLate            bool
	// parts holds what the play of crashing parts knows of the request.
	parts requestParts

	engine            engineID
	attempt           *roster.Attempt
	generatedTokens   int
	firstEventAt      time.Duration
	lastEventAt       time.Duration
	longestInterEvent time.Duration
	outcome           Outcome
}

// Outcome is the final state of a request as the caller sees it.
type Outcome string

// The outcomes of a request.
const (
	InTime  Outcome = "in time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Abandoned means that the caller stopped waiting.
	Abandoned Outcome = "left"
)

// simulation is the state of one run.
type simulation struct {
	site   Site
	day    Day
	load   float64
	policy PolicyName
	// arrivals is the random source of the load, so that all policies get the same
	// requests. random is the source of all other draws.
	arrivals, random *rand.Rand
	now              time.Duration
	engineIDs        []engineID
	engines          map[engineID]*engineSlot
	rosters          []*roster.Roster
	// unreportedSegments are the cached prompt segments that are not yet reported to
	// the other entries.
	unreportedSegments []segmentsReport
	// delayedReports holds the sums of loads that have not reached the entries yet.
	delayedReports []hubReport
	// delayedCapacity holds the observations of each entry that the others do not have yet.
	delayedCapacity [][][]capacity.Summary
	requests        []*request
	running         map[types.RequestID]*request
	// runningOrder holds the running requests in the order of their start. It may
	// also hold requests that have ended since the last call of abandonLate.
	runningOrder []*request
	// retrying holds refused requests until their retry, queued the requests that
	// wait for an engine under the FIFO policy.
	retrying, queued []*request
	// roots and sessions hold the lengths of the shared prompt segments of each
	// kind, in tokens.
	roots    map[string][]int
	sessions map[string][]int
	limits   *limitState
	parts    *partState
	cold     *coldState
	accounts *accountState
	// reservations are those of all keepers.
	reservations     *reservation.Table
	reservationCount uint64
}

// engineSlot holds an engine and its state across restarts.
type engineSlot struct {
	engine   *model.Engine
	settings model.Settings
	down     bool
	starts   int64
	// restartAt is the time at which a crashed engine restarts.
	restartAt time.Duration
	// unlistAt is the time at which a crashed engine is removed from the list.
	unlistAt time.Duration
	// pastCounters sums the counters before the last crash.
	pastCounters model.Counters
	// slowdown is the factor of the slowdown in force, or zero.
	slowdown float64
}

// segmentsReport lists the prompt segments that an engine caches after a request
// of the entry from.
type segmentsReport struct {
	from     int
	engine   engineID
	segments []string
}

// hubReport is the load of the whole fleet, which the entries know from a time on.
type hubReport struct {
	knownAt time.Duration
	loads   map[engineID]placement.Load
}

// simulate runs a day and the drain time after it.
func simulate(site Site, day Day, load float64, policy PolicyName, seed uint64) *simulation {
	sim := &simulation{
		site: site, day: day, load: load, policy: policy,
		arrivals: rand.New(rand.NewPCG(seed, 7)), random: rand.New(rand.NewPCG(seed, 8)),
		engines: make(map[engineID]*engineSlot), running: make(map[types.RequestID]*request),
		roots: make(map[string][]int), sessions: make(map[string][]int),
		limits:       newLimitState(site),
		cold:         newColdState(),
		accounts:     newAccountState(site, seed),
		reservations: reservation.NewTable(site.ReportDelay + site.ReportInterval/2),
	}
	for i := range site.Engines {
		id := engineID(fmt.Sprintf("e%02d", i))
		settings := site.Engine
		settings.Seed = seed + uint64(i)
		site.uneven(i, &settings)
		sim.engineIDs = append(sim.engineIDs, id)
		sim.engines[id] = &engineSlot{engine: model.New(settings), settings: settings}
	}
	for range site.Entries {
		sim.rosters = append(sim.rosters, sim.newRoster())
	}
	sim.parts = newPartState(site, policy, seed)
	for i := range site.Kinds {
		kind := &site.Kinds[i]
		for range kind.Roots {
			sim.roots[kind.Name] = append(sim.roots[kind.Name], kind.RootTokens.draw(sim.arrivals))
		}
		for range kind.Sessions {
			sim.sessions[kind.Name] = append(sim.sessions[kind.Name], kind.SessionTokens.draw(sim.arrivals))
		}
	}
	sim.publishEngines()
	for sim.now = 0; sim.now < day.Length || sim.now < day.Length+drainTime && !sim.idle(); sim.now += tick {
		sim.applyFaults()
		sim.updateLimits()
		sim.updateCold()
		sim.generateArrivals()
		sim.resumeWaiting()
		sim.stepEngines()
		if sim.now%site.ReportInterval == 0 {
			sim.abandonLate()
			sim.exchangeReports()
		}
		sim.deliverHubReports()
		sim.exchangeShares()
	}
	return sim
}

// idle reports whether no request is in flight or waits.
func (sim *simulation) idle() bool {
	return len(sim.running)+len(sim.retrying)+len(sim.queued) == 0
}

// publishEngines updates the list of engines at all entries. A crashed engine
// stays listed until unlistTimeout has passed.
func (sim *simulation) publishEngines() {
	list := sim.listedEngines()
	for _, r := range sim.rosters {
		r.RecordCold(sim.now, list)
		r.Update(list)
	}
}

// listedEngines returns the published list of engines.
func (sim *simulation) listedEngines() []roster.Upstream {
	var list []roster.Upstream
	for _, id := range sim.engineIDs {
		slot := sim.engines[id]
		if slot.down && sim.now >= slot.unlistAt {
			continue
		}
		list = append(list, sim.withCold(roster.Upstream{ID: id, Target: target, Address: string(id), Slots: slot.settings.MaxBatch, Ready: true, StartedUnixMilli: slot.starts}))
	}
	return list
}

// selectEngines returns a share of the engines, at least one. The selection
// depends on the start time.
func (sim *simulation) selectEngines(share float64, start time.Duration) []engineID {
	count := max(int(share*float64(len(sim.engineIDs))+0.5), 1)
	first := int(start/time.Second) % len(sim.engineIDs)
	return append(slices.Clone(sim.engineIDs[first:]), sim.engineIDs[:first]...)[:count]
}

// applyFaults starts and ends outages, slowdowns and restarts of entries.
func (sim *simulation) applyFaults() {
	for _, outage := range sim.day.Outages {
		sim.kill(sim.dueKills(outage), outage.Duration)
	}
	sim.restartEngines()
	sim.restartEntries()
	for _, slowdown := range sim.day.Slowdowns {
		for _, id := range sim.selectEngines(slowdown.Share, slowdown.Start) {
			if sim.now == slowdown.Start {
				sim.slow(id, slowdown.Factor)
			}
			if sim.now == slowdown.Start+slowdown.Duration {
				sim.slow(id, 1)
			}
		}
	}
}

// dueKills returns the engines that an outage kills in this tick.
func (sim *simulation) dueKills(outage Outage) []engineID {
	if sim.now < outage.Start || sim.now > outage.Start+outage.Spread {
		return nil
	}
	engines := sim.selectEngines(outage.Share, outage.Start)
	var due []engineID
	for i, id := range engines {
		if delay := outage.Spread * time.Duration(i) / time.Duration(len(engines)); sim.now == outage.Start+delay.Truncate(tick) {
			due = append(due, id)
		}
	}
	return due
}

// crash stops engines at one moment for a time. Their requests are placed again or fail.
func (sim *simulation) crash(ids []engineID, duration time.Duration) {
	var stopped []engineID
	for _, id := range ids {
		if !sim.engines[id].down {
			sim.stop(id, duration)
			stopped = append(stopped, id)
		}
	}
	for _, id := range stopped {
		sim.interrupt(id)
	}
}

// stop stops an engine for a time.
func (sim *simulation) stop(id engineID, duration time.Duration) {
	slot := sim.engines[id]
	slot.down, slot.unlistAt, slot.restartAt = true, sim.now+unlistTimeout, sim.now+duration
	slot.pastCounters.Add(slot.engine.Counters())
}

// interrupt ends the requests on a stopped engine. They are placed again or fail.
func (sim *simulation) interrupt(id engineID) {
	interrupted := sim.runningOn(id)
	sim.recordPartCrash(id, interrupted)
	for _, r := range interrupted {
		delete(sim.running, r.id)
		sim.endReservation(r)
		r.attempt.End(sim.now, roster.Failed)
		r.engine = ""
		if r.mayRunAgain() {
			sim.place(r)
			continue
		}
		sim.fail(r)
	}
}

// runningOn returns the requests that an engine runs or queues.
func (sim *simulation) runningOn(id engineID) []*request {
	var requests []*request
	seen := make(map[*request]bool)
	for _, r := range sim.runningOrder {
		// A request that was placed again may be listed twice.
		if r.engine == id && sim.running[r.id] == r && !seen[r] {
			seen[r] = true
			requests = append(requests, r)
		}
	}
	return requests
}

// mayRunAgain reports whether the entry may send an interrupted request to another
// engine.
func (r *request) mayRunAgain() bool {
	if r.kind.MaxExecutions > 0 && r.executions >= r.kind.MaxExecutions {
		return false
	}
	return r.kind.Resumable || r.kind.Repeatable && r.generatedTokens == 0
}

// fail ends a request. Its caller may resend it if no event has arrived.
func (sim *simulation) fail(r *request) {
	r.outcome = Failed
	if !r.kind.Resent || r.callerAttempts > 1 || r.firstEventAt > 0 {
		return
	}
	r.retryAt = sim.now + resendDelay
	sim.retrying = append(sim.retrying, r)
}

// restartEngines restarts the engines whose time has come, and publishes changes of the
// list.
func (sim *simulation) restartEngines() {
	changed := false
	for _, id := range sim.engineIDs {
		slot := sim.engines[id]
		if !slot.down {
			continue
		}
		changed = changed || sim.now == slot.unlistAt
		if sim.now >= slot.restartAt {
			sim.restart(id)
			changed = true
		}
	}
	if changed {
		sim.publishEngines()
	}
}

func (sim *simulation) restart(id engineID) {
	slot := sim.engines[id]
	slot.down = false
	slot.starts++
	slot.engine = model.New(slot.settings)
	slot.slowdown = 0
}

// generateArrivals draws the requests that arrive in this tick.
func (sim *simulation) generateArrivals() {
	if sim.now >= sim.day.Length {
		return
	}
	for i := range sim.site.Kinds {
		kind := &sim.site.Kinds[i]
		rate := kind.Rate * sim.load
		for _, burst := range sim.day.Bursts {
			if burst.Kind == kind.Name && sim.now >= burst.Start && sim.now < burst.Start+burst.Duration {
				rate *= burst.Factor
			}
		}
		expected := rate * sim.accountsFactor(kind) * tick.Seconds()
		// A site without accounts has at most one arrival of a kind in a tick.
		for ; sim.site.Accounts > 0 && expected >= 1; expected-- {
			sim.startRequest(kind)
		}
		if sim.arrivals.Float64() < expected {
			sim.startRequest(kind)
		}
	}
}

// startRequest draws a request and starts the first attempt of its caller.
func (sim *simulation) startRequest(kind *Kind) {
	session := sim.arrivals.IntN(kind.Sessions)
	hotDraw := sim.arrivals.Float64()
	for _, hot := range sim.day.HotSessions {
		if hot.Kind == kind.Name && sim.now >= hot.Start && sim.now < hot.Start+hot.Duration && hotDraw < hot.Share {
			session = 0
		}
	}
	root := session % kind.Roots
	r := &request{
		id: types.RequestID(fmt.Sprint("r", len(sim.requests))), kind: kind, arrivedAt: sim.now, entry: sim.arrivals.IntN(sim.site.Entries),
		uniqueTokens: kind.UniqueTokens.draw(sim.arrivals), outputTokens: kind.Events.draw(sim.arrivals) * sim.site.TokensPerEvent,
	}
	rootName, ownSession := fmt.Sprint(kind.Name, "-root", root), sessionName(kind, session)
	rootTokens, sessionTokens := sim.roots[kind.Name][root], sim.sessions[kind.Name][session]
	r.segments = []model.PromptSegment{{ID: xxhash.Sum64String(rootName), Tokens: rootTokens}, {ID: xxhash.Sum64String(ownSession), Tokens: sessionTokens}}
	r.work = placement.Work{
		Engine: true, Priority: kind.Priority, Objective: kind.Objective, Tokens: rootTokens + sessionTokens + r.uniqueTokens, InterTokenObjective: kind.InterEventObjective / time.Duration(sim.site.TokensPerEvent),
		Segments: []placement.PromptSegment{{ID: rootName, Tokens: rootTokens}, {ID: ownSession, Tokens: sessionTokens}, {ID: string(r.id), Tokens: r.uniqueTokens}},
	}
	r.account = sim.drawAccount(kind)
	sim.addParts(r, rootName, ownSession)
	sim.requests = append(sim.requests, r)
	sim.startAttempt(r)
}

// startAttempt starts an attempt of the caller.
func (sim *simulation) startAttempt(r *request) {
	r.callerAttempts++
	r.attemptAt = sim.now
	r.executions = 0
	r.share = shareState{}
	r.tried = make(map[engineID]bool)
	sim.place(r)
}

// place sends the request to the engines that the policy chooses until one accepts
// it, or the request is queued or refused.
func (sim *simulation) place(r *request) {
	r.remaining = r.arrivedAt + r.kind.Deadline - sim.now
	r.work.Timing = sim.rosters[r.entry].Timing(target).Bounded(sim.site.strictestInterToken())
	permitsRefused, judged := 0, false
	sim.judgeShare(r)
	for len(r.tried) < maxEngineAttempts {
		fleetSize := sim.site.Entries
		if sim.site.IgnoreFleetSize {
			fleetSize = 1
		}
		sim.resetLate(r)
		decision := decide(sim.policy, sim.site.LateDesign, fleetSize, sim.random, r, sim.withoutBlocked(r, permitsRefused, sim.candidates(r)))
		sim.recordShare(r, decision)
		if decision.wait {
			sim.queued = append(sim.queued, r)
			return
		}
		if decision.choice.ID == "" {
			sim.refuse(r, decision.retryAfter)
			return
		}
		if !sim.obtainPermit(r, decision.choice.ID, sim.random) {
			permitsRefused++
			continue
		}
		if !judged && sim.refusesParts(r) {
			sim.refuse(r, resendDelay)
			return
		}
		judged = true
		if sim.send(r, decision.choice) {
			return
		}
	}
	sim.refuse(r, 400*time.Millisecond)
}

// candidates returns the engines with the load that the request's entry knows,
// or with their current load under the FIFO policy.
func (sim *simulation) candidates(r *request) []placement.Candidate {
	candidates := sim.rosters[r.entry].Candidates(sim.now, roster.Selection{Target: target, Except: r.tried}, &r.work)
	slices.SortFunc(candidates, func(a, b placement.Candidate) int { return compareEngineIDs(a.ID, b.ID) })
	if sim.policy == Product {
		sim.correctLoads(r, candidates)
	}
	sim.addKnownCapacity(candidates)
	if sim.policy != FIFO {
		return candidates
	}
	for i := range candidates {
		load := sim.engines[candidates[i].ID].engine.Load()
		candidates[i].Load = placement.Load{ByPriority: map[int]placement.PriorityLoad{0: {Waiting: load.Waiting, Running: load.Running}}}
	}
	return candidates
}

func compareEngineIDs(a, b engineID) int {
	if a < b {
		return -1
	}
	return 1
}

// send submits the request to an engine and reports whether it was accepted.
func (sim *simulation) send(r *request, choice placement.Choice) bool {
	r.tried[choice.ID] = true
	entryRoster := sim.rosters[r.entry]
	attempt := entryRoster.Begin(sim.now, &r.work, choice)
	slot := sim.engines[choice.ID]
	switch {
	case slot.down:
		attempt.End(sim.now, roster.Unreachable)
		return false
	case slot.engine.Load().Waiting >= sim.site.QueueLimit:
		attempt.End(sim.now, roster.Rejected)
		return false
	}
	r.engine, r.attempt = choice.ID, attempt
	sim.reserve(r)
	r.executions++
	sim.recordPartExecution(r)
	sim.running[r.id] = r
	sim.runningOrder = append(sim.runningOrder, r)
	sim.recordColdArrival(choice.ID)
	slot.engine.Submit(sim.now, model.Request{ID: r.id, PromptTokens: r.work.Tokens + r.generatedTokens, OutputTokens: r.outputTokens - r.generatedTokens, Priority: r.work.Priority, Segments: r.segments})
	return true
}

// refuse schedules the retry of the caller, who retries once. A request that an
// engine had accepted before fails instead.
func (sim *simulation) refuse(r *request, after time.Duration) {
	if r.executions > 0 {
		sim.fail(r)
		return
	}
	r.outcome = Refused
	if r.callerAttempts > 1 {
		return
	}
	r.retryAt = sim.now + min(after, r.remaining/3)
	sim.retrying = append(sim.retrying, r)
}

// resumeWaiting starts the retries that are due, and places the queued requests.
func (sim *simulation) resumeWaiting() {
	retrying := sim.retrying
	sim.retrying = nil
	for _, r := range retrying {
		if r.retryAt > sim.now {
			sim.retrying = append(sim.retrying, r)
			continue
		}
		r.outcome = ""
		r.entry = sim.random.IntN(sim.site.Entries)
		sim.startAttempt(r)
	}
	queued := sim.queued
	sim.queued = nil
	for i, r := range queued {
		if sim.now-r.arrivedAt > r.kind.abandonAfter() {
			r.outcome = Abandoned
			continue
		}
		if len(sim.queued) > 0 {
			// The first request could not be placed. The others keep their order
			// behind it.
			sim.queued = append(sim.queued, queued[i:]...)
			return
		}
		sim.place(r)
	}
}

func (sim *simulation) stepEngines() {
	for _, id := range sim.engineIDs {
		slot := sim.engines[id]
		for !slot.down {
			next, busy := slot.engine.StepEnd()
			if !busy || next > sim.now {
				break
			}
			for _, event := range slot.engine.Step(next) {
				r, ok := sim.running[event.ID]
				if !ok {
					continue
				}
				if sim.beginsCrash(r) {
					sim.crashByPart(id)
					break
				}
				sim.recordToken(r, next, event.Done)
			}
		}
	}
}

// recordToken records one generated token. The caller gets an event for every
// TokensPerEvent tokens and for the last one.
func (sim *simulation) recordToken(r *request, at time.Duration, done bool) {
	r.generatedTokens++
	if r.generatedTokens%sim.site.TokensPerEvent == 0 || done {
		if r.firstEventAt == 0 {
			r.firstEventAt = at
			sim.unreportedSegments = append(sim.unreportedSegments, segmentsReport{r.entry, r.engine, roster.SharedSegments(r.work.Segments)})
			sim.endReservation(r)
			r.parts.beganAtFirstAttempt = r.callerAttempts == 1
		} else {
			r.longestInterEvent = max(r.longestInterEvent, at-r.lastEventAt)
		}
		r.attempt.RecordFirstResponse(at)
		r.attempt.RecordEvent(at, sim.site.TokensPerEvent)
		r.lastEventAt = at
	}
	if done {
		delete(sim.running, r.id)
		r.attempt.End(at, roster.Completed)
		sim.recordPartsSound(r)
		r.outcome = Late
		if r.firstEventAt-r.arrivedAt <= r.kind.Objective && r.longestInterEvent <= r.kind.InterEventObjective {
			r.outcome = InTime
		}
	}
}

// abandonLate cancels the running requests whose callers have waited too long.
func (sim *simulation) abandonLate() {
	runningOrder := sim.runningOrder[:0]
	for _, r := range sim.runningOrder {
		if sim.running[r.id] != r {
			continue
		}
		if sim.now-max(r.lastEventAt, r.arrivedAt) <= r.kind.abandonAfter() && sim.now-r.arrivedAt <= r.kind.Deadline {
			runningOrder = append(runningOrder, r)
			continue
		}
		sim.engines[r.engine].engine.Cancel(sim.now, r.id)
		sim.endReservation(r)
		r.attempt.End(sim.now, roster.Abandoned)
		r.outcome = Abandoned
		delete(sim.running, r.id)
	}
	sim.runningOrder = runningOrder
}

// exchangeReports delivers the load and the cached segments of each entry to all
// others.
func (sim *simulation) exchangeReports() {
	if sim.site.Entries > fullMeshLimit {
		sim.exchangeHubReports()
	} else {
		for from, r := range sim.rosters {
			loads, ejected := r.Loads(sim.now, nil), r.Ejected(sim.now)
			for to, other := range sim.rosters {
				if to != from {
					other.ApplyPeerReport(sim.now, types.InstanceID(fmt.Sprint(from)), loads, ejected)
				}
			}
		}
	}
	for _, report := range sim.unreportedSegments {
		for to, other := range sim.rosters {
			if to != report.from {
				other.AddCachedSegments(sim.now, report.engine, report.segments)
			}
		}
	}
	sim.unreportedSegments = nil
	sim.exchangeCapacity()
	sim.exchangeCrashReports()
}

// exchangeHubReports sums up the loads of all entries.
func (sim *simulation) exchangeHubReports() {
	loads := make(map[engineID]placement.Load)
	for _, r := range sim.rosters {
		for id, load := range r.Loads(sim.now, nil) {
			sum := loads[id]
			sum.Add(load)
			loads[id] = sum
		}
	}
	sim.delayedReports = append(sim.delayedReports, hubReport{sim.now + sim.site.ReportDelay, loads})
}

// deliverHubReports delivers the sums that are due to each entry.
func (sim *simulation) deliverHubReports() {
	for len(sim.delayedReports) > 0 && sim.delayedReports[0].knownAt <= sim.now {
		for _, r := range sim.rosters {
			r.ApplyPeerReport(sim.now, "hub", sim.delayedReports[0].loads, nil)
		}
		sim.delayedReports = sim.delayedReports[1:]
	}
}
