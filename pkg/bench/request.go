package bench

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
)

// state is the state of a request.
type state int

const (
	waiting state = iota
	running
	ended
)

// request is a request at its entry.
type request struct {
	sim     *simulation
	arrival arrival
	state   state
	// dispatcher is the one that queues or granted the request. refusals counts the
	// dispatchers that have refused it since it last ran.
	dispatcher *dispatcher
	refusals   int
	// upstream runs the current attempt.
	upstream *upstream
	attempt  int
	crashes  int
	// receivedTokens counts the answer tokens that the caller has received,
	// tokensBefore those of earlier attempts.
	receivedTokens int
	tokensBefore   int
	// enqueuedAt is the time at which the request was last enqueued.
	enqueuedAt          time.Duration
	attemptStartedAt    time.Duration
	attemptFirstTokenAt time.Duration
	firstTokenAt        time.Duration
	lastTokenAt         time.Duration
	endedAt             time.Duration
	completed           bool
	errorCode           fault.Code
	// decidedAt is the time at which the request was refused, failed or expired.
	decidedAt time.Duration
	// starts counts the attempts that reached an upstream.
	starts int
	// grantedForFloor is true if the last grant was for the floor of the class.
	grantedForFloor bool
	// prefillTokens counts the tokens that the attempts had to prefill: prompts
	// and resumed answers.
	prefillTokens int
	// overtaken is true if a request of a lower tier started at the target while
	// this one waited.
	overtaken bool
}

// message returns the request as it is sent to a dispatcher.
func (r *request) message() pool.Request {
	class := r.arrival.class.Class
	now := r.sim.scheduler.now
	m := pool.Request{
		ID: r.arrival.id, Entry: entryName(r.arrival.entry), Class: class.Name, Tier: class.Tier,
		Account: r.arrival.account, PromptTokens: r.arrival.promptTokens, Generated: r.receivedTokens,
		Waited: now - r.arrival.at, DeadlineIn: r.deadline() - now,
		Repeatable: r.arrival.class.Repeatable, Preemptible: class.Preemptible,
		Crashes: r.crashes, LastPool: r.refusals+1 >= len(r.sim.dispatchers(r)),
	}
	if class.FirstToken > 0 {
		m.FirstTokenIn = r.arrival.at + class.FirstToken.Duration() - now
	}
	return m
}

func (r *request) deadline() time.Duration {
	return r.arrival.at + r.arrival.class.Class.Deadline.Duration()
}

// enqueue sends the request to the next dispatcher.
func (r *request) enqueue() {
	dispatchers := r.sim.dispatchers(r)
	r.state = waiting
	r.enqueuedAt = r.sim.scheduler.now
	r.overtaken = false
	r.dispatcher = dispatchers[min(r.refusals, len(dispatchers)-1)]
	m := r.message()
	r.dispatcher.sendEvent(r.arrival.entry, pool.Event{Enqueue: &m})
}

// granted starts an attempt at the upstream.
func (r *request) granted(u *upstream) {
	if r.state != waiting {
		r.dispatcher.sendEvent(r.arrival.entry, pool.Event{Finish: &pool.Finish{ID: r.arrival.id, Upstream: u.config.ID, Reason: pool.FinishCancelled}})
		return
	}
	r.attempt++
	if !u.submit(r) {
		r.dispatcher.sendEvent(r.arrival.entry, pool.Event{Finish: &pool.Finish{ID: r.arrival.id, Upstream: u.config.ID, Reason: pool.FinishUnreachable}})
		r.enqueue()
		return
	}
	r.state = running
	r.upstream = u
	r.starts++
	r.tokensBefore = r.receivedTokens
	r.prefillTokens += r.arrival.promptTokens + r.receivedTokens
	r.attemptStartedAt = r.sim.scheduler.now
	r.sim.markOvertaken(r)
	r.reportProgress(r.attempt)
}

// refused tries the next dispatcher, or ends the request.
func (r *request) refused(code fault.Code, decided time.Duration) {
	if r.state != waiting {
		return
	}
	r.refusals++
	canRetryElsewhere := code == fault.Overloaded || code == fault.NoUpstream || code == fault.DeadlineUnreachable
	if canRetryElsewhere && r.refusals < len(r.sim.dispatchers(r)) {
		r.enqueue()
		return
	}
	r.errorCode = code
	r.decidedAt = decided
	r.finish(false)
}

// preempted stops the running attempt and enqueues the request again. The next
// attempt resumes the answer.
func (r *request) preempted() {
	if r.state != running {
		return
	}
	r.stop(pool.FinishCancelled)
	r.refusals = 0
	r.enqueue()
}

// stop cancels the running attempt.
func (r *request) stop(reason pool.FinishReason) {
	r.upstream.cancel(r)
	r.reportFinish(reason)
}

// reportFinish reports the end of the attempt to the dispatcher.
func (r *request) reportFinish(reason pool.FinishReason) {
	finish := &pool.Finish{ID: r.arrival.id, Upstream: r.upstream.config.ID, Reason: reason, Tokens: r.receivedTokens - r.tokensBefore, InterTokenLatency: r.attemptInterTokenLatency()}
	if r.receivedTokens > r.tokensBefore {
		finish.FirstToken = r.attemptFirstTokenAt - r.attemptStartedAt
	}
	r.dispatcher.sendEvent(r.arrival.entry, pool.Event{Finish: finish})
}

// attemptInterTokenLatency returns the mean time between the tokens of the
// current attempt.
func (r *request) attemptInterTokenLatency() time.Duration {
	if r.receivedTokens-r.tokensBefore < 2 {
		return 0
	}
	return (r.lastTokenAt - r.attemptFirstTokenAt) / time.Duration(r.receivedTokens-r.tokensBefore-1)
}

// reportProgress periodically reports the progress of the attempt to the
// dispatcher.
func (r *request) reportProgress(attempt int) {
	r.sim.scheduler.after(progressInterval, func() {
		if r.state != running || r.attempt != attempt {
			return
		}
		progress := &pool.Progress{ID: r.arrival.id, Tokens: r.receivedTokens - r.tokensBefore, InterTokenLatency: r.attemptInterTokenLatency()}
		r.dispatcher.sendEvent(r.arrival.entry, pool.Event{Progress: progress})
		r.reportProgress(attempt)
	})
}

// receiveToken handles one token of the answer.
func (r *request) receiveToken(done bool) {
	now := r.sim.scheduler.now
	r.receivedTokens++
	r.lastTokenAt = now
	if r.receivedTokens == r.tokensBefore+1 {
		r.attemptFirstTokenAt = now
	}
	if r.receivedTokens == 1 {
		r.firstTokenAt = now
	}
	if done {
		r.complete()
	}
}

// complete ends the request after the last token of its answer.
func (r *request) complete() {
	delete(r.upstream.requests, r.arrival.id)
	r.reportFinish(pool.FinishComplete)
	r.finish(true)
}

// upstreamCrashed handles a crash of the upstream. A repeatable request is
// retried after its first crash.
func (r *request) upstreamCrashed() {
	r.reportFinish(pool.FinishCrashed)
	r.crashes++
	r.state = waiting
	if !r.arrival.class.Repeatable || r.crashes > 1 {
		r.errorCode = fault.UpstreamFailed
		r.decidedAt = r.sim.scheduler.now
		r.finish(false)
		return
	}
	r.refusals = 0
	r.enqueue()
}

// expire ends an unfinished request at its deadline.
func (r *request) expire() {
	switch r.state {
	case waiting:
		r.dispatcher.sendEvent(r.arrival.entry, pool.Event{Cancel: &pool.Cancel{ID: r.arrival.id}})
	case running:
		r.stop(pool.FinishCancelled)
	case ended:
		return
	}
	r.errorCode = fault.DeadlineExceeded
	r.decidedAt = r.sim.scheduler.now
	r.finish(false)
}

func (r *request) finish(completed bool) {
	r.state = ended
	r.completed = completed
	r.endedAt = r.sim.scheduler.now
	r.sim.unfinished--
}

// attained reports whether the caller received the whole answer within the
// deadline and the latency targets.
func (r *request) attained() bool {
	class := r.arrival.class.Class
	if !r.completed || r.endedAt > r.deadline() {
		return false
	}
	if r.arrival.class.Target == serviceTarget {
		return true
	}
	if class.FirstToken > 0 && r.timeToFirstToken() > class.FirstToken.Duration() {
		return false
	}
	return class.InterTokenLatency == 0 || r.interTokenLatency() <= class.InterTokenLatency.Duration()
}

func (r *request) timeToFirstToken() time.Duration { return r.firstTokenAt - r.arrival.at }

// interTokenLatency returns the mean time between all tokens that the caller
// received.
func (r *request) interTokenLatency() time.Duration {
	if r.receivedTokens < 2 {
		return 0
	}
	return (r.lastTokenAt - r.firstTokenAt) / time.Duration(r.receivedTokens-1)
}
