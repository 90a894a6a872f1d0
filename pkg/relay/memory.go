package relay

import (
	"slices"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// memory is what the relay remembers of versions. It is safe for concurrent
// use.
type memory struct {
	mu       sync.Mutex
	rejected []version
	applied  []appliedManifest
	seen     types.Revision
}

// appliedManifest is a manifest that was in force.
type appliedManifest struct {
	version  version
	manifest configservice.Manifest
}

const (
	// rememberedRejections bounds the refused versions that are not fetched
	// again.
	rememberedRejections = 64
	// rememberedManifests bounds the manifests that differences are made to.
	rememberedManifests = 16
)

// reject remembers a refused version and reports whether it is new.
func (m *memory) reject(v version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Contains(m.rejected, v) {
		return false
	}
	m.rejected = append(m.rejected, v)
	if len(m.rejected) > rememberedRejections {
		m.rejected = m.rejected[1:]
	}
	return true
}

// isRejected reports whether the version was refused before.
func (m *memory) isRejected(v version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.rejected, v)
}

// apply remembers a manifest that came into force.
func (m *memory) apply(v version, manifest configservice.Manifest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = append(m.applied, appliedManifest{v, manifest})
	if len(m.applied) > rememberedManifests {
		m.applied = m.applied[1:]
	}
}

// manifest returns the remembered manifest of the version.
func (m *memory) manifest(v version) (configservice.Manifest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.applied {
		if known.version == v {
			return known.manifest, true
		}
	}
	return configservice.Manifest{}, false
}

// sawRevision remembers that a revision of the service needs no more reads.
func (m *memory) sawRevision(revision types.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = max(m.seen, revision)
}

// lastSeen returns the highest revision that needs no more reads.
func (m *memory) lastSeen() types.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
}
