package pool

import "github.com/umbercrank/umbercrank/pkg/fault"

// shed keeps the queue within QueueLimit. Requests protected by floors do not
// count. The victim is the last job in the order of service of the lowest tier.
// Before it is refused, shed tries to preempt a running job of a tier below it;
// each slot being freed this way allows one more request to wait.
func (p *Pool) shed() {
	for p.sheddable()-p.preempting > p.settings.QueueLimit {
		victim := p.queue.last()
		if victim == nil {
			return
		}
		// An engine that serves nothing new has victims too: a request is not shed while
		// a lower tier runs.
		if !p.preempt(victim, allowed) {
			p.refuse(victim, fault.Overloaded)
		}
	}
}

// refuse removes the waiting job from the queue and refuses it with the code.
func (p *Pool) refuse(j *job, code fault.Code) {
	retryAfter := p.retryAfter(j)
	p.queue.remove(j)
	p.actions = append(p.actions, Action{Refuse: &Refuse{
		ID: j.req.ID, Entry: j.req.Entry, Code: code, RetryAfter: retryAfter,
	}})
}
