package pool

import "github.com/umbercrank/umbercrank/pkg/fault"

// shed keeps the queue within its bound. Requests held for floors do not count.
// The victim is the last in the order of service of the lowest tier; before it
// is refused, running work of a tier below it is asked to stop, and each place
// that becomes free that way allows one more to wait.
func (p *Pool) shed() {
	for p.sheddable()-p.yielding > p.settings.QueueLimit {
		victim := p.queue.last()
		if victim == nil {
			return
		}
		if !p.preempt(victim) {
			p.refuse(victim, fault.Overloaded)
		}
	}
}

// refuse gives the waiting job its final answer from this pool.
func (p *Pool) refuse(j *job, code fault.Code) {
	retryAfter := p.retryAfter(j)
	p.queue.remove(j)
	p.actions = append(p.actions, Action{Refuse: &Refuse{
		ID: j.req.ID, Entry: j.req.Entry, Code: code, RetryAfter: retryAfter,
	}})
}
