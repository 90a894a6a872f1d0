package pool

import "github.com/umbercrank/umbercrank/pkg/fault"

// maxCrashes is the number of upstream crashes after which a request is refused
// permanently.
const maxCrashes = 2

// refuseQuarantined refuses a waiting request that was part of too many crashes.
// It reports whether it did.
func (p *Pool) refuseQuarantined(j *job) bool {
	if j.req.Crashes < maxCrashes {
		return false
	}
	p.refuse(j, fault.Quarantined)
	return true
}

// blockedBySuspects reports whether the job is a suspect and every available
// engine already runs another suspect.
func (p *Pool) blockedBySuspects(j *job) bool {
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
