package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Snapshot is a validated and compiled configuration. It is immutable. Unless
// stated otherwise, the caller may modify the returned slices.
type Snapshot struct {
	manifest configservice.Manifest
	digest   configservice.Digest
	parts    map[string]*decodedPart
	core     *core
	accounts *accountTable
}

// newSnapshot assembles a Snapshot from its compiled parts.
func newSnapshot(revision types.Revision, parts []*decodedPart, core *core, accounts *accountTable) *Snapshot {
	snapshot := &Snapshot{
		manifest: configservice.Manifest{Revision: revision, Parts: make([]configservice.PartRef, 0, len(parts))},
		parts:    make(map[string]*decodedPart, len(parts)),
		core:     core,
		accounts: accounts,
	}
	for _, part := range parts {
		ref := configservice.PartRef{Name: part.name, Digest: part.digest, Size: len(part.raw)}
		snapshot.manifest.Parts = append(snapshot.manifest.Parts, ref)
		snapshot.parts[part.name] = part
	}
	snapshot.digest = snapshot.manifest.Digest()
	return snapshot
}

// Revision returns the revision that the configuration service assigned.
func (s *Snapshot) Revision() types.Revision { return s.manifest.Revision }

// Digest returns the digest of the manifest.
func (s *Snapshot) Digest() configservice.Digest { return s.digest }

// Manifest returns the manifest of the parts that the configuration was compiled
// from.
func (s *Snapshot) Manifest() configservice.Manifest {
	return configservice.Manifest{Revision: s.manifest.Revision, Parts: slices.Clone(s.manifest.Parts)}
}

// Part returns the published bytes of the part. The caller must not modify them.
func (s *Snapshot) Part(ref configservice.PartRef) ([]byte, bool) {
	part, ok := s.decodedPart(ref.Name)
	if !ok || part.digest != ref.Digest {
		return nil, false
	}
	return part.raw, true
}

// decodedPart returns the part with the name. A nil snapshot has no parts.
func (s *Snapshot) decodedPart(name string) (*decodedPart, bool) {
	if s == nil {
		return nil, false
	}
	part, ok := s.parts[name]
	return part, ok
}

// accountTable returns the account table, or nil for a nil snapshot.
func (s *Snapshot) accountTable() *accountTable {
	if s == nil {
		return nil
	}
	return s.accounts
}

// Class returns the class with the name.
func (s *Snapshot) Class(name types.ClassName) (Class, bool) {
	class, ok := s.core.classes[name]
	return class, ok
}

// Classes returns the classes in published order.
func (s *Snapshot) Classes() []Class { return slices.Clone(s.core.document.Classes) }

// Rules returns the rules in published order.
func (s *Snapshot) Rules() []Rule { return slices.Clone(s.core.document.Rules) }

// Targets returns the targets in published order.
func (s *Snapshot) Targets() []Target { return slices.Clone(s.core.document.Targets) }

// Target returns the target with the name.
func (s *Snapshot) Target(name types.TargetName) (Target, bool) {
	target, ok := s.core.targets[name]
	return target, ok
}

// TargetForModel returns the first target in published order that serves the
// model.
func (s *Snapshot) TargetForModel(model string) (Target, bool) {
	return s.findTarget(func(t Target) bool { return t.Kind == EngineTarget && t.Model == model })
}

// TargetForService returns the first target in published order that serves the
// named service.
func (s *Snapshot) TargetForService(name string) (Target, bool) {
	return s.findTarget(func(t Target) bool { return t.Kind == ServiceTarget && t.Service == name })
}

// findTarget returns the first target for which match returns true.
func (s *Snapshot) findTarget(match func(Target) bool) (Target, bool) {
	i := slices.IndexFunc(s.core.document.Targets, match)
	if i < 0 {
		return Target{}, false
	}
	return s.core.document.Targets[i], true
}

// Upstream returns the upstream with the ID.
func (s *Snapshot) Upstream(id types.UpstreamID) (Upstream, bool) {
	upstream, ok := s.core.upstreams[id]
	return upstream, ok
}

// PoolUpstreams returns the upstreams of the pool, sorted by ID.
func (s *Snapshot) PoolUpstreams(pool types.PoolID) []Upstream {
	return slices.Clone(s.core.pools[pool])
}

// Pools returns the pools of the target, sorted by data centre.
func (s *Snapshot) Pools(target types.TargetName) []types.PoolID {
	return slices.Clone(s.core.byTarget[target])
}

// comparePools orders pools by target and data centre.
func comparePools(a, b types.PoolID) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.DataCentre, b.DataCentre))
}

// Models returns the model names of all engine targets in alphabetical order.
func (s *Snapshot) Models() []string { return slices.Clone(s.core.models) }

// AccountByKey returns the account with the API key.
func (s *Snapshot) AccountByKey(apiKey string) (Account, bool) {
	return s.accounts.byKey(apiKey)
}

// Decision is the result of classifying one request.
type Decision struct {
	// Rule is the name of the matching rule.
	Rule string
	// Class is the request's class. Its Tier is not overridden by the rule.
	Class Class
	// Tier is the request's tier: that of the rule if set, otherwise of the class.
	Tier   types.Tier
	Target Target
}

// Classify evaluates the rules in order and returns the decision of the first
// match. The error has code NoRuleMatches.
func (s *Snapshot) Classify(attributes rules.Attributes) (Decision, error) {
	index, ok := s.core.rules.Match(attributes)
	if !ok {
		message := fmt.Sprintf("no rule of revision %v matches the request", s.Revision())
		return Decision{}, fault.New(fault.NoRuleMatches, message)
	}
	return s.decision(index), nil
}

// Explain returns which rules were evaluated for the request and why each of them
// matches or not.
func (s *Snapshot) Explain(attributes rules.Attributes) rules.Explanation {
	return s.core.rules.Explain(attributes)
}

// decision returns the decision of the rule at the index.
func (s *Snapshot) decision(index int) Decision {
	rule := s.core.document.Rules[index]
	class := s.core.classes[rule.Class]
	decision := Decision{Rule: rule.Name, Class: class, Tier: class.Tier, Target: s.core.targets[rule.Target]}
	if rule.Tier != nil {
		decision.Tier = *rule.Tier
	}
	return decision
}
