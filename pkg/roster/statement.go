package roster

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxUnlistedStatements bounds the statements that are kept of upstreams that are not listed:
// an entry may lapse while the store is unavailable and return later.
const maxUnlistedStatements = 1024

// Process identifies one process of an upstream. Another process may take over its ID.
type Process struct {
	Upstream         types.UpstreamID      `json:"upstream"`
	StartedUnixMilli int64                 `json:"started_unix_ms"`
	Address          string                `json:"address"`
	Version          types.SoftwareVersion `json:"version"`
}

// statement is what a process of an upstream has said of itself in its responses. It is more
// recent than the published list, and holds whatever the list says.
type statement struct {
	process Process
	// leaving reports whether the process accepts no new requests from any instance.
	leaving bool
	// pausedUntil is the end of the longest pause that it has asked this instance for.
	pausedUntil time.Duration
}

// statementOf returns what the listed process of an upstream has said. r.mu must be held.
func (r *Roster) statementOf(upstream *upstreamState) statement {
	if held, ok := r.statements[upstream.ID]; ok && held.process == upstream.process() {
		return held
	}
	return statement{}
}

// accepts reports whether the upstream accepts new requests, apart from pauses. r.mu must be
// held.
func (r *Roster) accepts(upstream *upstreamState) bool {
	return upstream.Ready && !r.statementOf(upstream).leaving
}

// pauseOf returns the remaining pause of the upstream. r.mu must be held.
func (r *Roster) pauseOf(now time.Duration, upstream *upstreamState) time.Duration {
	return max(r.statementOf(upstream).pausedUntil-now, 0)
}

// state changes the statement of a process, unless another process is listed in its place.
// r.mu must be held.
func (r *Roster) state(process Process, change func(*statement)) bool {
	if listed, ok := r.upstreams[process.Upstream]; ok && listed.process() != process {
		return false
	}
	held := r.statements[process.Upstream]
	if held.process != process {
		held = statement{process: process}
	}
	before := held
	change(&held)
	if held == before {
		return false
	}
	r.statements[process.Upstream] = held
	return true
}

// leave records that a process leaves, and reports whether that is new. r.mu must be held.
func (r *Roster) leave(process Process) bool {
	return r.state(process, func(s *statement) { s.leaving = true })
}

// dropStatements drops those of processes that another one has replaced, and if there are too
// many, those of upstreams that are not listed. r.mu must be held.
func (r *Roster) dropStatements() {
	unlisted := 0
	for id, held := range r.statements {
		listed, ok := r.upstreams[id]
		if ok && listed.process() != held.process {
			delete(r.statements, id)
		}
		if !ok {
			unlisted++
		}
	}
	if unlisted <= maxUnlistedStatements {
		return
	}
	for id := range r.statements {
		if _, ok := r.upstreams[id]; !ok {
			delete(r.statements, id)
		}
	}
}

// Pause records that the listed process of an upstream wants no requests from this instance
// for a time.
func (r *Roster) Pause(now time.Duration, id types.UpstreamID, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upstream, ok := r.upstreams[id]; ok {
		r.state(upstream.process(), func(s *statement) { s.pausedUntil = max(s.pausedUntil, now+pause) })
	}
}

// Paused returns the selected upstreams that have asked for a pause, with the remaining time.
func (r *Roster) Paused(now time.Duration, selection Selection) map[types.UpstreamID]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	paused := make(map[types.UpstreamID]time.Duration)
	for id, upstream := range r.upstreams {
		if remaining := r.pauseOf(now, upstream); remaining > 0 && r.includes(now, selection, upstream) && r.mayGetRequests(upstream) {
			paused[id] = remaining
		}
	}
	return paused
}

// MergeLeaving records that processes leave according to a peer. It returns those of which
// this is new.
func (r *Roster) MergeLeaving(processes []Process) []Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Process
	for _, process := range processes {
		if process.Upstream != "" && r.leave(process) {
			news = append(news, process)
		}
	}
	return news
}

// Leaving returns the processes that have said that they leave.
func (r *Roster) Leaving() []Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var leaving []Process
	for _, held := range r.statements {
		if held.leaving {
			leaving = append(leaving, held.process)
		}
	}
	return leaving
}
