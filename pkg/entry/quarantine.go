package entry

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// suspectRun is one running attempt of a suspect, a request that was part of a
// crash.
type suspectRun struct {
	// shared is set if another suspect of this instance ran on the same upstream
	// at the same time.
	shared bool
}

// suspectRuns tracks the suspects that run on each upstream. It is safe for
// concurrent use.
type suspectRuns struct {
	mu        sync.Mutex
	upstreams map[types.UpstreamID]map[*suspectRun]struct{}
}

func newSuspectRuns() *suspectRuns {
	return &suspectRuns{upstreams: make(map[types.UpstreamID]map[*suspectRun]struct{})}
}

// add adds a run. If other suspects run on the upstream, it marks all of them as
// shared.
func (s *suspectRuns) add(to types.UpstreamID) *suspectRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &suspectRun{}
	runs := s.upstreams[to]
	if runs == nil {
		runs = make(map[*suspectRun]struct{})
		s.upstreams[to] = runs
	}
	runs[run] = struct{}{}
	if len(runs) > 1 {
		for other := range runs {
			other.shared = true
		}
	}
	return run
}

// remove removes a run and reports whether it was the only suspect on the upstream
// all the time.
func (s *suspectRuns) remove(from types.UpstreamID, run *suspectRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upstreams[from], run)
	if len(s.upstreams[from]) == 0 {
		delete(s.upstreams, from)
	}
	return !run.shared
}

// contentFingerprint returns the fingerprint of the request. A request without a
// body has none, because many legitimate requests are identical to it.
func (r *request) contentFingerprint() (quarantine.Fingerprint, bool) {
	if len(r.body) == 0 {
		return quarantine.Fingerprint{}, false
	}
	r.fingerprintOnce.Do(func() {
		path := r.attributes.Service + r.attributes.Path
		r.fingerprint = quarantine.FingerprintOf(r.account.ID, r.attributes.Method, path, r.body)
	})
	return r.fingerprint, true
}

// checkQuarantine returns the failure for a condemned request. Otherwise it records
// whether the request is a suspect before its next attempt.
func (e *Entry) checkQuarantine(req *request) *fault.Error {
	req.crashes = 0
	if e.quarantine.Empty() {
		return nil
	}
	fp, ok := req.contentFingerprint()
	if !ok {
		return nil
	}
	if verdict, refused := e.quarantine.PeekPart(req.parts); refused {
		return e.partFailure(req, verdict)
	}
	verdict := e.quarantine.Lookup(fp)
	if verdict.Condemned {
		return quarantinedFailure()
	}
	req.crashes = min(verdict.Crashes, 1)
	return nil
}

func quarantinedFailure() *fault.Error {
	return fault.New(fault.Quarantined, "upstreams crashed while they ran this request; it is quarantined and must not be sent again")
}

// trackSuspect adds the attempt to the running suspects. It returns nil if the
// request is not a suspect.
func (e *Entry) trackSuspect(req *request, to types.UpstreamID) *suspectRun {
	if req.crashes == 0 {
		return nil
	}
	return e.suspects.add(to)
}

// updateQuarantine reports the result of an attempt to the quarantine. If this
// condemns the request, the returned result has the failure Quarantined.
func (e *Entry) updateQuarantine(req *request, a *attempt, result attemptResult, took time.Duration) attemptResult {
	upstream := a.grant.Upstream().ID
	onlySuspect := a.suspect != nil && e.suspects.remove(upstream, a.suspect)
	fp, ok := req.quarantineFingerprint(a.suspect, result)
	if !ok {
		return result
	}
	if result.reason == pool.FinishComplete {
		e.quarantine.RecordCompletion(fp)
		return result
	}
	verdict := e.quarantine.RecordCrash(fp, quarantine.CrashedAttempt{Upstream: upstream, Duration: took, OnlySuspect: onlySuspect})
	if !verdict.Condemned {
		return result
	}
	event := a.event(req, timeline.Quarantined)
	event.Code = string(fault.Quarantined)
	e.options.Recorder.Record(event)
	result.err = quarantinedFailure()
	return result
}

// quarantineFingerprint returns the fingerprint if the result must be reported to
// the quarantine: a crash, or the completion of a suspect.
func (r *request) quarantineFingerprint(run *suspectRun, result attemptResult) (quarantine.Fingerprint, bool) {
	if result.reason == pool.FinishCrashed || run != nil && result.reason == pool.FinishComplete {
		return r.contentFingerprint()
	}
	return quarantine.Fingerprint{}, false
}
