package gateway

import (
	"context"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// originSource is how the origin of a resumed stream was found.
type originSource string

const (
	originOwn         originSource = "own"
	originPeer        originSource = "peer"
	originOnlyVersion originSource = "only_version"
	originUnknown     originSource = "unknown"
)

// resumes reports whether the caller already has events of the stream.
func (i *RequestInfo) resumes() bool { return i.LastEvent != "" || i.Resumes != "" }

// findOrigin determines where the stream began that the request resumes, and returns an
// error if that is unknown or the route no longer allows it.
func (q *request) findOrigin(ctx context.Context) error {
	if q.route.Kind != catalog.Stream || !q.call.resumes() {
		return nil
	}
	g := q.gateway
	began, source, conclusive := g.lookupOrigin(ctx, q.call.Resumes)
	if source == originUnknown {
		began, source = q.onlyOrigin(conclusive)
	}
	g.options.Metrics.countOrigin(source)
	g.options.Logger.Info().Str("request", string(q.call.ID)).Str("resumes", string(q.call.Resumes)).Str("last_event", q.call.LastEvent).
		Str("source", string(source)).Str("target", string(began.Target)).Str("version", string(began.Version)).
		Bool("conclusive", conclusive).Dur("elapsed_ms", q.elapsed()).Msg("stream origin")
	if ctx.Err() != nil {
		return q.contextError()
	}
	if source == originUnknown {
		return q.cannotResume("it is not known which version began the stream")
	}
	if !q.route.Allows(began.Target) {
		return q.cannotResume("the route no longer leads to the service that began the stream")
	}
	q.began = &began
	return q.setTarget(began.Target)
}

// lookupOrigin looks up the stream that a request began, first in this instance and then
// at its peers. Conclusive reports whether a stream that is not found is unknown to the
// fleet.
func (g *Gateway) lookupOrigin(ctx context.Context, beginner types.RequestID) (found origin.Origin, source originSource, conclusive bool) {
	if beginner == "" {
		return origin.Origin{}, originUnknown, false
	}
	key := origin.KeyOf(beginner)
	if found, ok := g.FindStream(key); ok {
		return found, originOwn, true
	}
	found, ok, conclusive := g.options.Fleet.FindStream(ctx, key)
	if !ok {
		return origin.Origin{}, originUnknown, conclusive
	}
	g.recordOrigin(origin.Stream{Key: key, Origin: found})
	return found, originPeer, true
}

// onlyOrigin returns the origin of a stream of unknown beginning if the service has only
// one version. If the caller names the beginning, a record of it has been lost, and the
// stream may have begun at a version that is gone: this instance must then know all
// versions of the time, and the peers must have been asked.
func (q *request) onlyOrigin(conclusive bool) (origin.Origin, originSource) {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	version, complete, ok := g.origins.OnlyVersion(g.options.Clock(), q.target)
	if !ok || q.call.Resumes != "" && !(complete && conclusive) {
		return origin.Origin{}, originUnknown
	}
	return origin.Origin{Target: q.target, Version: version}, originOnlyVersion
}

// recordBeginning records where the stream began when its first event arrives.
func (a *attempt) recordBeginning() {
	q := a.request
	if q.streaming || !q.route.Resumable {
		return
	}
	q.streaming = true
	if q.began != nil {
		return
	}
	version, ok := a.rosterAttempt.Version()
	if !ok {
		return
	}
	q.began = &origin.Origin{Target: q.target, Version: version}
	stream := origin.Stream{Key: origin.KeyOf(q.call.ID), Origin: *q.began}
	q.gateway.recordOrigin(stream)
	q.gateway.options.Fleet.ReportStream(stream)
}

// selection returns the upstreams that may run the request, or an error if the stream
// has begun at a version that is not known.
func (q *request) selection() (roster.Selection, error) {
	selection := roster.Selection{Target: q.target, Except: q.tried}
	if q.began != nil {
		selection.Version = &q.began.Version
	} else if q.streaming {
		return selection, q.cannotResume("the version that began the stream is not known")
	}
	return selection, nil
}

// cannotResume returns the error of a stream that no upstream may continue.
func (q *request) cannotResume(message string) error {
	if q.progress.runs > 0 {
		return fault.New(fault.UpstreamFailed, message).WithRunState(q.progress.runState())
	}
	return fault.New(fault.CannotResume, message).WithRetryAfter(jitteredRetryAfter())
}

func (g *Gateway) recordOrigin(stream origin.Stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Record(g.options.Clock(), stream)
}

// FindStream returns the origin of a stream if this instance knows it.
func (g *Gateway) FindStream(key origin.Key) (origin.Origin, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.origins.Lookup(key)
}

// MergeStreams adds the origins of streams that a peer reports, and what it knows of the
// upstreams' versions.
func (g *Gateway) MergeStreams(batches []origin.Batch, versions *origin.History) {
	if len(batches) == 0 && versions == nil {
		return
	}
	now := g.options.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, batch := range batches {
		for _, stream := range batch.Streams() {
			g.origins.Record(now, stream)
		}
	}
	if versions != nil {
		g.origins.Merge(now, *versions)
	}
}

// Versions returns what this instance knows of the upstreams' versions.
func (g *Gateway) Versions() origin.History {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.origins.History(g.options.Clock())
}

// UpdateUpstreams replaces the published list of upstreams.
func (g *Gateway) UpdateUpstreams(list []roster.Upstream) {
	listed := make([]origin.Origin, len(list))
	targets := make(map[types.TargetName]bool)
	for i, upstream := range list {
		listed[i] = origin.Origin{Target: upstream.Target, Version: upstream.Version}
		targets[upstream.Target] = true
	}
	g.transit.Retain(func(target types.TargetName) bool { return targets[target] })
	g.mu.Lock()
	g.origins.Observe(g.options.Clock(), listed)
	g.mu.Unlock()
	g.options.Roster.Update(list)
	g.options.Metrics.setLimitsInForce(g.permits.retainListed(g.options.Clock(), list))
}
