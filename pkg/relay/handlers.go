package relay

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
)

// Register takes the relay's peer methods into service.
func (r *Relay) Register(registrar peer.Registrar) {
	registrar.Handle(methodManifest, r.handleManifest)
	registrar.Handle(methodPart, r.handlePart)
	registrar.Handle(methodAnnounce, r.handleAnnounce)
}

// handleManifest answers with the version in force, and with its manifest when
// the asker is behind. An asker that is ahead is asked in turn.
func (r *Relay) handleManifest(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var asker version
	if err := json.Unmarshal(params, &asker); err != nil {
		return nil, badParameters(err)
	}
	held, current := r.held()
	answer := manifestAnswer{Version: held, Serving: r.serving()}
	switch {
	case held.newer(asker):
		r.fillManifest(&answer, asker, current)
	case asker.newer(held):
		r.hint(from.Instance)
	}
	return answer, nil
}

// fillManifest puts the manifest in force into the answer.
func (r *Relay) fillManifest(answer *manifestAnswer, asker version, current *config.Snapshot) {
	base, ok := r.memory.manifest(asker)
	if !ok {
		answer.Parts = current.Manifest().Parts
		return
	}
	answer.Delta = true
	answer.Parts, answer.Removed = difference(base, current.Manifest())
}

// handlePart hands out a part of the configuration in force.
func (r *Relay) handlePart(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var query partQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, badParameters(err)
	}
	_, current := r.held()
	part, ok := current.Part(configservice.PartRef{Name: query.Name, Digest: query.Digest})
	if !ok {
		return nil, fault.New(fault.MissingPart, "part "+query.Name+" is not in force here")
	}
	return partAnswer{Bytes: part}, nil
}

// handleAnnounce notes an instance that is ahead.
func (r *Relay) handleAnnounce(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var announced version
	if err := json.Unmarshal(params, &announced); err != nil {
		return nil, badParameters(err)
	}
	if r.wants(announced) {
		r.hint(from.Instance)
	}
	return nil, nil
}

// badParameters is the failure of a message that cannot be read.
func badParameters(err error) error {
	return fault.Wrap(fault.PeerRejected, err, "parameters")
}
