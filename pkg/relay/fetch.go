package relay

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// fetchAll returns all parts of the manifest, those of the configuration in
// force without a transfer.
func (r *Relay) fetchAll(ctx context.Context, manifest configservice.Manifest, current *config.Snapshot, from origin) ([]config.Encoded, error) {
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
func (r *Relay) fetch(ctx context.Context, ref configservice.PartRef, suppliers []origin) ([]byte, error) {
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
func (r *Relay) fetchFrom(ctx context.Context, ref configservice.PartRef, supplier origin) ([]byte, error) {
	if supplier == fromService {
		return r.readPart(ctx, ref)
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.PartTimeout)
	defer cancel()
	var answer partAnswer
	query := partQuery{Name: ref.Name, Digest: ref.Digest}
	if err := r.call(ctx, supplier, methodPart, query, &answer); err != nil {
		return nil, err
	}
	if configservice.DigestOf(answer.Bytes) != ref.Digest {
		return nil, fault.New(fault.MissingPart, "the bytes do not have the digest")
	}
	r.counters.partsFromPeers.Add(1)
	return answer.Bytes, nil
}
