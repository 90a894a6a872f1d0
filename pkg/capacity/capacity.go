// Package capacity learns how fast each upstream is, relative to the others of its target,
// and how its times grow with the number of requests that run at it. Instances exchange sums
// of their observations, since each of them sees few of the requests at an upstream. The
// package is pure: the caller passes in the time.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// bucketTime and windowBuckets define the window of an estimate: the median of the means
	// of half a second each. Noise of 0.6 s fills one bucket and touches two, so that it does
	// not change the median, and a lasting change is followed once it fills three.
	bucketTime    = 500 * time.Millisecond
	windowBuckets = 5
	// minBuckets and minCount are the number of buckets with observations, and the number of
	// observations, that an estimate requires.
	minBuckets = 3
	minCount   = 8
	// freshTime is the age of an estimate up to which it counts fully. From then on it decays
	// and is typical again at staleTime.
	freshTime = 2 * time.Second
	staleTime = 10 * time.Second
	// minFactor and maxFactor bound the speed and the growth of an upstream, so that one with
	// false observations neither attracts all requests nor loses all.
	minFactor, maxFactor = 0.5, 8.0
	// minDifference is the factor up to which a speed counts as typical. Differences of the
	// estimates of equal engines are smaller, and would move sessions from one to another.
	// With 1.15, equal engines were estimated at up to 1.17 from some hundred observations.
	minDifference = 1.25
	// minSpeedCount is the number of observations from which a speed may differ from the
	// typical one. An engine that prefills long prompts most of the time has few steps without
	// one, and these are often beside a prompt that no report has named yet: equal engines
	// were estimated at 3.5 to 6.5 from 8 to 20 observations.
	minSpeedCount = 32
	// maxWeight is the number of observations from which a class counts fully in the speed.
	maxWeight = 100
	// maxBucketCount bounds the observations that one report may add to a bucket.
	maxBucketCount = 10_000
	// maxOwnCount bounds the observations of a class at a process that an instance keeps in a
	// bucket, and maxOwnSummaries the sums that it keeps for its peers.
	maxOwnCount     = 256
	maxOwnSummaries = 4096
	// minUpstreams is the number of upstreams of a target with estimates from which a median
	// tells what is typical.
	minUpstreams = 3
	// minUpstreamShare is the share of the upstreams of a target that the median requires. A
	// median of the few that have steps without a long prefill beside is not typical: with two
	// of three of them degraded, a sound engine was estimated at 0.5.
	minUpstreamShare = 1.0 / 3
	// crowdedElasticity is the growth of the step time relative to that of the number of
	// running requests, both as logarithms, from which a load class counts as crowded. The
	// latency grows faster than the throughput from 0.5 on, which a batch that costs as much
	// as the fixed part of a step reaches; noise is below 0.25.
	crowdedElasticity = 0.75
)

// minMean and maxMean bound the mean logarithm of observed times: a nanosecond, which is the
// resolution of the clock, and an hour. Beyond that a report is corrupt. Without the bound, the
// sum of a few such reports was infinite or not a number.
var minMean, maxMean = math.Log(1e-6), math.Log(float64(time.Hour / time.Millisecond))

// Process identifies a process of an upstream. Another process under the same ID starts
// without estimates.
type Process struct {
	Upstream         types.UpstreamID `json:"u"`
	StartedUnixMilli int64            `json:"s,omitempty"`
}

// Class is the load of the upstream during an observation: the quarter of the slots in which
// the number of running requests is.
type Class int

// classes is the number of classes.
const classes = 4

// ClassOf returns the class of an observation while a number of requests, including the
// observed one, is at the upstream.
func ClassOf(running, slots int) Class {
	if slots <= 0 {
		return 0
	}
	return Class(min(max(running-1, 0)*classes/slots, classes-1))
}

// Summary is the sum of observations of one class at one process within one bucket.
type Summary struct {
	Process
	Class Class `json:"c,omitempty"`
	// Ago is the age of the observations.
	Ago time.Duration `json:"a,omitempty"`
	// Count is the number of observations and Sum the sum of their natural logarithms.
	Count int     `json:"n"`
	Sum   float64 `json:"l"`
}

// Valid reports whether the summary may be used: its values are possible and it is not too old.
func (s *Summary) Valid() bool {
	if s.Class < 0 || s.Class >= classes || s.Count <= 0 || s.Ago < 0 || s.Ago >= windowBuckets*bucketTime {
		return false
	}
	// False if the mean is not a number.
	mean := s.Sum / float64(s.Count)
	return mean >= minMean && mean <= maxMean
}

// bounded returns the summary with at most maxBucketCount observations of the same mean.
func (s Summary) bounded() Summary {
	if s.Count > maxBucketCount {
		s.Count, s.Sum = maxBucketCount, s.Sum/float64(s.Count)*maxBucketCount
	}
	return s
}

// bucket sums the observations of one interval of bucketTime.
type bucket struct {
	number int64
	// own is the number of observations of this instance.
	count, own int
	sum        float64
}

// window holds the latest observations of one class.
type window struct {
	buckets [windowBuckets]bucket
	// level is the mean logarithm, and growth its difference to that of the class below.
	level, growth level
}

func (w *window) add(at time.Duration, count int, sum float64) {
	number := int64(at / bucketTime)
	b := &w.buckets[number%windowBuckets]
	if b.number > number {
		return
	}
	if b.number < number {
		*b = bucket{number: number}
	}
	b.count, b.sum = b.count+count, b.sum+sum
}

// addOwn records that observations of a bucket are this instance's.
func (w *window) addOwn(number int64, count int) {
	if b := &w.buckets[number%windowBuckets]; b.number == number {
		b.own += count
	}
}

// update estimates the level anew if there are enough observations.
func (w *window) update(now time.Duration) {
	var means []float64
	total, latest := 0, int64(0)
	for _, b := range w.buckets {
		if b.count > 0 && b.current(now) {
			means = append(means, b.sum/float64(b.count))
			total += b.count
			latest = max(latest, b.number)
		}
	}
	if total >= minCount {
		w.level.set(time.Duration(latest+1)*bucketTime, means, total)
	}
}

// updateGrowth estimates the growth from the class below to that of the window anew. It
// compares observations of the same buckets only, so that a change of the speed does not
// count as growth.
func (w *window) updateGrowth(now time.Duration, below *window) {
	var differences []float64
	total, latest := 0, int64(0)
	for i, b := range w.buckets {
		lower := below.buckets[i]
		if b.count > 0 && lower.count > 0 && b.number == lower.number && b.current(now) {
			differences = append(differences, b.sum/float64(b.count)-lower.sum/float64(lower.count))
			total += min(b.count, lower.count)
			latest = max(latest, b.number)
		}
	}
	if total >= minCount {
		w.growth.set(time.Duration(latest+1)*bucketTime, differences, total)
	}
}

// current reports whether the bucket belongs to the window of an estimate at a time.
func (b *bucket) current(now time.Duration) bool {
	return b.number > int64(now/bucketTime)-windowBuckets
}

// level is an estimate and the time up to which it was observed.
type level struct {
	value float64
	at    time.Duration
	count int
}

// recent reports whether there are observations of the last complete bucket.
func (l *level) recent(now time.Duration) bool {
	return l.count > 0 && now-l.at < 2*bucketTime
}

// set changes the estimate to the median if there are values of enough buckets.
func (l *level) set(at time.Duration, values []float64, count int) {
	if len(values) < minBuckets {
		return
	}
	slices.Sort(values)
	// Of an even number of buckets the lower one counts: noise only lengthens times.
	*l = level{values[(len(values)-1)/2], at, count}
}

// weight returns how much the level counts at a time: 1 while it is fresh, 0 when it is stale
// or unknown.
func (l *level) weight(now time.Duration) float64 {
	if l.count == 0 {
		return 0
	}
	stale := float64(now-l.at-freshTime) / float64(staleTime-freshTime)
	return 1 - min(max(stale, 0), 1)
}

// state has what is known of one process.
type state struct {
	process Process
	target  types.TargetName
	slots   int
	windows [classes]window
	// speed is the logarithm of the speed when there were observations last. It was compared
	// with others of the same time, so that a change of all upstreams makes none differ.
	speed level
}

// Estimate is what is known of the capacity of a process.
type Estimate struct {
	// Speed is the factor of its times relative to the median of its target, or zero if that
	// is unknown.
	Speed float64
	// Room is the number of running requests beyond which the latency grows faster than the
	// throughput, or zero if that is unknown or exceeds the slots. Crowded is the factor of
	// the times beyond it.
	Room    int
	Crowded float64
	// Typical is the median time of the upstreams of the target in the lowest load class with
	// observations, or zero.
	Typical time.Duration
	// Count is the number of observations behind the speed, and Own the number of those that
	// this instance made itself.
	Count, Own int
}

// Table has the observations of an instance and its peers. It is not safe for concurrent use.
type Table struct {
	processes map[types.UpstreamID]*state
	// current has the logarithms of this instance's observations in the bucket that has the
	// number currentNumber, and own the sums of earlier ones that have not been taken yet.
	current       map[ownKey][]float64
	currentNumber int64
	own           []ownSummary
	estimates     map[types.UpstreamID]Estimate
	updatedAt     time.Duration
	updated       bool
}

type ownKey struct {
	process Process
	class   Class
}

type ownSummary struct {
	Summary
	number int64
}

// updateInterval is the shortest time between two updates of the estimates.
const updateInterval = 100 * time.Millisecond

// NewTable returns a table without upstreams.
func NewTable() *Table {
	return &Table{processes: make(map[types.UpstreamID]*state), current: make(map[ownKey][]float64)}
}

// Listed describes a published process.
type Listed struct {
	Process
	Target types.TargetName
	Slots  int
}

// Update replaces the list of processes. Those that are no longer listed are forgotten.
func (t *Table) Update(list []Listed) {
	processes := make(map[types.UpstreamID]*state, len(list))
	for _, listed := range list {
		known, ok := t.processes[listed.Upstream]
		if !ok || known.process != listed.Process {
			known = &state{process: listed.Process}
		}
		known.target, known.slots = listed.Target, listed.Slots
		processes[listed.Upstream] = known
	}
	t.processes, t.updated = processes, false
}

// Observe adds an observation of this instance: a time in milliseconds.
func (t *Table) Observe(now time.Duration, process Process, class Class, value float64) {
	t.collect(now)
	if known, ok := t.processes[process.Upstream]; !ok || known.process != process || value <= 0 {
		return
	}
	key := ownKey{process, class}
	if values := t.current[key]; len(values) < maxOwnCount {
		t.current[key] = append(values, math.Log(value))
	}
}

// collect sums the observations of this instance once their bucket is complete. The sum is
// that of their median, because single steps take many times as long: those in which an
// engine prefills a prompt that this instance does not know of.
func (t *Table) collect(now time.Duration) {
	number := int64(now / bucketTime)
	if number == t.currentNumber {
		return
	}
	ago := now - time.Duration(t.currentNumber)*bucketTime
	for key, values := range t.current {
		slices.Sort(values)
		median := values[(len(values)-1)/2]
		s := Summary{Process: key.process, Class: key.class, Ago: ago, Count: len(values), Sum: median * float64(len(values))}
		if s.Valid() && t.add(now, s) {
			t.processes[s.Upstream].windows[s.Class].addOwn(t.currentNumber, s.Count)
			t.own = append(t.own[max(len(t.own)-maxOwnSummaries, 0):], ownSummary{s, t.currentNumber})
		}
	}
	clear(t.current)
	t.currentNumber = number
}

// Merge adds the observations of a peer. Those of processes that are not listed are dropped.
func (t *Table) Merge(now time.Duration, summaries []Summary) {
	for _, summary := range summaries {
		if summary.Valid() {
			t.add(now, summary)
		}
	}
}

// Seed adds the observations in use at a peer for the processes of which there are none.
func (t *Table) Seed(now time.Duration, summaries []Summary) {
	var unknown []Summary
	for _, summary := range summaries {
		if known, ok := t.processes[summary.Upstream]; ok && !known.observed() {
			unknown = append(unknown, summary)
		}
	}
	t.Merge(now, unknown)
}

// observed reports whether there are observations of the process.
func (s *state) observed() bool {
	for class := range s.windows {
		for _, b := range s.windows[class].buckets {
			if b.count > 0 {
				return true
			}
		}
	}
	return false
}

func (t *Table) add(now time.Duration, s Summary) bool {
	known, ok := t.processes[s.Upstream]
	if !ok || known.process != s.Process {
		return false
	}
	s = s.bounded()
	known.windows[s.Class].add(max(now-s.Ago, 0), s.Count, s.Sum)
	return true
}

// Take returns the observations of this instance since the last call, up to the last complete
// bucket.
func (t *Table) Take(now time.Duration) []Summary {
	t.collect(now)
	var summaries []Summary
	for _, own := range t.own {
		own.Ago = now - time.Duration(own.number)*bucketTime
		if own.Valid() {
			summaries = append(summaries, own.Summary)
		}
	}
	t.own = nil
	return summaries
}

// Window returns all observations that the estimates use, for an instance that has none.
func (t *Table) Window(now time.Duration) []Summary {
	var summaries []Summary
	for _, known := range t.processes {
		for class := range known.windows {
			for _, b := range known.windows[class].buckets {
				ago := now - time.Duration(b.number)*bucketTime
				s := Summary{Process: known.process, Class: Class(class), Ago: ago, Count: b.count, Sum: b.sum}
				if s.Valid() {
					summaries = append(summaries, s)
				}
			}
		}
	}
	return summaries
}

// Estimate returns what is known of an upstream.
func (t *Table) Estimate(now time.Duration, id types.UpstreamID) Estimate {
	t.refresh(now)
	return t.estimates[id]
}

// Estimates returns what is known of each upstream.
func (t *Table) Estimates(now time.Duration) map[types.UpstreamID]Estimate {
	t.refresh(now)
	return t.estimates
}

// refresh computes the estimates anew if the last time was too long ago.
func (t *Table) refresh(now time.Duration) {
	t.collect(now)
	if t.updated && now-t.updatedAt < updateInterval {
		return
	}
	t.updatedAt, t.updated = now, true
	typical := make(map[types.TargetName]*[classes]float64)
	levels := make(map[types.TargetName]*[classes][]float64)
	listed := make(map[types.TargetName]int)
	for _, known := range t.processes {
		listed[known.target]++
		byClass, ok := levels[known.target]
		if !ok {
			byClass = new([classes][]float64)
			levels[known.target], typical[known.target] = byClass, new([classes]float64)
		}
		for class := range known.windows {
			w := &known.windows[class]
			w.update(now)
			if class > 0 {
				w.updateGrowth(now, &known.windows[class-1])
			}
			if w.level.recent(now) {
				byClass[class] = append(byClass[class], w.level.value)
			}
		}
	}
	for target, byClass := range levels {
		for class, values := range byClass {
			typical[target][class] = math.NaN()
			if len(values) >= minUpstreams && float64(len(values)) >= minUpstreamShare*float64(listed[target]) {
				slices.Sort(values)
				typical[target][class] = values[(len(values)-1)/2]
			}
		}
	}
	t.estimates = make(map[types.UpstreamID]Estimate, len(t.processes))
	for id, known := range t.processes {
		t.estimates[id] = known.estimate(now, typical[known.target])
	}
}

// own returns the number of this instance's observations that the estimates use.
func (s *state) own(now time.Duration) int {
	own := 0
	for class := range s.windows {
		for _, b := range s.windows[class].buckets {
			if b.current(now) {
				own += b.own
			}
		}
	}
	return own
}

// estimate computes the estimate of a process from the levels that are typical of its target.
func (s *state) estimate(now time.Duration, typical *[classes]float64) Estimate {
	var e Estimate
	for class := range classes {
		if !math.IsNaN(typical[class]) {
			e.Typical = time.Duration(math.Exp(typical[class]) * float64(time.Millisecond)).Round(time.Microsecond)
			break
		}
	}
	roomClass := classes
	for class := 1; class < classes; class++ {
		held := &s.windows[class].growth
		growth := held.value * held.weight(now)
		// The middles of two neighbouring classes differ by the odd numbers of eighths.
		load := math.Log(float64(2*class+1) / float64(2*class-1))
		if growth > crowdedElasticity*load {
			roomClass = class
			e.Room, e.Crowded = max(s.slots*class/classes, 1), clamp(math.Exp(growth))
			break
		}
	}
	// Beyond the room, an upstream is compared by its growth.
	total, weights, count := 0.0, 0.0, 0
	for class := range roomClass {
		w := &s.windows[class].level
		if !w.recent(now) || math.IsNaN(typical[class]) {
			continue
		}
		weight := float64(min(w.count, maxWeight))
		total, weights, count = total+weight*(w.value-typical[class]), weights+weight, count+w.count
	}
	if weights > 0 {
		s.speed = level{total / weights, now, count}
	}
	if weight := s.speed.weight(now); weight > 0 {
		e.Speed, e.Count, e.Own = clamp(math.Exp(s.speed.value*weight)), s.speed.count, min(s.own(now), s.speed.count)
		if e.Count < minSpeedCount || !differs(e.Speed, 1, minDifference) {
			e.Speed = 1
		}
	}
	return e
}

func clamp(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }

// Changed reports whether the speed or the room has changed by more than a quarter.
func (e Estimate) Changed(since Estimate) bool {
	return differs(cmp.Or(e.Speed, 1), cmp.Or(since.Speed, 1), 1.25) ||
		(e.Room == 0) != (since.Room == 0) || e.Room > 0 && differs(float64(e.Room), float64(since.Room), 1.25)
}

// differs reports whether two positive values differ by more than a factor.
func differs(a, b, factor float64) bool { return max(a, b) > factor*min(a, b) }

// CountBySpeed returns the number of upstreams by speed: unknown, faster, typical, slower, and
// much slower, which is more than 1.8 times; and the number of those with a known room.
func CountBySpeed(estimates map[types.UpstreamID]Estimate) map[string]int {
	counts := map[string]int{"unknown": 0, "faster": 0, "typical": 0, "slower": 0, "much_slower": 0, "with_room": 0}
	for _, e := range estimates {
		counts[e.speedName()]++
		if e.Room > 0 {
			counts["with_room"]++
		}
	}
	return counts
}

func (e Estimate) speedName() string {
	switch {
	case e.Speed == 0:
		return "unknown"
	case e.Speed < 1:
		return "faster"
	case e.Speed == 1:
		return "typical"
	case e.Speed <= 1.8:
		return "slower"
	}
	return "much_slower"
}
