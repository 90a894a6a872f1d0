package relay

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// fetchAll returns all parts of the manifest. Parts that the previous
// configuration already has are copied from it without a transfer; previous may
// be nil.
func (r *Relay) fetchAll(ctx context.Context, manifest configservice.Manifest, previous *config.Snapshot, from source) ([]config.EncodedPart, error) {
	parts := make([]config.EncodedPart, len(manifest.Parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(r.settings.PartConcurrency)
	for i, ref := range manifest.Parts {
		parts[i] = config.EncodedPart{Name: ref.Name, Digest: ref.Digest}
		if bytes, ok := previous.Part(ref); ok {
			parts[i].Bytes = bytes
			continue
		}
		group.Go(func() error {
			bytes, err := r.fetch(ctx, ref, r.partSources(from, previous == nil))
			parts[i].Bytes = bytes
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return parts, nil
}

// partSources returns the sources to try for a part, in order. If the manifest
// came from another instance, that instance is tried first. If it was read from
// the configuration service, the service is tried first, since no other instance
// has a new part yet. A starting instance tries other instances before the
// service, to limit the load on the service when many instances start at once.
func (r *Relay) partSources(from source, starting bool) []source {
	var peers []source
	picked := r.random.pick(r.others(), r.options.View.Self().DataCentre, r.settings.FanOut)
	for _, instance := range picked {
		if instance.PeerAddress != from.address {
			peers = append(peers, source{instance: instance.ID, address: instance.PeerAddress})
		}
	}
	switch {
	case from != serviceSource:
		return append(append([]source{from}, peers...), serviceSource)
	case starting:
		return append(peers, serviceSource)
	default:
		return append([]source{serviceSource}, peers...)
	}
}

// fetch returns one part from the first source that has it.
func (r *Relay) fetch(ctx context.Context, ref configservice.PartRef, sources []source) ([]byte, error) {
	var last error
	for _, from := range sources {
		part, err := r.fetchFrom(ctx, ref, from)
		if err == nil {
			return part, nil
		}
		last = err
	}
	return nil, fault.Wrap(fault.MissingPart, last, "part "+ref.Name)
}

// fetchFrom returns one part from one source and verifies its digest.
func (r *Relay) fetchFrom(ctx context.Context, ref configservice.PartRef, from source) ([]byte, error) {
	if from == serviceSource {
		return r.readPart(ctx, ref)
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.PartTimeout)
	defer cancel()
	var response partResponse
	request := partRequest{Name: ref.Name, Digest: ref.Digest}
	if err := r.call(ctx, from, methodPart, request, &response); err != nil {
		return nil, err
	}
	if configservice.DigestOf(response.Bytes) != ref.Digest {
		return nil, fault.New(fault.MissingPart, "the content does not match digest "+string(ref.Digest))
	}
	r.counters.partsFromPeers.Add(1)
	return response.Bytes, nil
}
