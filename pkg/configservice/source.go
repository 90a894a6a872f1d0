// Package configservice reads the configuration and the instance list that the
// configuration service publishes. It never writes.
package configservice

import (
	"context"
	"time"

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
