package entry

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

const (
	// maxPromptParts is the maximum number of messages of a prompt that the quarantine
	// distinguishes.
	maxPromptParts = 32
)

// promptParts returns the fingerprints of the first messages of the prompt, without its
// last one.
func promptParts(chat *upstream.ChatRequest) []quarantine.Fingerprint {
	messages := chat.SharedMessages()
	messages = messages[:min(len(messages), maxPromptParts)]
	parts := make([]quarantine.Fingerprint, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, quarantine.FingerprintOfMessage(message))
	}
	return parts
}

// refusePart returns the failure if a part of the prompt is convicted. It is called once
// for each attempt, right before the attempt is sent.
func (e *Entry) refusePart(req *request) error {
	verdict, refused := e.quarantine.RefusedPart(req.parts)
	if !refused {
		return nil
	}
	return e.partFailure(req, verdict)
}

// partFailure records a refusal because of a part and returns the failure for the caller.
func (e *Entry) partFailure(req *request, verdict quarantine.PartVerdict) *fault.Error {
	partCounts.Add("refused", 1)
	event := req.event(timeline.Quarantined)
	event.Code = string(fault.Quarantined)
	event.Detail = describePart(verdict)
	e.options.Recorder.Record(event)
	e.options.Logger.Info().Str("request", string(req.id)).Hex("part", verdict.Part[:]).Int("rounds", verdict.Rounds).
		Interface("crashes", verdict.Crashes).Dur("convicted_for", verdict.ConvictedFor).Bool("on_trial", verdict.OnTrial).
		Dur("trial_in", verdict.TrialIn).Msg("request refused because of a part of its prompt")
	failure := fault.New(fault.Quarantined, "upstreams crashed while they ran requests with a message of this prompt; it is quarantined")
	if !req.sent {
		failure = failure.WithRunState(types.NotRun)
	}
	return failure.WithRetryAfter(max(verdict.TrialIn, e.settings.DefaultRetryAfter))
}

// describePart returns the part and the crashes it is convicted of.
func describePart(verdict quarantine.PartVerdict) string {
	crashes := make([]string, 0, len(verdict.Crashes))
	for _, crash := range verdict.Crashes {
		age := time.Duration(crash.AgeMilliseconds) * time.Millisecond
		crashes = append(crashes, fmt.Sprintf("%s %v ago", crash.Upstream, age))
	}
	return fmt.Sprintf("part %x: %s", verdict.Part[:], strings.Join(crashes, ", "))
}

// judgeParts reports the result of an attempt as evidence for or against the parts of its
// prompt.
func (e *Entry) judgeParts(req *request, to config.Upstream, stats attemptStats, result attemptResult, started time.Time) {
	switch {
	case len(req.parts) == 0:
	case result.reason == pool.FinishComplete && stats.tokens > 0:
		e.quarantine.RecordPartsSound(req.parts, time.Since(stats.began(started)))
	case result.reason == pool.FinishCrashed && e.options.Probe != nil && stats.mayHaveCrashed(time.Now()):
		go e.recordPartCrash(req.id, req.parts, to, started)
	}
}

// began returns when the answer began, or its attempt if there is no time of a first token.
func (s attemptStats) began(started time.Time) time.Time {
	if s.firstTokenAt.IsZero() {
		return started
	}
	return s.firstTokenAt
}

// mayHaveCrashed reports whether the upstream had only begun to answer.
func (s attemptStats) mayHaveCrashed(now time.Time) bool {
	return s.firstTokenAt.IsZero() || now.Sub(s.firstTokenAt) < quarantine.BeginningTime
}

// recordPartCrash counts a crash against the parts if the upstream refuses connections.
func (e *Entry) recordPartCrash(id types.RequestID, parts []quarantine.Fingerprint, to config.Upstream, started time.Time) {
	down := e.isDown(to)
	e.options.Logger.Info().Str("request", string(id)).Str("upstream", string(to.ID)).Bool("down", down).
		Int("parts", len(parts)).Msg("upstream broke off an answer that it had just begun")
	if !down {
		partCounts.Add("lost", 1)
		return
	}
	partCounts.Add("crashes", 1)
	e.quarantine.RecordPartCrash(parts, to.ID, time.Since(started))
}

// isDown reports whether the upstream refuses connections.
func (e *Entry) isDown(to config.Upstream) bool {
	address, err := to.Address()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantine.ProbeTimeout)
	defer cancel()
	return errors.Is(e.options.Probe(ctx, address), syscall.ECONNREFUSED)
}
