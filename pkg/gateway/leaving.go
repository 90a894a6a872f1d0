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

// reportRefused records that the upstream has refused a connection, so its process has ended, and
// reports that to the peers unless one of them can connect: a lost path may refuse connections too.
func (a *attempt) reportRefused() {
	g := a.gateway
	process, isNew := a.rosterAttempt.RecordRefused(g.options.Clock())
	if !isNew || !g.endsMatter(process, a.to.Target) {
		return
	}
	go func() {
		if down, _ := g.probe(a); down {
			g.reportEnded(process)
		}
	}()
}

// endsMatter reports whether it makes a difference that another process may take over the ID of an
// upstream: it may have another version, or be cold.
func (g *Gateway) endsMatter(process roster.Process, target types.TargetName) bool {
	return process.Version != "" || g.coldLimitOf(target).Limited
}

// reportEnded reports to the peers that a process of an upstream has ended.
func (g *Gateway) reportEnded(process roster.Process) {
	g.logEnded(process, "connection", string(g.options.Instance))
	g.options.Fleet.ReportEnded(process)
}

// MergeEnded adds the processes that have ended according to a peer, and returns those of which
// this is new.
func (g *Gateway) MergeEnded(from types.InstanceID, processes []roster.Process) []roster.Process {
	news := g.options.Roster.MergeEnded(g.options.Clock(), processes)
	for _, process := range news {
		g.logEnded(process, "peer", string(from))
	}
	return news
}

// logEnded logs that a process has ended, with the source: a refused connection, or the peer that
// reported it.
func (g *Gateway) logEnded(process roster.Process, source, from string) {
	g.options.Logger.Info().Str("upstream", string(process.Upstream)).Int64("started_unix_ms", process.StartedUnixMilli).Str("address", process.Address).
		Str("version", string(process.Version)).Str("source", source).Str("from", from).Msg("process of an upstream has ended")
}

// logLeaving logs that an upstream leaves by its own word, with the source: the request whose
// response said so, or the peer that reported it.
func (g *Gateway) logLeaving(process roster.Process, source, from string) {
	g.options.Logger.Info().Str("upstream", string(process.Upstream)).Int64("started_unix_ms", process.StartedUnixMilli).Str("address", process.Address).
		Str("version", string(process.Version)).Str("source", source).Str("from", from).Msg("upstream says that it leaves")
}
