package relay

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
)

// Register registers the handlers of the relay's peer methods.
func (r *Relay) Register(registrar peer.Registrar) {
	registrar.Handle(methodManifest, r.handleManifest)
	registrar.Handle(methodPart, r.handlePart)
	registrar.Handle(methodAnnounce, r.handleAnnounce)
}

// handleManifest responds with the version in force, and with its manifest if the
// requester has an older version. If the requester has a newer version, an
// exchange with it is queued.
func (r *Relay) handleManifest(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var requester version
	if err := json.Unmarshal(params, &requester); err != nil {
		return nil, invalidParams(err)
	}
	current, snapshot := r.inForce()
	response := manifestResponse{Version: current, Serving: r.serving()}
	switch {
	case current.newer(requester):
		r.fillManifest(&response, requester, snapshot)
	case requester.newer(current):
		r.addHint(from.Instance)
	}
	return response, nil
}

// fillManifest adds the manifest in force to the response, as a delta if the
// manifest of the requester's version is known.
func (r *Relay) fillManifest(response *manifestResponse, requester version, snapshot *config.Snapshot) {
	base, ok := r.history.manifest(requester)
	if !ok {
		response.Parts = snapshot.Manifest().Parts
		return
	}
	response.Delta = true
	response.Parts, response.Removed = diffManifests(base, snapshot.Manifest())
}

// handlePart responds with a part of the configuration in force.
func (r *Relay) handlePart(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request partRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, invalidParams(err)
	}
	_, snapshot := r.inForce()
	part, ok := snapshot.Part(configservice.PartRef{Name: request.Name, Digest: request.Digest})
	if !ok {
		return nil, fault.New(fault.MissingPart, "part "+request.Name+" is not in the configuration in force")
	}
	return partResponse{Bytes: part}, nil
}

// handleAnnounce queues an exchange with the sender if the announced version
// should be applied here.
func (r *Relay) handleAnnounce(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var announced version
	if err := json.Unmarshal(params, &announced); err != nil {
		return nil, invalidParams(err)
	}
	if r.shouldApply(announced) {
		r.addHint(from.Instance)
	}
	return nil, nil
}

// invalidParams returns the error for parameters that cannot be decoded.
func invalidParams(err error) error {
	return fault.Wrap(fault.PeerRejected, err, "malformed parameters")
}
