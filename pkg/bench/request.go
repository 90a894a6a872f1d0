package bench

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
)

// state is the state of a request at its entry.
type state int

const (
	waiting state = iota
	running
	ended
)

// request is one request as its entry holds it.
type request struct {
	sim     *simulation
	arrival arrival
	state   state
	// point is where the request waits or was granted, and tried counts the
	// points that have refused it.
	point *point
	tried int
	// at is the upstream of the running attempt.
	at      *upstream
	attempt int
	crashes int
	// tokens counts those that the caller has; before counts those of earlier
	// attempts.
	tokens int
	before int
	// enqueued is when the current wait began.
	enqueued     time.Duration
	attemptStart time.Duration
	attemptFirst time.Duration
	first        time.Duration
	last         time.Duration
	end          time.Duration
	completed    bool
	refusedFor   fault.Code
	// decidedAt is when the policy refused the request.
	decidedAt time.Duration
	// starts counts the attempts that reached an upstream.
	starts int
	// floor says that the last grant was for the floor of the class.
	floor bool
	// read counts the tokens that the attempts had to read, prompts and resumed
	// answers.
	read int
	// overtaken says that a lower tier started at the target during the wait.
	overtaken bool
}

// message returns the request as a policy sees it now.
func (r *request) message() pool.Request {
	class := r.arrival.class.Class
	now := r.sim.agenda.now
	m := pool.Request{
		ID: r.arrival.id, Entry: entryName(r.arrival.entry), Class: class.Name, Tier: class.Tier,
		Account: r.arrival.account, PromptTokens: r.arrival.prompt, Generated: r.tokens,
		Waited: now - r.arrival.at, DeadlineIn: r.deadline() - now,
		Repeatable: r.arrival.class.Repeatable, Preemptible: class.Preemptible,
		Crashes: r.crashes, LastPool: r.tried+1 >= len(r.sim.points(r)),
	}
	if class.FirstToken > 0 {
		m.FirstTokenIn = r.arrival.at + class.FirstToken.Duration() - now
	}
	return m
}

func (r *request) deadline() time.Duration {
	return r.arrival.at + r.arrival.class.Class.Deadline.Duration()
}

// offer enqueues the request at the next point.
func (r *request) offer() {
	points := r.sim.points(r)
	r.state = waiting
	r.enqueued = r.sim.agenda.now
	r.overtaken = false
	r.point = points[min(r.tried, len(points)-1)]
	m := r.message()
	r.point.tell(r.arrival.entry, pool.Event{Enqueue: &m})
}

// granted starts an attempt.
func (r *request) granted(u *upstream) {
	if r.state != waiting {
		r.point.tell(r.arrival.entry, pool.Event{Finish: &pool.Finish{ID: r.arrival.id, Upstream: u.config.ID, Reason: pool.FinishCancelled}})
		return
	}
	r.attempt++
	if !u.submit(r) {
		r.point.tell(r.arrival.entry, pool.Event{Finish: &pool.Finish{ID: r.arrival.id, Upstream: u.config.ID, Reason: pool.FinishUnreachable}})
		r.offer()
		return
	}
	r.state = running
	r.at = u
	r.starts++
	r.before = r.tokens
	r.read += r.arrival.prompt + r.tokens
	r.attemptStart = r.sim.agenda.now
	r.sim.started(r)
	r.reportProgress(r.attempt)
}

// refused passes the request on to the next point, or ends it.
func (r *request) refused(code fault.Code, decided time.Duration) {
	if r.state != waiting {
		return
	}
	r.tried++
	passesOn := code == fault.Overloaded || code == fault.NoUpstream || code == fault.DeadlineUnreachable
	if passesOn && r.tried < len(r.sim.points(r)) {
		r.offer()
		return
	}
	r.refusedFor = code
	r.decidedAt = decided
	r.finishWith(false)
}

// preempted stops the running attempt; the answer resumes later.
func (r *request) preempted() {
	if r.state != running {
		return
	}
	r.stop(pool.FinishCancelled)
	r.tried = 0
	r.offer()
}

// stop ends the running attempt early.
func (r *request) stop(reason pool.FinishReason) {
	r.at.cancel(r)
	r.report(reason)
}

// report tells the point that the attempt has ended.
func (r *request) report(reason pool.FinishReason) {
	finish := &pool.Finish{ID: r.arrival.id, Upstream: r.at.config.ID, Reason: reason, Tokens: r.tokens - r.before, InterTokenLatency: r.gap()}
	if r.tokens > r.before {
		finish.FirstToken = r.attemptFirst - r.attemptStart
	}
	r.point.tell(r.arrival.entry, pool.Event{Finish: finish})
}

// gap returns the mean time between the tokens of the attempt.
func (r *request) gap() time.Duration {
	if r.tokens-r.before < 2 {
		return 0
	}
	return (r.last - r.attemptFirst) / time.Duration(r.tokens-r.before-1)
}

// reportProgress reports the tokens of the attempt at each interval.
func (r *request) reportProgress(attempt int) {
	r.sim.agenda.after(progressInterval, func() {
		if r.state != running || r.attempt != attempt {
			return
		}
		progress := &pool.Progress{ID: r.arrival.id, Tokens: r.tokens - r.before, InterTokenLatency: r.gap()}
		r.point.tell(r.arrival.entry, pool.Event{Progress: progress})
		r.reportProgress(attempt)
	})
}

// token takes one token of the answer.
func (r *request) token(done bool) {
	now := r.sim.agenda.now
	r.tokens++
	r.last = now
	if r.tokens == r.before+1 {
		r.attemptFirst = now
	}
	if r.tokens == 1 {
		r.first = now
	}
	if done {
		r.complete()
	}
}

// complete ends the request with its whole answer.
func (r *request) complete() {
	delete(r.at.requests, r.arrival.id)
	r.report(pool.FinishComplete)
	r.finishWith(true)
}

// broken handles the crash of the upstream: a repeatable request is tried once
// more.
func (r *request) broken() {
	r.report(pool.FinishCrashed)
	r.crashes++
	r.state = waiting
	if !r.arrival.class.Repeatable || r.crashes > 1 {
		r.refusedFor = fault.UpstreamFailed
		r.decidedAt = r.sim.agenda.now
		r.finishWith(false)
		return
	}
	r.tried = 0
	r.offer()
}

// expire ends the request at its deadline.
func (r *request) expire() {
	switch r.state {
	case waiting:
		r.point.tell(r.arrival.entry, pool.Event{Cancel: &pool.Cancel{ID: r.arrival.id}})
	case running:
		r.stop(pool.FinishCancelled)
	case ended:
		return
	}
	r.refusedFor = fault.DeadlineExceeded
	r.decidedAt = r.sim.agenda.now
	r.finishWith(false)
}

func (r *request) finishWith(completed bool) {
	r.state = ended
	r.completed = completed
	r.end = r.sim.agenda.now
	r.sim.open--
}

// attained reports whether the caller had the whole answer within the targets.
func (r *request) attained() bool {
	class := r.arrival.class.Class
	if !r.completed || r.end > r.deadline() {
		return false
	}
	if r.arrival.class.Target == serviceTarget {
		return true
	}
	if class.FirstToken > 0 && r.firstToken() > class.FirstToken.Duration() {
		return false
	}
	return class.BetweenTokens == 0 || r.meanGap() <= class.BetweenTokens.Duration()
}

func (r *request) firstToken() time.Duration { return r.first - r.arrival.at }

// meanGap returns the mean time between tokens as the caller saw them.
func (r *request) meanGap() time.Duration {
	if r.tokens < 2 {
		return 0
	}
	return (r.last - r.first) / time.Duration(r.tokens-1)
}
