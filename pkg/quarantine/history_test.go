package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Bounds of the checker.
const (
	// settleTime is the time from the fifth crash after which guilty requests count.
	settleTime = 3 * time.Second
	// recoveryTime is the time from the fifth crash after which refused sound requests
	// count.
	recoveryTime = 6 * time.Second
	// settlingCrashes is the number of crashes from which both times run.
	settlingCrashes = 5
)

// scenario describes one history of a fleet.
type scenario struct {
	seed      uint64
	instances int
	upstreams int
	// perSecond is the rate of new requests, guiltyShare the share with the guilty part.
	perSecond   int
	guiltyShare float64
	// middles is the number of parts that requests share beside the first.
	middles int
	// together is the probability that the guilty part comes with the first middle part.
	together float64
	begin    time.Duration
	length   time.Duration
	maxDelay time.Duration
	loss     float64
	downtime time.Duration
	kills    killPlan
	restarts int
	// partition splits the instances into two groups for this time from begin on.
	partition time.Duration
	// unique is the number of parts of each request that no other has.
	unique int
	// answer is the longest time that an answer takes.
	answer time.Duration
	// immediate leaves out the periodic exchanges.
	immediate bool
	// turns is set if requests hold the guilty part before begin too, and are answered.
	turns  bool
	decide func(*Table, time.Duration, []Fingerprint) bool
}

// killPlan describes crashes without a guilty part.
type killPlan struct {
	single int
	// massive is the number of moments at which half of the upstreams crash.
	massive int
	// rolling crashes all upstreams one after the other.
	rolling time.Duration
}

func calm(seed uint64, instances int) scenario {
	return scenario{
		seed: seed, instances: instances, upstreams: max(6, instances/4), perSecond: max(30, instances/2), guiltyShare: 1.0 / 6,
		middles: 6, begin: 4 * time.Second, length: 24 * time.Second, maxDelay: 500 * time.Millisecond, downtime: 2 * time.Second,
		answer: 800 * time.Millisecond, decide: refuses,
	}
}

// refuses is the decision under test.
func refuses(table *Table, now time.Duration, parts []Fingerprint) bool {
	_, refused := table.RefusedPart(now, parts)
	return refused
}

// outcome counts the verdicts of a history.
type outcome struct {
	crashes, guilty, refusedGuilty int
	lateGuilty                     int
	sound, refusedSound            int
	lateSound, lateRefused         int
	refusedWithoutGuilty           int
}

func (o *outcome) add(other outcome) {
	o.crashes += other.crashes
	o.guilty += other.guilty
	o.refusedGuilty += other.refusedGuilty
	o.lateGuilty = max(o.lateGuilty, other.lateGuilty)
	o.sound += other.sound
	o.refusedSound += other.refusedSound
	o.lateSound += other.lateSound
	o.lateRefused += other.lateRefused
	o.refusedWithoutGuilty += other.refusedWithoutGuilty
}

// limits are the bounds of one history.
type limits struct {
	// lateGuilty is the number of guilty requests that may reach upstreams late.
	lateGuilty int
	// refusedShare is the share of sound requests that may be refused.
	refusedShare float64
}

// stated are the bounds while reports arrive.
var stated = limits{lateGuilty: 3, refusedShare: 0.05}

// limits returns the bounds of a random history. They add the guilty requests that arrive
// while one report travels. Where reports are lost, an instance without state may have to
// learn by itself, and the share of sound requests is the one that is promised.
func (s scenario) limits() limits {
	travel := s.maxDelay + detection
	l := stated
	l.lateGuilty += int(math.Ceil(float64(s.perSecond) * s.guiltyShare * travel.Seconds()))
	if s.loss > 0 {
		l.lateGuilty += convictionRounds * s.restarts
		l.refusedShare = 0.5
	}
	return l
}

// violations lists the broken bounds.
func (o *outcome) violations(l limits) []string {
	var list []string
	if o.lateGuilty > l.lateGuilty {
		list = append(list, fmt.Sprintf("%d guilty requests reached upstreams later than %v after the fifth crash", o.lateGuilty, settleTime))
	}
	if float64(o.lateRefused) > l.refusedShare*float64(o.lateSound) {
		list = append(list, fmt.Sprintf("%d of %d sound requests were refused later than %v after the fifth crash", o.lateRefused, o.lateSound, recoveryTime))
	}
	if o.refusedWithoutGuilty*100 > o.sound {
		list = append(list, fmt.Sprintf("%d of %d requests were refused without a guilty part", o.refusedWithoutGuilty, o.sound))
	}
	return list
}

// simulatedRequest is one request and its attempts.
type simulatedRequest struct {
	parts    []Fingerprint
	guilty   bool
	attempts int
	begun    time.Duration
	instance int
}

type simulatedUpstream struct {
	id      types.UpstreamID
	up      bool
	running map[*simulatedRequest]bool
}

// action is something that happens at a time.
type action struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].order, a[j].order)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world plays a scenario in virtual time.
type world struct {
	scenario
	random *rand.Rand
	now    time.Duration
	agenda agenda
	order  int
	tables []*Table
	// serving holds when each instance serves again after its restart.
	serving   []time.Duration
	upstreams []*simulatedUpstream
	crashedAt []time.Duration
	passed    []time.Duration
	verdicts  []soundVerdict
	out       outcome
}

// soundVerdict is the verdict on the first attempt of a sound request.
type soundVerdict struct {
	at      time.Duration
	refused bool
}

var (
	guiltyPart = FingerprintOfPart("guilty")
	firstPart  = FingerprintOfPart("first")
)

func middlePart(n int) Fingerprint { return FingerprintOfPart(fmt.Sprintf("middle %d", n)) }

// play runs the scenario and returns its outcome.
func play(s scenario) outcome {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(s.seed, 0))}
	for range s.instances {
		w.tables = append(w.tables, w.newTable())
	}
	for i := range s.upstreams {
		w.upstreams = append(w.upstreams, &simulatedUpstream{id: types.UpstreamID(fmt.Sprintf("u%d", i)), up: true, running: map[*simulatedRequest]bool{}})
	}
	w.serving = make([]time.Duration, s.instances)
	w.plan()
	for len(w.agenda) > 0 {
		next := heap.Pop(&w.agenda).(action)
		w.now = next.at
		next.do()
	}
	return w.judge()
}

func (w *world) newTable() *Table {
	settings := DefaultSettings()
	settings.TrialJitter = w.random.Float64()
	return NewTable(settings)
}

func (w *world) after(delay time.Duration, do func()) {
	if w.now+delay <= w.length {
		w.order++
		heap.Push(&w.agenda, action{at: w.now + delay, order: w.order, do: do})
	}
}

func (w *world) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// plan puts the arrivals, exchanges, kills and restarts on the agenda.
func (w *world) plan() {
	for at := time.Duration(0); at < w.length; at += time.Second / time.Duration(w.perSecond) {
		w.after(at, w.arrive)
	}
	for i := range w.tables {
		if w.immediate {
			break
		}
		w.after(w.uniform(0, time.Second), func() { w.exchange(i) })
		w.after(w.uniform(0, clearingPoll), func() { w.poll(i) })
	}
	for range w.kills.single {
		w.after(w.uniform(0, w.length), func() { w.kill(w.upstreams[w.random.IntN(len(w.upstreams))]) })
	}
	for range w.kills.massive {
		w.after(w.uniform(0, w.length), w.killHalf)
	}
	if w.kills.rolling > 0 {
		for i, u := range w.upstreams {
			w.after(time.Duration(i)*w.kills.rolling, func() { w.kill(u) })
		}
	}
	for range w.restarts {
		w.after(w.uniform(0, w.length), w.restart)
	}
}

// clearingPoll is the interval at which an instance asks for clearings.
const clearingPoll = 100 * time.Millisecond

func (w *world) poll(i int) {
	w.report(i, w.tables[i].Corrections(w.now))
	w.after(clearingPoll, func() { w.poll(i) })
}

// exchange sends the list of an instance to a random one.
func (w *world) exchange(i int) {
	w.send(i, w.random.IntN(len(w.tables)), w.tables[i].List(w.now, 32))
	w.after(time.Second, func() { w.exchange(i) })
}

// restartTime is how long a restarted instance hears its peers before it serves.
const restartTime = 600 * time.Millisecond

// heardAtStart is the number of peers that a restarted instance hears.
const heardAtStart = 8

// restart replaces an instance by one without state.
func (w *world) restart() {
	i := w.random.IntN(len(w.tables))
	w.tables[i] = w.newTable()
	w.serving[i] = w.now + restartTime
	for n := range min(heardAtStart, len(w.tables)-1) {
		peer := (i + n + 1) % len(w.tables)
		w.send(peer, i, w.tables[peer].List(w.now, 32))
	}
}

// report sends entries to all other instances.
func (w *world) report(from int, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	for to := range w.tables {
		w.send(from, to, entries)
	}
}

func (w *world) send(from, to int, entries []Entry) {
	apart := from%2 != to%2 && w.now >= w.begin && w.now < w.begin+w.partition
	if from == to || len(entries) == 0 || apart || w.random.Float64() < w.loss {
		return
	}
	w.after(w.uniform(min(40*time.Millisecond, w.maxDelay), w.maxDelay), func() { w.tables[to].Merge(w.now, entries) })
}

func (w *world) arrive() {
	r := &simulatedRequest{parts: []Fingerprint{firstPart}, instance: w.random.IntN(len(w.tables))}
	if w.now < w.serving[r.instance] {
		return
	}
	middle := w.random.IntN(w.middles)
	if (w.now >= w.begin || w.turns) && w.random.Float64() < w.guiltyShare {
		if w.random.Float64() < w.together {
			middle = 0
		}
		r.parts = append(r.parts, guiltyPart)
	}
	r.parts = append(r.parts, middlePart(middle))
	for n := range w.unique {
		r.parts = append(r.parts, FingerprintOfPart(fmt.Sprintf("unique %d %d", w.order, n)))
	}
	w.attempt(r)
}

// beginning is the time after which an answer has begun.
const beginning = 50 * time.Millisecond

// attempt sends the request to an upstream, unless it is refused.
func (w *world) attempt(r *simulatedRequest) {
	r.guilty = w.now >= w.begin && slices.Contains(r.parts, guiltyPart)
	var up []*simulatedUpstream
	for _, u := range w.upstreams {
		if u.up {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return
	}
	refused := w.decide(w.tables[r.instance], w.now, r.parts)
	w.note(r, refused)
	if refused {
		return
	}
	r.attempts++
	r.begun = w.now
	u := up[w.random.IntN(len(up))]
	u.running[r] = true
	if r.guilty {
		w.after(w.uniform(5*time.Millisecond, beginning), func() {
			if u.running[r] {
				w.crashedAt = append(w.crashedAt, w.now)
				w.kill(u)
			}
		})
		return
	}
	began := w.now + beginning
	w.after(w.uniform(beginning, w.answer), func() {
		if u.running[r] {
			delete(u.running, r)
			w.report(r.instance, w.tables[r.instance].RecordPartsSound(w.now, began, r.parts))
		}
	})
}

func (w *world) note(r *simulatedRequest, refused bool) {
	switch {
	case r.guilty && refused:
		w.out.refusedGuilty++
	case r.guilty:
		w.passed = append(w.passed, w.now)
	case r.attempts == 0:
		w.verdicts = append(w.verdicts, soundVerdict{at: w.now, refused: refused})
	}
}

// detection is the longest time until an instance knows that an upstream has crashed.
const detection = 100 * time.Millisecond

// implicated is the maximum age of an attempt that a crash implicates.
const implicated = 500 * time.Millisecond

// kill crashes an upstream. Each instance with an attempt there notices it separately.
func (w *world) kill(u *simulatedUpstream) {
	if !u.up {
		return
	}
	u.up = false
	lost := make([]*simulatedRequest, 0, len(u.running))
	for r := range u.running {
		lost = append(lost, r)
	}
	slices.SortFunc(lost, func(a, b *simulatedRequest) int {
		return cmp.Or(cmp.Compare(a.begun, b.begun), cmp.Compare(a.instance, b.instance))
	})
	clear(u.running)
	crashed := w.now
	for _, r := range lost {
		begun := r.begun
		w.after(w.uniform(0, detection), func() {
			if crashed-r.begun < implicated {
				w.report(r.instance, w.tables[r.instance].RecordPartCrash(w.now, r.parts, u.id, w.now-begun))
			}
			if r.attempts < 3 {
				w.attempt(r)
			}
		})
	}
	w.after(w.uniform(w.downtime, 2*w.downtime), func() { u.up = true })
}

func (w *world) killHalf() {
	for i, u := range w.upstreams {
		if i%2 == 0 {
			w.kill(u)
		}
	}
}

// judge counts the wrong verdicts.
func (w *world) judge() outcome {
	out := w.out
	out.crashes, out.guilty = len(w.crashedAt), len(w.passed)
	for _, v := range w.verdicts {
		out.sound++
		if v.refused {
			out.refusedSound++
		}
	}
	if out.crashes == 0 {
		out.refusedWithoutGuilty = out.refusedSound
		return out
	}
	from := w.crashedAt[min(len(w.crashedAt), settlingCrashes)-1]
	for _, at := range w.passed {
		if at > from+settleTime && len(w.crashedAt) >= settlingCrashes {
			out.lateGuilty++
		}
	}
	for _, v := range w.verdicts {
		if v.at <= from+recoveryTime {
			continue
		}
		out.lateSound++
		if v.refused {
			out.lateRefused++
		}
	}
	return out
}
