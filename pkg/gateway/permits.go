package gateway

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// permits has what this instance knows of the limits of upstreams.
type permits struct {
	mu     sync.Mutex
	limits *permit.Table
}

func newPermits() *permits { return &permits{limits: permit.NewTable()} }

// observe adds an observation. It returns the limit before, and whether it has changed.
func (p *permits) observe(id types.UpstreamID, o permit.Observation) (before permit.Limit, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Observe(id, o)
}

// observeLimit records the limit that a response names, or that it names none. A response
// that is not from a run of the request may lack a limit that is still in force.
func (a *attempt) observeLimit(info ResponseInfo) {
	g := a.gateway
	if info.InvalidLimit != "" {
		g.options.Metrics.countLimit("invalid")
		g.options.Logger.Warn().Str("request", string(a.call.ID)).Str("upstream", string(a.choice.ID)).Str("limit", info.InvalidLimit).
			Msg("upstream names an invalid limit")
		return
	}
	if info.Limit == nil && (info.NotRun || !info.Sealed) {
		return
	}
	o := permit.Observation{SentAt: a.sentAt, ReceivedAt: g.options.Clock()}
	if info.Limit != nil {
		o.Limit = *info.Limit
		g.options.Metrics.countLimit("responses")
	}
	before, changed := g.permits.observe(a.choice.ID, o)
	if !changed {
		return
	}
	g.options.Logger.Info().Str("upstream", string(a.choice.ID)).Bool("limited", o.Limited).Float64("per_second", o.PerSecond).
		Bool("limited_before", before.Limited).Float64("per_second_before", before.PerSecond).
		Str("source", "response").Str("from", string(a.call.ID)).Msg("upstream limit changed")
}
