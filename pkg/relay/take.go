package relay

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/platform"
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
func (r *Relay) take(ctx context.Context, manifest platform.Manifest, from origin) (bool, error) {
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

// install fetches, compiles and applies a configuration.
func (r *Relay) install(ctx context.Context, manifest platform.Manifest, wanted version, from origin) error {
	started := time.Now()
	held, current := r.held()
	parts, err := r.fetchAll(ctx, manifest, current, from)
	if err != nil {
		return err
	}
	snapshot, err := config.CompileParts(manifest.Revision, parts, current)
	if err != nil {
		r.reject(wanted, err)
		return nil
	}
	if err := r.options.Store.Apply(snapshot); err != nil {
		return err
	}
	r.memory.apply(wanted, snapshot.Manifest())
	r.counters.applied.Add(1)
	r.record(timeline.Event{
		Kind:     timeline.ConfigApplied,
		Revision: wanted.Revision,
		Detail:   fmt.Sprintf("digest %s from %s", wanted.Digest, from),
		Took:     time.Since(started),
	})
	if held.Revision == wanted.Revision {
		r.reject(held, conflict(held, wanted))
	}
	r.announce(ctx, wanted)
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

// fetchAll returns all parts of the manifest, those of the configuration in
// force without a transfer.
func (r *Relay) fetchAll(ctx context.Context, manifest platform.Manifest, current *config.Snapshot, from origin) ([]config.Encoded, error) {
	parts := make([]config.Encoded, len(manifest.Parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(r.settings.PartConcurrency)
	for i, ref := range manifest.Parts {
		parts[i] = config.Encoded{Name: ref.Name, Digest: ref.Digest}
		if held, ok := current.Part(ref); ok {
			parts[i].Bytes = held
			continue
		}
		group.Go(func() error {
			bytes, err := r.fetch(ctx, ref, r.suppliers(from, current == nil))
			parts[i].Bytes = bytes
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return parts, nil
}

// suppliers returns where to ask for a part, in order. What an instance told of
// is asked of it first. What a reader read is asked of the service first, since
// nobody else has it yet; a fresh instance asks others first, to spare the
// service when many start at once.
func (r *Relay) suppliers(from origin, fresh bool) []origin {
	var peers []origin
	picked := r.chance.pick(r.others(), r.options.View.Self().DataCentre, r.settings.FanOut)
	for _, instance := range picked {
		if instance.PeerAddress != from.address {
			peers = append(peers, origin{instance: instance.ID, address: instance.PeerAddress})
		}
	}
	switch {
	case from != fromService:
		return append(append([]origin{from}, peers...), fromService)
	case fresh:
		return append(peers, fromService)
	default:
		return append([]origin{fromService}, peers...)
	}
}

// fetch returns one part from the first supplier that has it.
func (r *Relay) fetch(ctx context.Context, ref platform.PartRef, suppliers []origin) ([]byte, error) {
	var last error
	for _, supplier := range suppliers {
		part, err := r.fetchFrom(ctx, ref, supplier)
		if err == nil {
			return part, nil
		}
		last = err
	}
	return nil, fault.Wrap(fault.MissingPart, last, "part "+ref.Name)
}

// fetchFrom returns one part from one supplier and checks its digest.
func (r *Relay) fetchFrom(ctx context.Context, ref platform.PartRef, supplier origin) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PartTimeout)
	defer cancel()
	if supplier == fromService {
		return r.readPart(ctx, ref)
	}
	var answer partAnswer
	query := partQuery{Name: ref.Name, Digest: ref.Digest}
	if err := r.call(ctx, supplier, methodPart, query, &answer); err != nil {
		return nil, err
	}
	if platform.DigestOf(answer.Bytes) != ref.Digest {
		return nil, fault.New(fault.MissingPart, "the bytes do not have the digest")
	}
	r.counters.partsFromPeers.Add(1)
	return answer.Bytes, nil
}
