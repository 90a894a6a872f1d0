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

// origin says where a manifest came from; an empty address is the service.
type origin struct {
	instance types.InstanceID
	address  string
}

// fromService is the origin of manifests that were read from the service.
var fromService = origin{}

// String names the origin for the time line.
func (o origin) String() string {
	if o == fromService {
		return "the service"
	}
	return string(o.instance)
}

// take puts the manifest's configuration in force if it is newer. It reports
// whether the manifest was new. The failure means that the manifest could not
// be dealt with yet; a refused document is dealt with.
func (r *Relay) take(ctx context.Context, manifest configservice.Manifest, from origin) (bool, error) {
	wanted := version{Revision: manifest.Revision, Digest: manifest.Digest()}
	if !r.wants(wanted) {
		return false, nil
	}
	select {
	case r.taking <- struct{}{}:
		defer func() { <-r.taking }()
	case <-ctx.Done():
		return false, fault.New(fault.MissingPart, "the instance is stopping")
	}
	if !r.wants(wanted) {
		return false, nil
	}
	return true, r.install(ctx, manifest, wanted, from)
}

// wants reports whether the version is newer than the one in force and not
// refused before. Another content of the revision in force is refused.
func (r *Relay) wants(wanted version) bool {
	held, _ := r.held()
	if held.Revision == wanted.Revision && held.Digest > wanted.Digest {
		r.reject(wanted, conflict(wanted, held))
	}
	return wanted.newer(held) && !r.memory.isRejected(wanted)
}

// install takes one revision through its life cycle: fetch, compile, apply.
func (r *Relay) install(ctx context.Context, manifest configservice.Manifest, wanted version, from origin) error {
	started := time.Now()
	if err := config.CheckManifest(manifest); err != nil {
		r.reject(wanted, err)
		return nil
	}
	chart, err := loadChart()
	if err != nil {
		return err
	}
	life := chart.Start()
	r.fire(life, eventFetch, wanted)
	if life.State() != stateFetching {
		return nil
	}
	_, current := r.held()
	parts, err := r.fetchAll(ctx, manifest, current, from)
	if err != nil {
		r.fire(life, eventMissing, wanted)
		return err
	}
	r.fire(life, eventAssemble, wanted)
	snapshot, err := config.CompileParts(manifest.Revision, parts, current)
	if err != nil {
		r.fire(life, eventReject, wanted)
		r.reject(wanted, err)
		return nil
	}
	r.fire(life, eventAccept, wanted)
	if life.State() != stateInForce {
		return nil
	}
	return r.enforce(life, snapshot, started, from)
}

// enforce puts an accepted configuration in force and tells others.
func (r *Relay) enforce(life *statechart.Machine, snapshot *config.Snapshot, started time.Time, from origin) error {
	before, _ := r.held()
	if err := r.options.Store.Apply(snapshot); err != nil {
		return err
	}
	if r.inForce != nil {
		r.fire(r.inForce, eventSupersede, before)
	}
	r.inForce = life
	applied := version{Revision: snapshot.Revision(), Digest: snapshot.Digest()}
	r.memory.apply(applied, snapshot.Manifest())
	r.counters.applied.Add(1)
	r.record(timeline.Event{
		Kind:     timeline.ConfigApplied,
		Revision: applied.Revision,
		Detail:   fmt.Sprintf("digest %s from %s", applied.Digest, from),
		Took:     time.Since(started),
	})
	if before.Revision == applied.Revision {
		r.reject(before, conflict(before, applied))
	}
	select {
	case r.applied <- struct{}{}:
	default:
	}
	return nil
}

// reject remembers a refused version and records why, once.
func (r *Relay) reject(refused version, cause error) {
	if !r.memory.reject(refused) {
		return
	}
	failure := fault.From(cause)
	r.counters.rejected.Add(1)
	r.record(timeline.Event{
		Kind:     timeline.ConfigRejected,
		Revision: refused.Revision,
		Code:     string(failure.Code),
		Detail:   failure.Error(),
	})
	r.options.Logger.Error().Err(failure).Uint64("revision", uint64(refused.Revision)).Msg("configuration refused")
}

// conflict is the failure of the manifest that loses against another of the
// same revision.
func conflict(loser, winner version) error {
	message := fmt.Sprintf("revision %d has the digest %s and also %s, which takes precedence", loser.Revision, loser.Digest, winner.Digest)
	return fault.New(fault.ConflictingRevision, message)
}
