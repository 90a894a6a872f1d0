package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// source identifies where a manifest or part is read from. An empty address
// means the configuration service.
type source struct {
	instance types.InstanceID
	address  string
}

// serviceSource is the configuration service.
var serviceSource = source{}

// String returns the text for the time line.
func (s source) String() string {
	if s == serviceSource {
		return "the service"
	}
	return string(s.instance)
}

// applyManifest puts the manifest's configuration in force if it is newer than
// the current one. It reports whether the manifest was new. An error means that
// the manifest has to be processed again later; for a rejected document the error
// is nil.
func (r *Relay) applyManifest(ctx context.Context, manifest configservice.Manifest, from source) (bool, error) {
	candidate := version{Revision: manifest.Revision, Digest: manifest.Digest()}
	if !r.shouldApply(candidate) {
		return false, nil
	}
	select {
	case r.applying <- struct{}{}:
		defer func() { <-r.applying }()
	case <-ctx.Done():
		return false, fault.New(fault.MissingPart, "this instance is shutting down")
	}
	if r.isReverted(manifest) {
		manifest = r.carry(manifest.Revision)
		candidate = version{Revision: manifest.Revision, Digest: manifest.Digest()}
	}
	if !r.shouldApply(candidate) {
		return false, nil
	}
	return true, r.install(ctx, manifest, candidate, from)
}

// shouldApply reports whether the version is newer than the one in force and has
// not been rejected. It rejects a version that has the revision in force and a
// smaller digest.
func (r *Relay) shouldApply(candidate version) bool {
	current, _ := r.inForce()
	if current.Revision == candidate.Revision && current.Digest > candidate.Digest {
		r.reject(candidate, conflictError(candidate, current))
	}
	return candidate.newer(current) && !r.history.isRejected(candidate)
}

// isReverted reports whether the manifest has the content of one that was replaced before, and
// that the service has again only because it returned from an older copy.
func (r *Relay) isReverted(manifest configservice.Manifest) bool {
	current, _ := r.inForce()
	return manifest.Revision.CrossesEra(current.Revision) && r.history.wasReplaced(manifest)
}

// carry returns a manifest that keeps the configuration in force in place of an older one at the
// revision.
func (r *Relay) carry(revision types.Revision) configservice.Manifest {
	current, snapshot := r.inForce()
	r.options.Logger.Warn().Stringer("revision", revision).Stringer("in_force", current.Revision).Msg("the service has an older configuration, keeping the one in force")
	return configservice.Manifest{Revision: revision.Carried(), Parts: snapshot.Manifest().Parts}
}

// install fetches, compiles and activates one revision. It drives the state
// machine of the revision.
func (r *Relay) install(ctx context.Context, manifest configservice.Manifest, candidate version, from source) error {
	started := time.Now()
	if err := config.CheckManifest(manifest); err != nil {
		r.reject(candidate, err)
		return nil
	}
	chart, err := loadChart()
	if err != nil {
		return err
	}
	lifecycle := chart.Start()
	r.fire(lifecycle, eventFetch, candidate)
	if lifecycle.State() != stateFetching {
		return nil
	}
	_, previous := r.inForce()
	parts, err := r.fetchAll(ctx, manifest, previous, from)
	if err != nil {
		r.fire(lifecycle, eventMissing, candidate)
		return err
	}
	r.fire(lifecycle, eventAssemble, candidate)
	snapshot, err := config.CompileParts(manifest.Revision, parts, previous)
	if err != nil {
		r.fire(lifecycle, eventReject, candidate)
		r.reject(candidate, err)
		return nil
	}
	r.fire(lifecycle, eventAccept, candidate)
	if lifecycle.State() != stateInForce {
		return nil
	}
	return r.activate(lifecycle, snapshot, started, from)
}

// activate puts an accepted configuration in force and triggers its
// announcement.
func (r *Relay) activate(lifecycle *statechart.Machine, snapshot *config.Snapshot, started time.Time, from source) error {
	before, _ := r.inForce()
	if err := r.options.Store.Apply(snapshot); err != nil {
		return err
	}
	if r.lifecycle != nil {
		r.fire(r.lifecycle, eventSupersede, before)
	}
	r.lifecycle = lifecycle
	applied := version{Revision: snapshot.Revision(), Digest: snapshot.Digest()}
	r.history.addApplied(applied, snapshot.Manifest())
	r.counters.applied.Add(1)
	r.record(timeline.Event{
		Kind:     timeline.ConfigApplied,
		Revision: applied.Revision,
		Detail:   fmt.Sprintf("digest %s from %s", applied.Digest, from),
		Took:     time.Since(started),
	})
	if before.Revision == applied.Revision {
		r.reject(before, conflictError(before, applied))
	}
	select {
	case r.announcements <- struct{}{}:
	default:
	}
	return nil
}

// reject records a rejected version in the history, the time line and the log.
// Repeated rejections of a version are ignored.
func (r *Relay) reject(rejected version, cause error) {
	if !r.history.addRejected(rejected) {
		return
	}
	failure := fault.From(cause)
	r.counters.rejected.Add(1)
	r.record(timeline.Event{
		Kind:     timeline.ConfigRejected,
		Revision: rejected.Revision,
		Code:     string(failure.Code),
		Detail:   failure.Error(),
	})
	r.options.Logger.Error().Err(failure).Uint64("revision", rejected.Revision.Number()).Msg("configuration rejected")
}

// conflictError returns the error for a manifest when another manifest of the
// same revision takes precedence.
func conflictError(rejected, current version) error {
	message := fmt.Sprintf("revision %v has the digest %s and also %s, which takes precedence", rejected.Revision, rejected.Digest, current.Digest)
	return fault.New(fault.ConflictingRevision, message)
}
