package pool

import "slices"

// allows reports whether an engine of this version may run the job. The rest of a
// stream may run only at the version that began it.
func (j *job) allows(e *engine) bool {
	return j.req.Version == nil || *j.req.Version == e.config.Version
}

// allowed reports whether an engine of this version may run the job, whatever its state.
func allowed(e *engine, j *job) bool { return j.allows(e) }

// versionGone reports whether no engine of the version that began the job's stream is
// listed any more, so that waiting for one is pointless.
func (p *Pool) versionGone(j *job) bool {
	return j.req.Version != nil && !slices.ContainsFunc(p.engines, func(e *engine) bool { return !e.removed && !e.leaving && j.allows(e) })
}
