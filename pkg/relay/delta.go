package relay

import (
	"slices"

	"github.com/umbercrank/umbercrank/pkg/configservice"
)

// difference returns the parts of next that base does not have in the same
// form, and the names of base that next does not have.
func difference(base, next configservice.Manifest) (changed []configservice.PartRef, removed []string) {
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
func patch(base configservice.Manifest, answer manifestAnswer) configservice.Manifest {
	next := configservice.Manifest{Revision: answer.Version.Revision}
	if !answer.Delta {
		next.Parts = answer.Parts
		return next
	}
	changed := byName(configservice.Manifest{Parts: answer.Parts})
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
func byName(manifest configservice.Manifest) map[string]configservice.PartRef {
	index := make(map[string]configservice.PartRef, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		index[ref.Name] = ref
	}
	return index
}
