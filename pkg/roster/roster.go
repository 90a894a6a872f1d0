// Package roster holds what an instance knows about the upstreams: the published
// list, the load from this instance and its peers, the cached prompt segments and the
// health of each upstream. It returns the candidates for a placement. The caller
// passes in the time.
package roster

import (
	"iter"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/estimate"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// minEjection and maxEjection bound the exponentially growing time for which
	// an unreachable upstream gets no work while others are available. maxEjection
	// is well below the time that a crashed upstream takes to restart.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// minUnprovenEjection and maxUnprovenEjection bound that time for an upstream that has
	// failed and has never responded as an upstream: its entry may name a server that is none.
	// The longest is about the time that a crashed upstream takes to restart.
	minUnprovenEjection = time.Second
	maxUnprovenEjection = 8 * time.Second
	// peerReportTTL is how long a peer's report counts without a newer one: five
	// heartbeat intervals.
	peerReportTTL = 1500 * time.Millisecond
	// cachedSegmentTTL is how long a prompt segment is assumed to stay in an upstream's
	// cache after its last use.
	cachedSegmentTTL = 20 * time.Second
	// failureWeight is the weight of one outcome in the failure rate, a moving
	// average. A few requests are enough to recognise a failing upstream.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure rate. Because of the decay, an
	// upstream that no longer gets requests is tried again.
	failureHalfLife = 2 * time.Second
	// overdueFactor and minOverdueTime distinguish an overdue request from a slow one:
	// it has waited for more than overdueFactor times its predicted time, and for more
	// than minOverdueTime.
	overdueFactor  = 4
	minOverdueTime = 250 * time.Millisecond
	// replacedTime is how long a process that has refused a connection counts as replaced if
	// its entry stays the same. Another process under its ID has written its own entry by
	// then; the platform starts one within half a second, and entries are read within 2 s.
	replacedTime = 3 * time.Second
)

// Upstream is one entry of the published list.
type Upstream struct {
	ID         types.UpstreamID
	Target     types.TargetName
	Address    string
	DataCentre types.DataCentre
	Slots      int
	Version    types.SoftwareVersion
	// Ready is false while the upstream drains before it leaves.
	Ready bool
	// StartedUnixMilli is the start time of the upstream process in Unix
	// milliseconds, or zero if unknown.
	StartedUnixMilli int64
	// ColdFor is the time for which the upstream is slow and accepts few requests, as of
	// when the entry was written. Revision is that of the entry.
	ColdFor  time.Duration
	Revision types.Revision
}

// process returns the process that the entry describes.
func (u Upstream) process() Process {
	return Process{Upstream: u.ID, StartedUnixMilli: u.StartedUnixMilli, Address: u.Address, Version: u.Version}
}

// Outcome is the result of an attempt with regard to the upstream's health.
type Outcome int

const (
	// Completed means that the upstream sent a complete response.
	Completed Outcome = iota
	// Failed means that the upstream failed, closed the connection early or timed
	// out.
	Failed
	// Rejected means that the upstream was full and did not run the request.
	Rejected
	// Unreachable means that no connection could be established.
	Unreachable
	// Misdirected means that the address belongs to another upstream.
	Misdirected
	// Abandoned means that the caller or the deadline ended the attempt.
	Abandoned
)

// upstreamState is the state of one upstream.
type upstreamState struct {
	Upstream
	attempts map[*Attempt]struct{}
	// cachedSegments maps the IDs of prompt segments to the time of their last use.
	cachedSegments map[string]time.Duration
	failureRate    float64
	// failureRateAt is the time to which the decay of failureRate is applied.
	failureRateAt time.Duration
	latencyRatio  float64
	// latencyRatioAt is the time of the last measurement in latencyRatio.
	latencyRatioAt time.Duration
	// stepTime estimates the time between two tokens without a prefill beside.
	stepTime     *estimate.Quantile
	ejection     time.Duration
	ejectedUntil time.Duration
	// proven reports whether the process has responded to this instance as an upstream does, if only to
	// refuse, and answered whether it has done so with its mark.
	proven, answered bool
	// refused reports whether the process has refused a connection, last at refusedAt.
	refused   bool
	refusedAt time.Duration
}

// peerReport is the latest load report of a peer.
type peerReport struct {
	at    time.Duration
	loads map[types.UpstreamID]placement.Load
}

// Roster is the set of known upstreams. It is safe for concurrent use.
type Roster struct {
	mu        sync.Mutex
	upstreams map[types.UpstreamID]*upstreamState
	peers     map[types.InstanceID]peerReport
	// statements has what upstreams say of themselves.
	statements map[types.UpstreamID]statement
	// coldPeriods has the latest cold period of each upstream.
	coldPeriods map[types.UpstreamID]coldPeriod
	// timings has the estimates of each target with engines.
	timings map[types.TargetName]*timing
	// evacuated has the data centres whose upstreams get no new requests.
	evacuated map[types.DataCentre]bool
	// listAnswered is when the published list was last read, or nil if that is not recorded.
	listAnswered *time.Duration
	// capacity learns the capacity of the upstreams, unless it is nil.
	capacity *capacity.Table
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		upstreams:   make(map[types.UpstreamID]*upstreamState),
		peers:       make(map[types.InstanceID]peerReport),
		statements:  make(map[types.UpstreamID]statement),
		coldPeriods: make(map[types.UpstreamID]coldPeriod),
		timings:     make(map[types.TargetName]*timing),
	}
}

// Update replaces the published list. The state of an upstream is kept until the
// upstream restarts, changes its address or version, or is no longer listed.
func (r *Roster) Update(list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstreams := make(map[types.UpstreamID]*upstreamState, len(list))
	for _, upstream := range list {
		known, ok := r.upstreams[upstream.ID]
		if !ok || known.process() != upstream.process() {
			known = &upstreamState{
				attempts:       make(map[*Attempt]struct{}),
				cachedSegments: make(map[string]time.Duration),
				stepTime:       estimate.NewQuantile(stepTimeQuantile, stepTimeWindow),
			}
		}
		known.Upstream = upstream
		upstreams[upstream.ID] = known
	}
	r.upstreams = upstreams
	r.listCapacity(list)
	r.dropStatements()
}

// ReadyCount returns the number of upstreams that accept work, also in evacuated data centres: an
// instance stays ready during an evacuation.
func (r *Roster) ReadyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, upstream := range r.upstreams {
		if r.accepts(upstream) {
			count++
		}
	}
	return count
}

// Selection restricts the upstreams that may run a request.
type Selection struct {
	Target types.TargetName
	Except map[types.UpstreamID]bool
	// Version is the only version that may run the request, unless it is nil.
	Version *types.SoftwareVersion
	// DataCentres are the only ones in which the request may run, unless the map is nil.
	DataCentres map[types.DataCentre]bool
}

// includes reports whether a selection has an upstream. r.mu must be held.
func (r *Roster) includes(now time.Duration, s Selection, upstream *upstreamState) bool {
	return upstream.Target == s.Target && !s.Except[upstream.ID] && (s.Version == nil || upstream.Version == *s.Version && !r.mayBeReplaced(now, upstream)) &&
		(s.DataCentres == nil || s.DataCentres[upstream.DataCentre])
}

// Candidates returns the selected upstreams that may run the work, without those that have
// asked for a pause. Ejected upstreams, and those that have yet to respond for the first time to a
// request of this instance, are left out unless there is no other.
func (r *Roster) Candidates(now time.Duration, selection Selection, work *placement.Work) []placement.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found eligible
	for _, upstream := range r.upstreams {
		state := r.standing(now, upstream)
		if !r.includes(now, selection, upstream) || !state.mayGetRequest() {
			continue
		}
		found.add(state, r.candidate(now, upstream, work))
	}
	return found.candidates()
}

// candidate describes an upstream to the placement. r.mu must be held.
func (r *Roster) candidate(now time.Duration, upstream *upstreamState, work *placement.Work) placement.Candidate {
	candidate := placement.Candidate{
		ID:           upstream.ID,
		DataCentre:   upstream.DataCentre,
		Slots:        upstream.Slots,
		Load:         r.load(now, upstream),
		FailureRate:  upstream.decayedFailureRate(now),
		LatencyRatio: r.latencyRatioOf(now, upstream, work.Engine),
		CachedTokens: upstream.cachedTokens(now, work),
		StepTime:     upstream.stepTime.Value(),
		Capacity:     r.capacityOf(now, upstream),
	}
	_, candidate.Cold = r.coldState(now, upstream.ID)
	return candidate
}

// load returns the load from this instance and its peers at the upstream.
func (r *Roster) load(now time.Duration, upstream *upstreamState) placement.Load {
	load := upstream.localLoad(now)
	for reported := range r.peerLoads(now, upstream.ID) {
		load.Add(reported)
	}
	return load
}

// Listed reports whether the upstream is in the published list.
func (r *Roster) Listed(id types.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.upstreams[id]
	return ok
}

// AddressOf returns the address of the upstream, and false if it is not listed.
func (r *Roster) AddressOf(id types.UpstreamID) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, ok := r.upstreams[id]
	if !ok {
		return "", false
	}
	return upstream.Address, true
}

// Load returns the load from this instance and its peers at an upstream, and false if the
// upstream is not listed.
func (r *Roster) Load(now time.Duration, id types.UpstreamID) (placement.Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, ok := r.upstreams[id]
	if !ok {
		return placement.Load{}, false
	}
	return r.load(now, upstream), true
}

// peerLoads yields the loads that peers reported for an upstream and that have not
// expired. r.mu must be held.
func (r *Roster) peerLoads(now time.Duration, id types.UpstreamID) iter.Seq[placement.Load] {
	return func(yield func(placement.Load) bool) {
		for _, report := range r.peers {
			if now-report.at < peerReportTTL && !yield(report.loads[id]) {
				return
			}
		}
	}
}

// localLoad returns the load from this instance at the upstream.
func (u *upstreamState) localLoad(now time.Duration) placement.Load {
	var load placement.Load
	for attempt := range u.attempts {
		load.Add(attempt.load(now))
	}
	return load
}

func (u *upstreamState) decayedFailureRate(now time.Duration) float64 {
	halfLives := float64(now-u.failureRateAt) / float64(failureHalfLife)
	for ; halfLives >= 1 && u.failureRate > 0.01; halfLives-- {
		u.failureRate /= 2
		u.failureRateAt += failureHalfLife
	}
	return u.failureRate
}

// cachedTokens returns the length of the longest prefix of the prompt, in whole
// segments, that the upstream probably has cached.
func (u *upstreamState) cachedTokens(now time.Duration, work *placement.Work) int {
	tokens := 0
	for _, segment := range work.Segments {
		lastUse, ok := u.cachedSegments[segment.ID]
		if !ok || now-lastUse > cachedSegmentTTL {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}

// Find returns the upstream's entry, and false if it accepts no new work from this instance.
func (r *Roster) Find(now time.Duration, id types.UpstreamID) (Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, ok := r.upstreams[id]
	if !ok || !r.mayGetRequests(upstream) || r.pauseOf(now, upstream) > 0 {
		return Upstream{}, false
	}
	return upstream.Upstream, true
}

// Ready returns the entries of the target's upstreams that may get new requests, apart from pauses.
func (r *Roster) Ready(target types.TargetName) []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []Upstream
	for _, upstream := range r.upstreams {
		if r.mayGetRequests(upstream) && upstream.Target == target {
			ready = append(ready, upstream.Upstream)
		}
	}
	return ready
}

// Loads returns the load from this instance and the given peers at each upstream
// that has any.
func (r *Roster) Loads(now time.Duration, peers map[types.InstanceID]bool) map[types.UpstreamID]placement.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[types.UpstreamID]placement.Load)
	for id, upstream := range r.upstreams {
		load := upstream.localLoad(now)
		for peer := range peers {
			if report, ok := r.peers[peer]; ok && now-report.at < peerReportTTL {
				load.Add(report.loads[id])
			}
		}
		if !load.Empty() {
			loads[id] = load
		}
	}
	return loads
}

// Ejected returns the ejected upstreams with the remaining time of their ejection.
func (r *Roster) Ejected(now time.Duration) map[types.UpstreamID]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	ejected := make(map[types.UpstreamID]time.Duration)
	for id, upstream := range r.upstreams {
		if now < upstream.ejectedUntil {
			ejected[id] = upstream.ejectedUntil - now
		}
	}
	return ejected
}

// ApplyPeerReport stores the load that a peer reports and ejects the upstreams that
// the peer has ejected, if they have no attempts of this instance. It returns the
// upstreams that this ejects and that were not ejected a moment before, with the time.
func (r *Roster) ApplyPeerReport(now time.Duration, peer types.InstanceID, loads map[types.UpstreamID]placement.Load, ejected map[types.UpstreamID]time.Duration) map[types.UpstreamID]time.Duration {
	var applied map[types.UpstreamID]time.Duration
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[peer] = peerReport{at: now, loads: loads}
	for id, remaining := range ejected {
		// An ejection by a peer counts for minEjection at most, because the fault may
		// be on the peer's network path only.
		if upstream, ok := r.upstreams[id]; ok && now >= upstream.ejectedUntil && len(upstream.attempts) == 0 {
			ejection := min(remaining, minEjection)
			if upstream.ejectedUntil == 0 || now-upstream.ejectedUntil > peerReportTTL {
				if applied == nil {
					applied = make(map[types.UpstreamID]time.Duration)
				}
				applied[id] = ejection
			}
			upstream.ejectedUntil = now + ejection
		}
	}
	return applied
}

// RemovePeer drops a peer's report.
func (r *Roster) RemovePeer(peer types.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, peer)
}

// AddCachedSegments records that the upstream has prefilled the prompt segments and caches
// them.
func (r *Roster) AddCachedSegments(now time.Duration, id types.UpstreamID, segments []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upstream, ok := r.upstreams[id]; ok {
		upstream.markCached(now, segments)
	}
}

// maxCachedSegments bounds the cached segments that are tracked for one upstream.
const maxCachedSegments = 4096

func (u *upstreamState) markCached(now time.Duration, segments []string) {
	if len(u.cachedSegments) > maxCachedSegments {
		for id, lastUse := range u.cachedSegments {
			if now-lastUse > cachedSegmentTTL {
				delete(u.cachedSegments, id)
			}
		}
	}
	if len(u.cachedSegments) > maxCachedSegments {
		clear(u.cachedSegments)
	}
	for _, segment := range segments {
		u.cachedSegments[segment] = now
	}
}
