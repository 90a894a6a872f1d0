package relay

import (
	"slices"

	"github.com/umbercrank/umbercrank/pkg/platform"
)

// difference returns the parts of next that base does not have in the same
// form, and the names of base that next does not have.
func difference(base, next platform.Manifest) (changed []platform.PartRef, removed []string) {
	before := byName(base)
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

// patch applies the answer to the asker's manifest.
func patch(base platform.Manifest, answer manifestAnswer) platform.Manifest {
	next := platform.Manifest{Revision: answer.Version.Revision}
	if !answer.Delta {
		next.Parts = answer.Parts
		return next
	}
	changed := byName(platform.Manifest{Parts: answer.Parts})
	for _, ref := range base.Parts {
		replacement, replaced := changed[ref.Name]
		switch {
		case slices.Contains(answer.Removed, ref.Name):
		case replaced:
			next.Parts = append(next.Parts, replacement)
		default:
			next.Parts = append(next.Parts, ref)
		}
		delete(changed, ref.Name)
	}
	for _, ref := range answer.Parts {
		if _, added := changed[ref.Name]; added {
			next.Parts = append(next.Parts, ref)
		}
	}
	return next
}

// byName indexes the parts.
func byName(manifest platform.Manifest) map[string]platform.PartRef {
	index := make(map[string]platform.PartRef, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		index[ref.Name] = ref
	}
	return index
}
