package pool

import "github.com/umbercrank/umbercrank/pkg/fault"

// maxSuspicions is the number of upstream crashes after which a request is
// refused for good.
const maxSuspicions = 2

// quarantine refuses a waiting request that was part of too many crashes, and
// reports whether it did.
func (p *Pool) quarantine(j *job) bool {
	if j.req.Crashes < maxSuspicions {
		return false
	}
	p.refuse(j, fault.Quarantined)
	return true
}

// waitsAlone reports whether the job is a suspect that waits only because every
// engine with a place runs another suspect.
func (p *Pool) waitsAlone(j *job) bool {
	if j.req.Crashes == 0 {
		return false
	}
	for _, e := range p.engines {
		if e.available(p.now) && e.suspects == 0 {
			return false
		}
	}
	return true
}
