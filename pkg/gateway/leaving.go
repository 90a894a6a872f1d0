package gateway

import (
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// observeLeaving records that the upstream of an attempt says that it leaves: it gets no new
// requests from now on, whatever the published list says. What runs there goes on.
func (a *attempt) observeLeaving(info ResponseInfo) {
	g := a.gateway
	if info.InvalidLeaving != "" {
		g.options.Metrics.countLeaving("invalid")
		g.options.Logger.Warn().Str("request", string(a.call.ID)).Str("upstream", string(a.choice.ID)).Str("leaving", info.InvalidLeaving).
			Msg("upstream says in an invalid way that it leaves")
		return
	}
	if !info.Leaving {
		return
	}
	process, isNew := a.rosterAttempt.Leave()
	if !isNew {
		return
	}
	g.options.Metrics.countLeaving("from_responses")
	g.logLeaving(process, "response", string(a.call.ID))
	g.options.Fleet.ReportLeaving(process)
}

// MergeLeaving adds the processes that leave according to a peer, and returns those of which
// this is new.
func (g *Gateway) MergeLeaving(from types.InstanceID, processes []roster.Process) []roster.Process {
	news := g.options.Roster.MergeLeaving(processes)
	for _, process := range news {
		g.options.Metrics.countLeaving("from_peers")
		g.logLeaving(process, "peer", string(from))
	}
	return news
}

// logLeaving logs that an upstream leaves by its own word, with the source: the request whose
// response said so, or the peer that reported it.
func (g *Gateway) logLeaving(process roster.Process, source, from string) {
	g.options.Logger.Info().Str("upstream", string(process.Upstream)).Int64("started_unix_ms", process.StartedUnixMilli).Str("address", process.Address).
		Str("version", string(process.Version)).Str("source", source).Str("from", from).Msg("upstream says that it leaves")
}
