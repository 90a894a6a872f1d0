package roster

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// A process that has refused a connection has ended. Until its entry changes, another process may
// have taken over its ID and address: of another version, and cold. Nothing in a response names the
// process.

// RecordListAnswer records that the published list was last read at a time. If it is ever called, a
// process that has ended counts as replaced until the list was read after replacedTime: while the
// store is unavailable, the entry of its successor cannot arrive.
func (r *Roster) RecordListAnswer(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listAnswered = &at
}

// refuse records that the listed process has refused a connection, and reports whether this is new:
// the process did not count as replaced. r.mu must be held.
func (r *Roster) refuse(now time.Duration, upstream *upstreamState) bool {
	_, known := r.replacedFor(now, upstream)
	upstream.refused, upstream.refusedAt = true, now
	return !known
}

// replacedFor returns for how long the process of an entry counts as replaced, and whether it does.
// r.mu must be held.
func (r *Roster) replacedFor(now time.Duration, upstream *upstreamState) (time.Duration, bool) {
	if !upstream.refused {
		return 0, false
	}
	until := upstream.refusedAt + replacedTime
	if r.listAnswered != nil && *r.listAnswered < until {
		until = max(until, now+replacedTime)
	}
	return until - now, now < until
}

// mayBeReplaced reports whether another process, of another version, may have taken over the ID and
// the address while the list still has the former entry. Where entries name no version it makes no
// difference. r.mu must be held.
func (r *Roster) mayBeReplaced(now time.Duration, upstream *upstreamState) bool {
	_, replaced := r.replacedFor(now, upstream)
	return replaced && upstream.Version != ""
}

// RecordRefused records that the upstream has refused a connection, so the listed process has
// ended. It returns the process, and whether this is new.
func (a *Attempt) RecordRefused(now time.Duration) (Process, bool) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream == nil {
		return Process{}, false
	}
	return a.upstream.process(), a.roster.refuse(now, a.upstream)
}

// RecordRefused records that the listed process of an upstream has refused a connection to an
// address.
func (r *Roster) RecordRefused(now time.Duration, id types.UpstreamID, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listed, ok := r.upstreams[id]; ok && listed.Address == address {
		r.refuse(now, listed)
	}
}

// MergeEnded records that processes have ended according to a peer. It returns those of which this
// is new.
func (r *Roster) MergeEnded(now time.Duration, processes []Process) []Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Process
	for _, process := range processes {
		if listed, ok := r.upstreams[process.Upstream]; ok && listed.process() == process && r.refuse(now, listed) {
			news = append(news, process)
		}
	}
	return news
}

// MayBeReplaced reports whether another process, of another version, may have taken over the ID of
// a listed upstream.
func (r *Roster) MayBeReplaced(now time.Duration, upstream Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed, ok := r.upstreams[upstream.ID]
	return ok && r.mayBeReplaced(now, listed)
}

// CheckReplaced notes whether the attempt, which has just connected, may run at a process of another
// version than Version returns.
func (a *Attempt) CheckReplaced(now time.Duration) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream != nil && a.roster.mayBeReplaced(now, a.upstream) {
		a.replaced = true
	}
}

// MayBeReplaced reports whether the attempt may run at a process of another version than
// Version returns.
func (a *Attempt) MayBeReplaced() bool {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	return a.replaced
}
