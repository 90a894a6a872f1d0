// Package configservice reads the configuration and the instance list that the
// configuration service publishes. It never writes.
package configservice

import (
	"context"
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Digest is the hexadecimal SHA-256 hash of the bytes of a part.
type Digest string

// PartRef identifies one part of a configuration by name and content digest.
type PartRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
	// Size is the size in bytes, at most 1 MB.
	Size int `json:"size"`
}

// Manifest lists the parts of one configuration.
type Manifest struct {
	// Revision is assigned by the service and defines the order of manifests.
	Revision types.Revision `json:"revision"`
	Parts    []PartRef      `json:"parts"`
}

// PublishedManifest is a manifest as the service publishes it. Revision is a plain number.
type PublishedManifest struct {
	// Era is how often the service has returned from an older copy, after which it gives out
	// revisions again.
	Era      uint64    `json:"era,omitempty"`
	Revision uint64    `json:"revision"`
	Parts    []PartRef `json:"parts"`
}

// Published returns the published form of a manifest.
func Published(m Manifest) PublishedManifest {
	return PublishedManifest{Era: m.Revision.Era(), Revision: m.Revision.Number(), Parts: m.Parts}
}

// manifest returns the manifest, or an error if its revision is out of range.
func (p PublishedManifest) manifest() (Manifest, error) {
	revision, ok := types.NewRevision(p.Era, p.Revision)
	if !ok {
		return Manifest{}, fault.New(fault.PlatformUnavailable, fmt.Sprintf("the revision %d of era %d is out of range", p.Revision, p.Era))
	}
	return Manifest{Revision: revision, Parts: p.Parts}, nil
}

// Source reads from the configuration service. Implementations are safe for
// concurrent use. If the service does not respond, they return a *fault.Error
// with code PlatformUnavailable.
type Source interface {
	// WaitManifest returns the manifest as soon as its revision is greater than
	// after, or the current manifest after the duration wait. Each call counts as
	// one read.
	WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (Manifest, error)
	// Part returns the bytes of the part.
	Part(ctx context.Context, ref PartRef) ([]byte, error)
	// Instances returns the published instance list, which may be stale.
	Instances(ctx context.Context) ([]types.Instance, error)
}
