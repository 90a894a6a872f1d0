package relay

import (
	"slices"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// history stores the versions and manifests that the relay has processed. It is
// safe for concurrent use.
type history struct {
	mu        sync.Mutex
	rejected  []version
	applied   []appliedManifest
	processed types.Revision
}

// appliedManifest is a manifest that is or was in force.
type appliedManifest struct {
	version  version
	manifest configservice.Manifest
}

const (
	// maxRejectedVersions is the number of rejected versions that are kept; they
	// are not fetched again.
	maxRejectedVersions = 64
	// maxAppliedManifests is the number of manifests that are kept as bases of
	// deltas.
	maxAppliedManifests = 16
)

// addRejected adds a rejected version and reports whether it is new.
func (h *history) addRejected(v version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.rejected, v) {
		return false
	}
	h.rejected = append(h.rejected, v)
	if len(h.rejected) > maxRejectedVersions {
		h.rejected = h.rejected[1:]
	}
	return true
}

// isRejected reports whether the version was rejected before.
func (h *history) isRejected(v version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.rejected, v)
}

// addApplied adds a manifest that came into force.
func (h *history) addApplied(v version, manifest configservice.Manifest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = append(h.applied, appliedManifest{v, manifest})
	if len(h.applied) > maxAppliedManifests {
		h.applied = h.applied[1:]
	}
}

// manifest returns the manifest of the version, if it is kept.
func (h *history) manifest(v version) (configservice.Manifest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, known := range h.applied {
		if known.version == v {
			return known.manifest, true
		}
	}
	return configservice.Manifest{}, false
}

// wasReplaced reports whether the content of the manifest was in force and has been replaced by
// another one.
func (h *history) wasReplaced(manifest configservice.Manifest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.applied) == 0 {
		return false
	}
	content := contentDigest(manifest)
	newest := len(h.applied) - 1
	return contentDigest(h.applied[newest].manifest) != content &&
		slices.ContainsFunc(h.applied[:newest], func(a appliedManifest) bool { return contentDigest(a.manifest) == content })
}

// contentDigest returns the digest of the manifest's parts without its revision.
func contentDigest(manifest configservice.Manifest) configservice.Digest {
	manifest.Revision = 0
	return manifest.Digest()
}

// markProcessed records that a revision read from the configuration service has
// been processed, so later reads wait for a higher one.
func (h *history) markProcessed(revision types.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processed = max(h.processed, revision)
}

// lastProcessed returns the highest revision that has been processed.
func (h *history) lastProcessed() types.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processed
}
