package model

// fitMemory puts back the last sequences of the batch until the next token of
// each remaining one has a place. One sequence always stays.
func (e *Engine) fitMemory() {
	for len(e.running) > 1 && e.private+e.parts.used+len(e.running) > e.settings.KVTokens {
		e.putBack(e.running[len(e.running)-1])
	}
	e.parts.shrink(e.settings.KVTokens - e.private - e.parts.used - len(e.running))
}

// admit moves waiting sequences into the batch in order of rank. A sequence of
// a sooner priority takes the place of later ones.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.makeRoom(next) {
			return
		}
		e.start(next)
	}
}

// makeRoom reports whether the sequence fits, after putting back sequences of a
// later priority if that makes it fit.
func (e *Engine) makeRoom(next *sequence) bool {
	keep, kv := len(e.running), e.private
	for keep > 0 && !e.fits(next, keep, kv) {
		last := e.running[keep-1]
		if last.request.Priority <= next.request.Priority {
			return false
		}
		keep--
		kv -= last.kv()
	}
	for len(e.running) > keep {
		e.putBack(e.running[len(e.running)-1])
	}
	return true
}

// fits reports whether the sequence has a place beside running sequences that
// hold kv tokens of their own. An empty engine takes any sequence.
func (e *Engine) fits(next *sequence, running, kv int) bool {
	if running == 0 {
		return true
	}
	if running >= e.settings.MaxBatch {
		return false
	}
	return kv+e.parts.used+e.parts.missing(next.parts)+next.own()+running+1 <= e.settings.KVTokens
}

// start moves the sequence from the queue into the batch.
func (e *Engine) start(s *sequence) {
	e.waiting = removeByRank(e.waiting, s)
	cached := e.parts.take(s.parts)
	e.counters.CachedTokens += cached
	s.admit(cached)
	e.private += s.kv()
	e.parts.shrink(e.settings.KVTokens - e.private - e.parts.used)
	e.running = insertByRank(e.running, s)
}

// putBack moves the sequence from the batch to the queue.
func (e *Engine) putBack(s *sequence) {
	e.counters.Preemptions++
	e.running = removeByRank(e.running, s)
	e.private -= s.kv()
	e.parts.release(s.parts)
	s.putBack()
	e.waiting = insertByRank(e.waiting, s)
}
