package config

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// decodedPart is one part after decoding. It is immutable and shared by all
// snapshots that contain the part.
type decodedPart struct {
	name     string
	digest   configservice.Digest
	raw      []byte
	fragment *Document
	accounts *accountPart
}

// Compile validates and compiles a whole document. The error has code
// InvalidConfiguration and lists every problem.
func Compile(revision types.Revision, document *Document) (*Snapshot, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	parts, err := Split(document)
	if err != nil {
		return nil, err
	}
	encoded, _ := Encode(revision, parts)
	return CompileParts(revision, encoded, nil)
}

// CompileParts validates and compiles the parts of one configuration. Parts that
// previous also contains are not decoded again; previous may be nil. Whether the
// parts are valid does not depend on previous.
func CompileParts(revision types.Revision, parts []EncodedPart, previous *Snapshot) (*Snapshot, error) {
	sizes := make(map[string]int, len(parts))
	for _, part := range parts {
		sizes[part.Name] = len(part.Bytes)
	}
	if problems := checkSizes(len(parts), sizes); len(problems) > 0 {
		return nil, invalidError(problems)
	}
	decoded, err := decodeParts(parts, previous)
	if err != nil {
		return nil, err
	}
	core, err := compileCore(decoded, previous)
	if err != nil {
		return nil, err
	}
	accounts, problems := newAccountTable(accountParts(decoded), previous.accountTable())
	if len(problems) > 0 {
		return nil, invalidError(problems)
	}
	return newSnapshot(revision, decoded, core, accounts), nil
}

// decodeParts decodes the parts and returns them sorted by name.
func decodeParts(parts []EncodedPart, previous *Snapshot) ([]*decodedPart, error) {
	ordered := slices.Clone(parts)
	slices.SortFunc(ordered, func(a, b EncodedPart) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	decoded := make([]*decodedPart, 0, len(ordered))
	var problems []Problem
	for i, part := range ordered {
		if i > 0 && ordered[i-1].Name == part.Name {
			problems = append(problems, Problem{Part: part.Name, Index: -1, Message: "the name of the part is in use already"})
		}
		if existing, ok := previous.decodedPart(part.Name); ok && existing.digest == part.Digest {
			decoded = append(decoded, existing)
			continue
		}
		current, found := decodePart(part)
		problems = append(problems, found...)
		decoded = append(decoded, current)
	}
	return decoded, invalidError(problems)
}

// decodePart decodes one part and checks its accounts. Parts must be JSON, not
// YAML: every instance reads them, and the YAML parser enforces weaker limits.
func decodePart(part EncodedPart) (*decodedPart, []Problem) {
	var problems []Problem
	index := &accountPart{raw: part.Bytes}
	count := 0
	fragment, err := decode(part.Bytes, func(account Account, start, end int) {
		for _, problem := range checkAccount(account, count) {
			problem.Part = part.Name
			problems = append(problems, problem)
		}
		index.add(account, start, end)
		count++
	})
	if err != nil {
		return nil, partProblem(part, err)
	}
	index.sort()
	result := &decodedPart{name: part.Name, digest: part.Digest, raw: part.Bytes, fragment: fragment}
	if count > 0 {
		result.accounts = index
	}
	return result, problems
}

// partProblem returns the problem of a part that cannot be decoded.
func partProblem(part EncodedPart, cause error) []Problem {
	problem := Problem{Part: part.Name, Index: -1, Message: errorMessage(cause)}
	var schema *schemaError
	if errors.As(cause, &schema) {
		problem.Field = schema.field
	}
	if offset := offsetOf(cause); offset > 0 {
		problem.Line = positionAt(part.Bytes, offset).line
	}
	return []Problem{problem}
}

// accountParts returns the parts that contain accounts.
func accountParts(parts []*decodedPart) []*decodedPart {
	var result []*decodedPart
	for _, part := range parts {
		if part.accounts != nil {
			result = append(result, part)
		}
	}
	return result
}

// coreKey identifies the content of all parts except their accounts.
func coreKey(parts []*decodedPart) string {
	var key bytes.Buffer
	for _, part := range parts {
		if !part.fragment.empty() {
			key.WriteString(part.name + "\x00" + string(part.digest) + "\n")
		}
	}
	return key.String()
}

// empty reports whether the document has no items other than accounts.
func (d *Document) empty() bool {
	return len(d.Classes)+len(d.Rules)+len(d.Targets)+len(d.Upstreams) == 0
}

// core is the compiled form of everything except the accounts.
type core struct {
	key       string
	document  *Document
	rules     *rules.List
	classes   map[types.ClassName]Class
	targets   map[types.TargetName]Target
	upstreams map[types.UpstreamID]Upstream
	pools     map[types.PoolID][]Upstream
	byTarget  map[types.TargetName][]types.PoolID
	models    []string
}

// compileCore compiles everything except the accounts. It returns the core of
// previous if it has not changed.
func compileCore(parts []*decodedPart, previous *Snapshot) (*core, error) {
	key := coreKey(parts)
	if previous != nil && previous.core.key == key {
		return previous.core, nil
	}
	document := &Document{}
	for _, part := range parts {
		document.append(part.fragment)
	}
	if problems := checkCore(document); len(problems) > 0 {
		return nil, invalidError(problems)
	}
	list, err := compileRules(document.Rules)
	if err != nil {
		return nil, err
	}
	result := &core{key: key, document: document, rules: list}
	result.indexNames()
	result.indexUpstreams()
	return result, nil
}

// compileRules compiles the when expressions of the rules.
func compileRules(list []Rule) (*rules.List, error) {
	sources := make([]rules.Rule, len(list))
	for i, rule := range list {
		sources[i] = rules.Rule{Name: rule.Name, When: rule.When}
	}
	return rules.Compile(sources)
}

// indexNames fills the maps of classes and targets and the list of models.
func (c *core) indexNames() {
	c.classes = make(map[types.ClassName]Class, len(c.document.Classes))
	for _, class := range c.document.Classes {
		c.classes[class.Name] = class
	}
	c.targets = make(map[types.TargetName]Target, len(c.document.Targets))
	for _, target := range c.document.Targets {
		c.targets[target.Name] = target
		if target.Kind == EngineTarget {
			c.models = append(c.models, target.Model)
		}
	}
	slices.Sort(c.models)
	c.models = slices.Compact(c.models)
}

// indexUpstreams fills the maps of upstreams and pools.
func (c *core) indexUpstreams() {
	c.upstreams = make(map[types.UpstreamID]Upstream, len(c.document.Upstreams))
	c.pools = map[types.PoolID][]Upstream{}
	c.byTarget = map[types.TargetName][]types.PoolID{}
	for _, upstream := range c.document.Upstreams {
		c.upstreams[upstream.ID] = upstream
		pool := types.PoolID{Target: upstream.Target, DataCentre: upstream.DataCentre}
		c.pools[pool] = append(c.pools[pool], upstream)
	}
	for pool, upstreams := range c.pools {
		slices.SortFunc(upstreams, compareUpstreams)
		c.byTarget[pool.Target] = append(c.byTarget[pool.Target], pool)
	}
	for _, pools := range c.byTarget {
		slices.SortFunc(pools, comparePools)
	}
}
