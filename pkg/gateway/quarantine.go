package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/transit"
)

const (
	// quarantineRetryAfter is the retry delay for a request that crashes upstreams.
	// It is much longer than an upstream takes to restart.
	quarantineRetryAfter = time.Minute
	// minPartRetryAfter is the shortest retry delay for a request with a part that
	// crashes upstreams.
	minPartRetryAfter = time.Second
	// maxQuarantineEntries is the maximum number of entries that QuarantineEntries
	// returns, because one message carries them.
	maxQuarantineEntries = 32
)

// quarantineSettings returns the settings of an instance.
func quarantineSettings(options Options) quarantine.Settings {
	settings := quarantine.DefaultSettings()
	settings.TrialJitter = quarantine.TrialJitter(options.Instance)
	settings.MayTry = func(part quarantine.Fingerprint) bool {
		return options.Fleet.AmongFirst(part.String(), quarantine.TrialInstances)
	}
	return settings
}

// QuarantineEntries returns the known requests and parts of prompts that crashed
// upstreams.
func (g *Gateway) QuarantineEntries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.List(g.options.Clock(), maxQuarantineEntries)
}

// MergeQuarantineEntries adds the quarantine entries of a peer.
func (g *Gateway) MergeQuarantineEntries(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	now := g.options.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, entry := range g.quarantine.Merge(now, entries) {
		switch {
		case entry.Fingerprint.IsPart():
			g.logPart(entry, "", "peer")
		case entry.Condemned:
			g.options.Logger.Info().Hex("fingerprint", entry.Fingerprint[:]).Int("strikes", len(entry.Crashes)).Msg("request condemned by a peer")
		}
	}
}

// ReportCorrections tells the peers of parts of prompts on which their reports differ from
// what is known here. It must be called regularly.
func (g *Gateway) ReportCorrections() {
	g.mu.Lock()
	corrections := g.quarantine.Corrections(g.options.Clock())
	suspected, convicted := g.quarantine.PartCounts()
	g.mu.Unlock()
	g.options.Metrics.setParts(suspected, convicted)
	if len(corrections) > 0 {
		g.options.Fleet.ReportCrashes(corrections)
	}
}

// logPart logs a change of what is known of a part of prompts. ID is empty if only its
// fingerprint is known.
func (g *Gateway) logPart(entry quarantine.Entry, id, source string) {
	outcome := "suspected"
	switch {
	case entry.Condemned:
		outcome = "condemned"
	case len(entry.Crashes) == 0:
		outcome = "cleared"
	}
	event := g.options.Logger.Info().Hex("fingerprint", entry.Fingerprint[:]).Strs("upstreams", crashedUpstreams(entry.Crashes)).Str("source", source)
	if id != "" {
		event = event.Str("part", id)
	}
	event.Str("outcome", outcome).Msg("prompt part")
}

// crashedUpstreams returns the IDs of the upstreams that crashed.
func crashedUpstreams(crashes []quarantine.CrashReport) []string {
	upstreams := make([]string, len(crashes))
	for i, report := range crashes {
		upstreams[i] = string(report.Upstream)
	}
	return upstreams
}

// checkQuarantine refuses a request that is known to crash upstreams.
func (q *request) checkQuarantine() error {
	g := q.gateway
	q.fingerprint = quarantine.FingerprintOf(q.account.ID, q.incoming.Method, q.incoming.RequestURI, q.body)
	for _, id := range q.call.sharedParts() {
		q.parts = append(q.parts, quarantine.FingerprintOfPart(id))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if verdict := g.quarantine.Lookup(g.options.Clock(), q.fingerprint); verdict.Condemned {
		return fault.New(fault.Quarantined, "upstreams crashed while they ran this request; it is quarantined").WithRunState(q.progress.runState()).WithRetryAfter(quarantineRetryAfter)
	}
	return nil
}

// checkParts refuses a request with a part that crashes upstreams, before an upstream is
// chosen.
func (q *request) checkParts() error {
	return q.refusePart(q.gateway.quarantine.PeekPart)
}

// checkPartsBeforeSending does the same right before an attempt. The attempt may be one that
// finds out whether the part still crashes upstreams.
func (q *request) checkPartsBeforeSending() error {
	return q.refusePart(q.gateway.quarantine.RefusedPart)
}

func (q *request) refusePart(judge func(time.Duration, []quarantine.Fingerprint) (quarantine.PartVerdict, bool)) error {
	g := q.gateway
	verdict, failure := q.judgeParts(judge)
	if failure == nil {
		return nil
	}
	g.options.Metrics.countPartRefusal()
	g.options.Logger.Info().Str("request", string(q.call.ID)).Str("part", q.call.partID(verdict.Part)).Hex("fingerprint", verdict.Part[:]).
		Strs("upstreams", crashedUpstreams(verdict.Crashes)).Int("rounds", verdict.Rounds).Dur("condemned_for_ms", verdict.ConvictedFor).Bool("on_trial", verdict.OnTrial).
		Dur("return_ms", max(verdict.TrialIn, minPartRetryAfter)).Msg("refused for a part of its prompt")
	return failure
}

// judgeParts returns the verdict on the parts of the prompt and the error of a request that is
// refused, or nil. It neither counts nor logs.
func (q *request) judgeParts(judge func(time.Duration, []quarantine.Fingerprint) (quarantine.PartVerdict, bool)) (quarantine.PartVerdict, error) {
	g := q.gateway
	g.mu.Lock()
	verdict, refused := judge(g.options.Clock(), q.parts)
	g.mu.Unlock()
	if !refused {
		return verdict, nil
	}
	failure := fault.New(fault.Quarantined, "upstreams crashed while they ran requests with a part of this prompt; requests with it are quarantined").WithRunState(q.progress.runState())
	if q.progress.runs > 0 {
		return verdict, failure
	}
	return verdict, failure.WithRetryAfter(max(verdict.TrialIn, minPartRetryAfter))
}

// clearQuarantine removes the request from the quarantine, because an upstream completed
// it. After a successful response the parts of its prompt count as sound too.
func (a *attempt) clearQuarantine(successful bool) {
	q := a.request
	g := q.gateway
	g.mu.Lock()
	g.quarantine.RecordCompletion(q.fingerprint)
	var cleared []quarantine.Entry
	if successful && a.responded {
		cleared = g.quarantine.RecordPartsSound(g.options.Clock(), a.respondedAt, q.parts)
	}
	g.mu.Unlock()
	for _, entry := range cleared {
		g.logPart(entry, q.call.partID(entry.Fingerprint), string(q.call.ID))
	}
	if len(cleared) > 0 {
		g.options.Fleet.ReportCrashes(cleared)
	}
}

// reportCrash records, in the background, that an upstream crashed while it ran the
// request. It counts as a crash only if the upstream is down now; a lost response alone
// does not.
func (a *attempt) reportCrash(cause error) {
	q := a.request
	if q.incoming.Context().Err() != nil || q.remaining() <= 0 || a.handedOver || isLocalClose(cause) {
		return
	}
	report := make(chan struct{})
	q.crashReport = report
	now := q.gateway.options.Clock()
	suspect := crashSuspect{call: q.call, fingerprint: q.fingerprint, took: q.elapsed()}
	if !a.responded || now-a.respondedAt < quarantine.BeginningTime {
		suspect.parts = q.parts
	}
	go func() {
		defer close(report)
		q.gateway.recordCrash(suspect, a)
	}()
}

// awaitCrashReport waits until it is known whether the last failure was a crash, so that
// it counts before the request is sent again.
func (q *request) awaitCrashReport(ctx context.Context) {
	if q.crashReport == nil {
		return
	}
	select {
	case <-q.crashReport:
	case <-ctx.Done():
	}
}

// isLocalClose reports whether this instance itself ended the exchange.
func isLocalClose(cause error) bool {
	return errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, net.ErrClosed)
}

// crashSuspect is a request that an upstream ran when it failed.
type crashSuspect struct {
	call        RequestInfo
	fingerprint quarantine.Fingerprint
	// parts are those of the prompt that may have caused the crash.
	parts []quarantine.Fingerprint
	// took is the age of the request.
	took time.Duration
}

// probe reports whether the upstream of an attempt is down, with the error of the connection. A timeout
// while this instance is late does not tell.
func (g *Gateway) probe(a *attempt) (down bool, failure error) {
	failure = g.transit.Probe(a.to, a.call.ID, quarantine.ProbeTimeout)
	if errors.Is(failure, transit.ErrLate) {
		g.options.Logger.Info().Str("request", string(a.call.ID)).Str("upstream", string(a.choice.ID)).AnErr("probe", failure).
			Dur("late_ms", g.options.Meter.Late()).Msg("not counted as a crash: this instance is late")
		return false, failure
	}
	return failure != nil, failure
}

// recordCrash counts a crash against the request if the upstream does not accept
// connections, neither of this instance nor of a peer, and against the parts of its prompt if
// nothing listens at its address any more. An upstream that cannot be reached may only be
// cut off.
func (g *Gateway) recordCrash(suspect crashSuspect, a *attempt) {
	down, err := g.probe(a)
	if !down {
		return
	}
	upstream := a.choice.ID
	now := g.options.Clock()
	var reports, parts []quarantine.Entry
	g.mu.Lock()
	before := g.quarantine.Lookup(now, suspect.fingerprint)
	verdict := g.quarantine.RecordCrash(now, suspect.fingerprint, quarantine.CrashedAttempt{Upstream: upstream, Duration: suspect.took, OnlySuspect: true})
	if errors.Is(err, syscall.ECONNREFUSED) {
		if process, isNew := a.rosterAttempt.RecordRefused(now); isNew && g.endsMatter(process, a.to.Target) {
			defer g.reportEnded(process)
		}
		parts = g.quarantine.RecordPartCrash(now, suspect.parts, upstream, now-a.sentAt)
	}
	g.mu.Unlock()
	g.options.Logger.Warn().Str("request", string(suspect.call.ID)).Str("upstream", string(upstream)).Hex("fingerprint", suspect.fingerprint[:]).
		Strs("parts", suspect.call.sharedParts()).Bool("beginning", len(suspect.parts) > 0).Dur("took_ms", suspect.took).AnErr("probe", err).
		Int("crashes", verdict.Crashes).Bool("condemned", verdict.Condemned).Msg("upstream crashed while it ran the request")
	if verdict.Crashes > before.Crashes {
		reports = append(reports, quarantine.Entry{
			Fingerprint: suspect.fingerprint,
			Crashes:     []quarantine.CrashReport{{Upstream: upstream}},
			Condemned:   verdict.Condemned,
		})
	}
	for _, entry := range parts {
		if entry.Condemned {
			g.logPart(entry, suspect.call.partID(entry.Fingerprint), string(suspect.call.ID))
		}
	}
	if reports = append(reports, parts...); len(reports) > 0 {
		g.options.Fleet.ReportCrashes(reports)
	}
}
