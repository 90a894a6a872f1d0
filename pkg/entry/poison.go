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

// suspectRun is one running attempt of a suspect.
type suspectRun struct {
	// shared says that another suspect of this instance ran beside it.
	shared bool
}

// suspectRuns knows the suspects that run on each upstream. It is safe for
// concurrent use.
type suspectRuns struct {
	mu        sync.Mutex
	upstreams map[types.UpstreamID]map[*suspectRun]struct{}
}

func newSuspectRuns() *suspectRuns {
	return &suspectRuns{upstreams: make(map[types.UpstreamID]map[*suspectRun]struct{})}
}

// enter adds a run; it and those beside it are shared from then on.
func (s *suspectRuns) enter(to types.UpstreamID) *suspectRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &suspectRun{}
	beside := s.upstreams[to]
	if beside == nil {
		beside = make(map[*suspectRun]struct{})
		s.upstreams[to] = beside
	}
	beside[run] = struct{}{}
	if len(beside) > 1 {
		for other := range beside {
			other.shared = true
		}
	}
	return run
}

// leave removes a run and reports whether it was the only suspect all along.
func (s *suspectRuns) leave(from types.UpstreamID, run *suspectRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upstreams[from], run)
	if len(s.upstreams[from]) == 0 {
		delete(s.upstreams, from)
	}
	return !run.shared
}

// contentFingerprint returns the request's fingerprint. A call without a body has none: its
// kind comes again and again from good callers.
func (r *request) contentFingerprint() (quarantine.Fingerprint, bool) {
	if len(r.body) == 0 {
		return quarantine.Fingerprint{}, false
	}
	if r.fingerprint == nil {
		path := r.attributes.Service + r.attributes.Path
		fp := quarantine.FingerprintOf(r.account.ID, r.attributes.Method, path, r.body)
		r.fingerprint = &fp
	}
	return *r.fingerprint, true
}

// screen returns the final refusal of a condemned request, and marks a
// suspected one before its next attempt.
func (e *Entry) screen(held *request) *fault.Error {
	held.suspect = 0
	if e.quarantine.Empty() {
		return nil
	}
	fp, ok := held.contentFingerprint()
	if !ok {
		return nil
	}
	verdict := e.quarantine.Lookup(fp)
	if verdict.Condemned {
		return quarantinedFailure()
	}
	held.suspect = min(verdict.Crashes, 1)
	return nil
}

func quarantinedFailure() *fault.Error {
	return fault.New(fault.Quarantined, "upstreams crashed while they ran this request; do not send it again")
}

// enterSuspect counts the attempt among the suspects if it is one.
func (e *Entry) enterSuspect(held *request) *suspectRun {
	if held.suspect == 0 {
		return nil
	}
	return e.suspects.enter(held.upstream)
}

// judge draws the conclusions of an attempt's end about the request.
func (e *Entry) judge(held *request, run *suspectRun, end ending, took time.Duration) ending {
	only := run != nil && e.suspects.leave(held.upstream, run)
	fp, ok := held.crashPrint(run, end)
	if !ok {
		return end
	}
	if end.reason == pool.FinishComplete {
		e.quarantine.RecordCompletion(fp)
		return end
	}
	verdict := e.quarantine.RecordCrash(fp, quarantine.CrashedAttempt{Upstream: held.upstream, Duration: took, OnlySuspect: only})
	if !verdict.Condemned {
		return end
	}
	event := held.event(timeline.Quarantined)
	event.Code = string(fault.Quarantined)
	e.options.Recorder.Record(event)
	end.err = quarantinedFailure()
	return end
}

// crashPrint returns the fingerprint when the end of the attempt says something
// about the request: the end of a suspect, or a crash.
func (r *request) crashPrint(run *suspectRun, end ending) (quarantine.Fingerprint, bool) {
	if end.reason == pool.FinishCrashed || run != nil && end.reason == pool.FinishComplete {
		return r.contentFingerprint()
	}
	return quarantine.Fingerprint{}, false
}
