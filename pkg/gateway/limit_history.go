package gateway

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
)

// limitChangeDelay is how much later than this instance a caller may learn of new limits.
const limitChangeDelay = 5 * time.Second

// limitHistory holds the time limits in force and earlier ones that open connections keep.
// A caller may reuse an idle connection, or take its time to send a header, as the limits
// allowed when the phase began; a longer limit applies immediately. It is not safe for
// concurrent use.
type limitHistory struct {
	current  timeLimits
	replaced []replacedLimits
}

// timeLimits has the time limit of each phase that has one.
type timeLimits map[phase]time.Duration

// replacedLimits are limits that are no longer in force, and the time of their replacement.
type replacedLimits struct {
	timeLimits
	at time.Duration
}

// update puts limits into force. Replaced ones are dropped when they have ended for all
// connections that keep them.
func (h *limitHistory) update(now time.Duration, limits catalog.Limits) {
	next := timeLimits{phaseIdle: limits.IdleTimeout, phaseHeader: limits.HeaderTimeout}
	if h.current[phaseIdle] > next[phaseIdle] || h.current[phaseHeader] > next[phaseHeader] {
		h.replaced = append(h.replaced, replacedLimits{h.current, now})
	}
	h.current = next
	h.replaced = slices.DeleteFunc(h.replaced, func(r replacedLimits) bool {
		return now-r.at > limitChangeDelay+max(r.timeLimits[phaseIdle], r.timeLimits[phaseHeader])
	})
}

// of returns the limit of a phase that began at a time: the longest of those in force
// since then, or shortly before.
func (h *limitHistory) of(in phase, since time.Duration) time.Duration {
	limit := h.current[in]
	for _, r := range h.replaced {
		if since < r.at+limitChangeDelay {
			limit = max(limit, r.timeLimits[in])
		}
	}
	return limit
}
