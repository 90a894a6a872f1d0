package gateway

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// lifetimeFactor is the lifetime of an origin, as a multiple of the longest time that
	// callers wait for a stream.
	lifetimeFactor = 2
	// maxReplyAge is the longest search for an origin after which the replies still count. It
	// is longer than the time limit of the search; an instance that was suspended meanwhile
	// takes old replies for current ones.
	maxReplyAge = time.Second
)

// originSource is how the origin of a resumed stream was found.
type originSource string

const (
	originOwn         originSource = "own"
	originPeer        originSource = "peer"
	originOnlyVersion originSource = "only_version"
	originUnknown     originSource = "unknown"
)

// unknownReason is why the origin of a stream is unknown.
type unknownReason string

const (
	severalServices   unknownReason = "the route leads to several services, or led to another one before"
	severalVersions   unknownReason = "the service has or had upstreams of several versions, or has none"
	peersSilent       unknownReason = "not all peers that may know it have responded in time, or two origins are recorded"
	historyIncomplete unknownReason = "upstreams of other versions may have left before this instance knew of them"
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
	reason := unknownReason("")
	if source == originUnknown {
		began, reason, conclusive = q.onlyOrigin(ctx, conclusive)
		if reason == "" {
			source = originOnlyVersion
		}
	}
	g.options.Metrics.countOrigin(source)
	g.options.Logger.Info().Str("request", string(q.call.ID)).Str("resumes", string(q.call.Resumes)).Str("last_event", q.call.LastEvent).
		Str("source", string(source)).Str("target", string(began.Target)).Str("version", string(began.Version)).
		Bool("conclusive", conclusive).Str("reason", string(reason)).Dur("elapsed_ms", q.elapsed()).Msg("stream origin")
	if ctx.Err() != nil {
		return q.contextError()
	}
	if source == originUnknown {
		return q.unknownOrigin(reason)
	}
	return q.resumeAt(began)
}

// unknownOrigin returns the error of a request that resumes a stream of unknown origin.
func (q *request) unknownOrigin(reason unknownReason) error {
	return q.cannotResume("it is not known which version began the stream: " + string(reason))
}

// resumeAt makes the request go on where the stream began, or returns an error if the route no
// longer allows that.
func (q *request) resumeAt(began origin.Origin) error {
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
	found, source = g.ownOrigin(beginner)
	if source == "" {
		source = originPeer
		key := origin.KeyOf(beginner)
		asked := g.options.Clock()
		var ok bool
		found, ok, conclusive = g.options.Fleet.FindStream(ctx, key)
		if !ok {
			return origin.Origin{}, originUnknown, conclusive && g.options.Clock()-asked <= maxReplyAge
		}
		g.recordOrigin(origin.Stream{Key: key, Origin: found})
		if found == (origin.Origin{}) {
			source = originUnknown
		}
	}
	return found, source, source != originUnknown
}

// ownOrigin looks up the stream that a request began in this instance. The source is empty if
// only peers may know it.
func (g *Gateway) ownOrigin(beginner types.RequestID) (origin.Origin, originSource) {
	if beginner == "" {
		return origin.Origin{}, originUnknown
	}
	found, ok := g.FindStream(origin.KeyOf(beginner))
	switch {
	case !ok:
		return origin.Origin{}, ""
	case found == (origin.Origin{}):
		// The caller has used the ID for two streams of different origin.
		return found, originUnknown
	}
	return found, originOwn
}

// onlyOrigin returns the origin of a stream of unknown beginning if it can only have begun at
// one version, or else the reason why it is unknown, and whether all peers were asked. The service
// must be the only one that the route has led to, no other version of it may have been in use
// for as long as streams may last, and the peers must have been asked. Upstreams that
// name no version are not distinguished, unless the caller names the beginning.
func (q *request) onlyOrigin(ctx context.Context, conclusive bool) (only origin.Origin, unknown unknownReason, allAsked bool) {
	g := q.gateway
	if only, ok := q.unversionedOrigin(); ok {
		return only, "", false
	}
	needed, unknown := q.needsVersions(conclusive)
	if unknown != "" {
		return origin.Origin{}, unknown, conclusive
	}
	if needed {
		asked := g.options.Clock()
		conclusive = g.options.Fleet.QueryVersions(ctx) && g.options.Clock()-asked <= maxReplyAge
	}
	only, unknown = q.settleOrigin(conclusive)
	return only, unknown, conclusive
}

// needsVersions reports whether the peers must be asked for the versions that they know: not if
// one of them has not responded to the search for the stream, which is then refused anyway.
// Reason is set if the origin is unknown whatever they reply.
func (q *request) needsVersions(conclusive bool) (needed bool, reason unknownReason) {
	_, _, ok := q.gateway.onlyVersion(q.target, q.longestAge())
	if ok && !q.ledOnlyToTarget() {
		return false, severalServices
	}
	return ok && (conclusive || q.call.Resumes == ""), ""
}

// settleOrigin implements onlyOrigin after the peers were asked if they must be.
func (q *request) settleOrigin(conclusive bool) (only origin.Origin, unknown unknownReason) {
	version, complete, ok := q.gateway.onlyVersion(q.target, q.longestAge())
	switch {
	case !ok:
		return origin.Origin{}, severalVersions
	case !conclusive:
		return origin.Origin{}, peersSilent
	case !complete:
		return origin.Origin{}, historyIncomplete
	}
	return origin.Origin{Target: q.target, Version: version}, ""
}

// unversionedOrigin returns the origin of a stream whose caller does not name the beginning, and
// whose upstreams name no version and so are not distinguished.
func (q *request) unversionedOrigin() (origin.Origin, bool) {
	version, _, ok := q.gateway.onlyVersion(q.target, q.longestAge())
	return origin.Origin{Target: q.target}, ok && version == "" && q.call.Resumes == ""
}

// ageMargin is added to the age of a stream of unknown beginning. It covers the time that the
// caller's request was on its way.
const ageMargin = time.Second

// longestAge returns how long ago the resumed stream can have begun. Callers wait for a stream
// no longer than the route's time limit, and name in each attempt what is left of it. The time
// since the request arrived is added: a body may take seconds to arrive, and the history of
// versions grows meanwhile. This bounds only streams whose beginning the caller does not name:
// of the others a record has been lost, and they may be older than what the caller says.
func (q *request) longestAge() time.Duration {
	limit := requestTimeout(q.route, RequestInfo{})
	if q.call.Resumes != "" || q.call.Timeout <= 0 || q.call.Timeout > limit {
		return maxAge
	}
	return limit - q.call.Timeout + q.elapsed() + ageMargin
}

// maxAge is the age of streams of which nothing is known.
const maxAge = time.Duration(math.MaxInt64)

// onlyVersion returns the version of a service if only one was in use, and whether this
// instance knows all versions since a stream of the given age began.
func (g *Gateway) onlyVersion(target types.TargetName, age time.Duration) (version types.SoftwareVersion, complete, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmList()
	return g.origins.OnlyVersion(g.options.Clock(), target, age)
}

// ledOnlyToTarget reports whether a stream that may still be resumed can only have begun at
// the target of the request. A route without a time limit allows callers to wait for longer
// than origins are kept.
func (q *request) ledOnlyToTarget() bool {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	lifetime := g.origins.Lifetime()
	if since := g.streamRoutesSince; since != nil && g.options.Clock()-*since <= min(lifetime, q.longestAge()) {
		return false
	}
	return len(q.route.AllowedTargets()) == 1 && lifetimeFactor*q.timeout <= lifetime
}

// applyStreamRoutes sets the lifetime of the origins, and notes whether the routes lead to
// other services than before.
func (g *Gateway) applyStreamRoutes(routes []*catalog.Route) {
	longest := time.Duration(0)
	var described []string
	for _, route := range routes {
		longest = max(longest, requestTimeout(route, RequestInfo{}))
		described = append(described, fmt.Sprintf("%q %q %q", strings.ToLower(route.Host), route.Prefix, route.AllowedTargets()))
	}
	now := g.options.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.SetLifetime(now, lifetimeFactor*longest)
	if g.catalog.Load() != nil && !slices.Equal(g.streamRoutes, described) {
		g.streamRoutesSince = &now
	}
	g.streamRoutes = described
}

// confirmList records for which time the list was read. g.mu must be held.
func (g *Gateway) confirmList() {
	if g.options.ListCovered == nil {
		return
	}
	if from, to, ok := g.options.ListCovered(); ok {
		g.origins.Confirm(origin.Span{From: from, To: to})
	}
}

// recordBeginning records where the stream began when its first event arrives.
func (a *attempt) recordBeginning() {
	q := a.request
	if q.streaming || !q.route.Resumable {
		return
	}
	q.streaming = true
	if q.began != nil {
		// The stream may last for as long again.
		if q.call.Resumes != "" {
			q.gateway.shareOrigin(origin.Stream{Key: origin.KeyOf(q.call.Resumes), Origin: *q.began})
		}
		return
	}
	version, ok := a.rosterAttempt.Version()
	if !ok || a.rosterAttempt.MayBeReplaced() {
		return
	}
	q.began = &origin.Origin{Target: q.target, Version: version}
	q.gateway.shareOrigin(origin.Stream{Key: origin.KeyOf(q.call.ID), Origin: *q.began})
}

// continuesOrigin reports whether the upstream of the attempt has the version that began the
// stream. The entry of a process that has taken over the ID may have arrived since the request
// was sent.
func (a *attempt) continuesOrigin() bool {
	return a.began == nil || a.rosterAttempt.Serves(a.began.Version)
}

// shareOrigin records the origin of a stream here and at the peers.
func (g *Gateway) shareOrigin(stream origin.Stream) {
	g.recordOrigin(stream)
	g.options.Fleet.ReportStream(stream)
}

// selection returns the upstreams that may run the request, or an error if the stream
// has begun at a version that is not known.
func (q *request) selection() (roster.Selection, error) {
	selection := roster.Selection{Target: q.target, Except: q.tried, DataCentres: q.dataCentres}
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

// Streams returns a page of the origins that this instance knows.
func (g *Gateway) Streams(after *origin.Key, limit int, include func(origin.Key) bool) origin.Page {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.origins.Page(after, limit, include)
}

// AdoptStreams adds the origins that a peer knows.
func (g *Gateway) AdoptStreams(page origin.Page) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Adopt(g.options.Clock(), page)
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
	g.origins.RecordAll(now, batches)
	if versions != nil {
		if impossible := g.origins.Merge(now, *versions); impossible > 0 {
			g.options.Logger.Debug().Int("values", impossible).Msg("a peer reports impossible ages of versions")
		}
	}
}

// RecordVersions records versions that were in use at an unknown time before. They count as in use
// until now.
func (g *Gateway) RecordVersions(versions []origin.Origin) {
	var history origin.History
	for _, version := range versions {
		history.Sightings = append(history.Sightings, origin.Sighting{Origin: version})
	}
	g.MergeStreams(nil, &history)
}

// Versions returns what this instance knows of the upstreams' versions.
func (g *Gateway) Versions() origin.History {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmList()
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
	g.options.Roster.RecordCold(g.options.Clock(), list)
	g.options.Roster.Update(list)
	g.ReportCold()
	g.options.Metrics.setLimitsInForce(g.permits.retainListed(g.options.Clock(), list))
}
