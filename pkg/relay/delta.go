package relay

import (
	"slices"

	"github.com/umbercrank/umbercrank/pkg/configservice"
)

// diffManifests returns the parts of next that are new or changed relative to
// base, and the names of the parts of base that next does not contain.
func diffManifests(base, next configservice.Manifest) (changed []configservice.PartRef, removed []string) {
	before := partsByName(base)
	for _, ref := range next.Parts {
		if before[ref.Name] != ref {
			changed = append(changed, ref)
		}
		delete(before, ref.Name)
	}
	for name := range before {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// applyDelta returns the manifest that the response describes. base is the
// manifest of the requester, which the delta refers to.
func applyDelta(base configservice.Manifest, response manifestResponse) configservice.Manifest {
	next := configservice.Manifest{Revision: response.Version.Revision}
	if !response.Delta {
		next.Parts = response.Parts
		return next
	}
	changed := partsByName(configservice.Manifest{Parts: response.Parts})
	for _, ref := range base.Parts {
		replacement, replaced := changed[ref.Name]
		switch {
		case slices.Contains(response.Removed, ref.Name):
		case replaced:
			next.Parts = append(next.Parts, replacement)
		default:
			next.Parts = append(next.Parts, ref)
		}
		delete(changed, ref.Name)
	}
	for _, ref := range response.Parts {
		if _, added := changed[ref.Name]; added {
			next.Parts = append(next.Parts, ref)
		}
	}
	return next
}

// partsByName indexes the parts of the manifest by name.
func partsByName(manifest configservice.Manifest) map[string]configservice.PartRef {
	index := make(map[string]configservice.PartRef, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		index[ref.Name] = ref
	}
	return index
}
