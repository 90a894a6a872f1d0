package model

// preemptForMemory preempts the last sequences of the batch until there is memory
// for the next token of each remaining one. It always keeps one sequence.
func (e *Engine) preemptForMemory() {
	for len(e.running) > 1 && e.unshared+e.prefixes.inUse+len(e.running) > e.settings.KVTokens {
		e.preempt(e.running[len(e.running)-1])
	}
	e.prefixes.evict(e.settings.KVTokens - e.unshared - e.prefixes.inUse - len(e.running))
}

// admitWaiting moves waiting sequences into the batch in queue order until the
// next one does not fit.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.makeRoom(next) {
			return
		}
		e.admit(next)
	}
}

// makeRoom reports whether the sequence fits into the batch. If that is enough to
// make it fit, makeRoom preempts running sequences of lower priority (higher value).
func (e *Engine) makeRoom(next *sequence) bool {
	keep, kv := len(e.running), e.unshared
	for keep > 0 && !e.fits(next, keep, kv) {
		last := e.running[keep-1]
		if last.request.Priority <= next.request.Priority {
			return false
		}
		keep--
		kv -= last.unsharedKV()
	}
	for len(e.running) > keep {
		e.preempt(e.running[len(e.running)-1])
	}
	return true
}

// fits reports whether the sequence can join the given number of running
// sequences with kv unshared tokens in memory. An empty engine admits any sequence.
func (e *Engine) fits(next *sequence, running, kv int) bool {
	if running == 0 {
		return true
	}
	if running >= e.settings.MaxBatch {
		return false
	}
	return kv+e.prefixes.inUse+e.prefixes.additionalTokens(next.segments)+next.unsharedLength()+running+1 <= e.settings.KVTokens
}

// admit moves the sequence from the queue into the batch.
func (e *Engine) admit(s *sequence) {
	e.waiting = removeSorted(e.waiting, s)
	cached := e.prefixes.acquire(s.segments)
	e.counters.CachedTokens += cached
	s.admit(cached)
	e.unshared += s.unsharedKV()
	e.prefixes.evict(e.settings.KVTokens - e.unshared - e.prefixes.inUse)
	e.running = insertSorted(e.running, s)
}

// preempt moves the sequence from the batch back to the queue and frees its
// memory.
func (e *Engine) preempt(s *sequence) {
	e.counters.Preemptions++
	e.running = removeSorted(e.running, s)
	e.unshared -= s.unsharedKV()
	e.prefixes.release(s.segments)
	s.preempt()
	e.waiting = insertSorted(e.waiting, s)
}
