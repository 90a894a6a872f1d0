// Package configservice reads what the configuration service publishes: the
// values of the configuration and the instance list. It never writes.
package configservice

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Digest is the hexadecimal SHA-256 of a part's bytes.
type Digest string

// PartRef names one part of a configuration by content.
type PartRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
	// Size is the length in bytes, at most 1 MB.
	Size int `json:"size"`
}

// Manifest lists the parts that make up one configuration.
type Manifest struct {
	// Revision is assigned by the service and orders manifests.
	Revision types.Revision `json:"revision"`
	Parts    []PartRef      `json:"parts"`
}

// Source reads the service. Implementations are safe for concurrent use and
// return *fault.Error of code PlatformUnavailable when there is no answer.
type Source interface {
	// WaitManifest returns the manifest as soon as its revision is above after,
	// or the current one when wait has passed. Each call counts as one read.
	WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (Manifest, error)
	// Part returns the bytes of the part.
	Part(ctx context.Context, ref PartRef) ([]byte, error)
	// Instances returns the published instance list, which may lag.
	Instances(ctx context.Context) ([]types.Instance, error)
}
