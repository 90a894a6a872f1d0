package roster

import (
	"cmp"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Attempt is an attempt that counts as load at an upstream until End.
type Attempt struct {
	roster    *Roster
	upstream  *upstreamState
	started   time.Duration
	predicted time.Duration
	// predictedDelay and predictedRatio are the delay of the first event and the
	// latency ratio that the prediction includes. immediate reports whether it
	// includes no wait.
	predictedDelay time.Duration
	predictedRatio float64
	immediate      bool
	engine         bool
	prefillTokens  int
	priority       int
	// late reports whether the attempt is late work, whose times depend on the requests that
	// arrive after it.
	late      bool
	sensitive bool
	// segments are the prompt segments that the upstream has cached once it answers. Requests
	// that arrive before are prefilled as a whole.
	segments []string
	running  bool
	// replaced reports whether another process may have been listening at Begin.
	replaced bool
	// lastEventAt is the time of the last event of a stream, and besidePrefill
	// whether the engine had a long prompt of another request to prefill then.
	lastEventAt   time.Duration
	besidePrefill bool
	// longestBesidePrefill is the longest inter-token latency beside such a prefill.
	longestBesidePrefill time.Duration
}

// Begin adds an attempt to the load of the chosen upstream.
func (r *Roster) Begin(now time.Duration, work *placement.Work, choice placement.Choice) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, ok := r.upstreams[choice.ID]
	if !ok {
		return &Attempt{roster: r, started: now}
	}
	a := &Attempt{
		roster:         r,
		upstream:       upstream,
		started:        now,
		predicted:      choice.FirstResponse,
		predictedDelay: work.FirstEventDelay,
		predictedRatio: cmp.Or(r.latencyRatioOf(now, upstream, work.Engine), 1),
		immediate:      choice.Wait == 0,
		engine:         work.Engine,
		prefillTokens:  max(work.Tokens-upstream.cachedTokens(now, work), 0),
		priority:       work.Priority,
		late:           work.Late(),
		sensitive:      work.LatencySensitive(),
		segments:       SharedSegments(work.Segments),
		replaced:       r.mayBeReplaced(now, upstream),
	}
	upstream.attempts[a] = struct{}{}
	return a
}

// SharedSegments returns the IDs of the prompt segments that other requests may share.
func SharedSegments(segments []placement.PromptSegment) []string {
	var shared []string
	for i := 0; i+1 < len(segments); i++ {
		shared = append(shared, segments[i].ID)
	}
	return shared
}

func (a *Attempt) load(now time.Duration) placement.Load {
	var load placement.Load
	own := placement.PriorityLoad{Running: 1}
	if !a.running {
		own = placement.PriorityLoad{Waiting: 1, PrefillTokens: a.prefillTokens}
		if !a.late && now-a.started > max(overdueFactor*a.predicted, minOverdueTime) {
			load.Overdue = 1
		}
	}
	load.ByPriority = map[int]placement.PriorityLoad{a.priority: own}
	if a.sensitive {
		load.LatencySensitive = 1
	}
	return load
}

// PrefillTokens returns the number of prompt tokens that the upstream probably prefills.
func (a *Attempt) PrefillTokens() int { return a.prefillTokens }

// RecordFirstResponse records that the first event or the response has arrived.
func (a *Attempt) RecordFirstResponse(now time.Duration) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream == nil || a.running {
		return
	}
	a.running, a.upstream.proven = true, true
	a.upstream.markCached(now, a.segments)
	if !a.engine {
		a.roster.observeCapacity(now, a.upstream, false, now-a.started)
	}
	if a.predicted <= 0 || a.late {
		return
	}
	a.measureFirstResponse(now)
}

// RecordProof records that the upstream has refused the request as an upstream does.
func (a *Attempt) RecordProof() {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream != nil {
		a.upstream.proven = true
	}
}

// RecordAnswer records that the upstream has responded with its mark.
func (a *Attempt) RecordAnswer() {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream != nil {
		a.upstream.proven, a.upstream.answered = true, true
	}
}

// Answered reports whether the upstream has ever responded to this instance with its mark.
func (a *Attempt) Answered() bool {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	return a.upstream != nil && a.upstream.answered
}

// Proven reports whether the upstream has ever responded to this instance as an upstream does.
func (a *Attempt) Proven() bool {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	return a.upstream != nil && a.upstream.proven
}

// End removes the attempt from the upstream's load and updates the upstream's
// health from the outcome. It returns for how long this ejects an upstream that was not
// ejected, or zero.
func (a *Attempt) End(now time.Duration, outcome Outcome) (ejected time.Duration) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	upstream := a.upstream
	if upstream == nil {
		return 0
	}
	delete(upstream.attempts, a)
	if a.longestBesidePrefill > 0 {
		a.roster.timing(upstream.Target).prefillLongestGap.Observe(a.longestBesidePrefill)
	}
	failureRate := upstream.decayedFailureRate(now)
	switch outcome {
	case Completed:
		upstream.failureRate, upstream.ejection, upstream.ejectedUntil = failureRate*(1-failureWeight), 0, 0
	case Failed, Rejected:
		upstream.failureRate, upstream.failureRateAt = failureRate+failureWeight*(1-failureRate), now
		if !upstream.proven {
			return upstream.eject(now, minUnprovenEjection, maxUnprovenEjection)
		}
	case Misdirected:
		if !upstream.proven {
			return upstream.eject(now, minUnprovenEjection, maxUnprovenEjection)
		}
		return upstream.eject(now, minEjection, maxEjection)
	case Unreachable:
		return upstream.eject(now, minEjection, maxEjection)
	case Abandoned:
	}
	return 0
}

// eject ejects the upstream for twice the time of before within the bounds. It returns the time if the
// upstream was not ejected.
func (u *upstreamState) eject(now, least, most time.Duration) (ejected time.Duration) {
	u.ejection = min(max(2*u.ejection, least), most)
	if now >= u.ejectedUntil {
		ejected = u.ejection
	}
	u.ejectedUntil = now + u.ejection
	clear(u.cachedSegments)
	return ejected
}

// Pause records that the upstream wants no requests from this instance for a time.
func (a *Attempt) Pause(now, pause time.Duration) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream != nil {
		a.roster.state(a.upstream.process(), func(s *statement) { s.pausedUntil = max(s.pausedUntil, now+pause) })
	}
}

// Leave records that the upstream has said that it leaves. It returns the process, and whether
// that is new.
func (a *Attempt) Leave() (Process, bool) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream == nil {
		return Process{}, false
	}
	process := a.upstream.process()
	return process, a.roster.leave(process)
}

// Version returns the software version of the upstream, or false if it is unknown: the
// upstream was not listed at Begin, or its entry has been replaced since by that of
// another process.
func (a *Attempt) Version() (types.SoftwareVersion, bool) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream == nil {
		return "", false
	}
	if current, ok := a.roster.upstreams[a.upstream.ID]; ok && current.process() != a.upstream.process() {
		return "", false
	}
	return a.upstream.Version, true
}

// Serves reports whether the attempt runs at a process of the version: its entry named it at
// Begin, and if that has been replaced since, the current one does as well.
func (a *Attempt) Serves(version types.SoftwareVersion) bool {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream == nil || a.upstream.Version != version {
		return false
	}
	current, listed := a.roster.upstreams[a.upstream.ID]
	return !listed || current.Version == version
}

// Upstream returns the ID of the upstream, or "" if it was not listed at Begin.
func (a *Attempt) Upstream() types.UpstreamID {
	if a.upstream == nil {
		return ""
	}
	return a.upstream.ID
}
