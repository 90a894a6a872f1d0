package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// MinTier is the lowest tier.
	MinTier types.Tier = 0
	// MaxTier is the highest tier.
	MaxTier types.Tier = 15
	// maxNameBytes bounds names and IDs.
	maxNameBytes = 128
	// maxDuration bounds every duration: one day.
	maxDuration Milliseconds = 24 * 60 * 60 * 1000
	// maxConcurrent bounds the requests running at once on one upstream.
	maxConcurrent = 100_000
	// maxFloorStarts bounds the starts of a floor.
	maxFloorStarts = 10_000
)

// Validate checks the meaning of a whole document and lists every problem, with
// lines when the document came from Parse. The failure has code
// InvalidConfiguration.
func Validate(document *Document) error {
	problems := checkCore(document)
	problems = append(problems, checkAccounts(document.Accounts)...)
	locate(document.source, problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return invalid(problems)
}

// checkCore checks everything but the accounts.
func checkCore(document *Document) []Problem {
	c := &checker{
		classes: map[types.ClassName]bool{},
		targets: map[types.TargetName]Target{},
	}
	c.checkPresent(document)
	for i, class := range document.Classes {
		c.checkClass(i, class)
	}
	for i, target := range document.Targets {
		c.checkTarget(i, target)
	}
	c.checkRules(document.Rules)
	c.checkUpstreams(document.Upstreams)
	c.checkFloors(document)
	return c.problems
}

// checker collects problems and the names that other items refer to.
type checker struct {
	problems []Problem
	classes  map[types.ClassName]bool
	targets  map[types.TargetName]Target
}

// item is the place of one item, for the problems that are found in it.
type item struct {
	checker *checker
	section Section
	index   int
	name    string
}

// problem adds a problem of one field.
func (i item) problem(field, format string, values ...any) {
	i.checker.problems = append(i.checker.problems, Problem{
		Section: i.section,
		Index:   i.index,
		Item:    i.name,
		Field:   field,
		Message: fmt.Sprintf(format, values...),
	})
}

// name checks a name or ID.
func (i item) checkName(field string) {
	if i.name == "" {
		i.problem(field, "is required")
	}
	if len(i.name) > maxNameBytes {
		i.problem(field, "has %d bytes, at most %d are allowed", len(i.name), maxNameBytes)
	}
}

// between checks that the value lies in the inclusive range.
func between[N int | int64 | float64 | Milliseconds | types.Tier](i item, field string, value, low, high N) {
	if value < low || value > high {
		i.problem(field, "is %v, allowed are %v to %v", value, low, high)
	}
}

// checkPresent refuses a document without the lists that every request needs.
func (c *checker) checkPresent(document *Document) {
	present := map[Section]int{
		Classes: len(document.Classes),
		Rules:   len(document.Rules),
		Targets: len(document.Targets),
	}
	for _, section := range []Section{Classes, Rules, Targets} {
		if present[section] == 0 {
			c.problems = append(c.problems, Problem{Section: section, Index: -1, Message: "at least one is required"})
		}
	}
}

// checkClass checks one class.
func (c *checker) checkClass(index int, class Class) {
	at := item{checker: c, section: Classes, index: index, name: string(class.Name)}
	at.checkName("name")
	if c.classes[class.Name] {
		at.problem("name", "is in use by an earlier class")
	}
	c.classes[class.Name] = true
	between(at, "tier", class.Tier, MinTier, MaxTier)
	between(at, "first_token_ms", class.FirstToken, 0, maxDuration)
	between(at, "between_tokens_ms", class.BetweenTokens, 0, maxDuration)
	between(at, "deadline_ms", class.Deadline, 1, maxDuration)
	if class.FirstToken > class.Deadline {
		at.problem("first_token_ms", "is %d, above deadline_ms %d", class.FirstToken, class.Deadline)
	}
	between(at, "floor.starts", class.Floor.Starts, 1, maxFloorStarts)
	between(at, "floor.interval_ms", class.Floor.Interval, 1, maxDuration)
}

// checkTarget checks one target.
func (c *checker) checkTarget(index int, target Target) {
	at := item{checker: c, section: Targets, index: index, name: string(target.Name)}
	at.checkName("name")
	if _, ok := c.targets[target.Name]; ok {
		at.problem("name", "is in use by an earlier target")
	}
	c.targets[target.Name] = target
	switch target.Kind {
	case EngineTarget:
		requireOne(at, "model", target.Model, "service", target.Service)
	case ServiceTarget:
		requireOne(at, "service", target.Service, "model", target.Model)
	default:
		at.problem("kind", "is %q, allowed are %q and %q", target.Kind, EngineTarget, ServiceTarget)
	}
}

// requireOne checks that the field of the kind is there and the other is not.
func requireOne(at item, field, value, other, otherValue string) {
	if value == "" {
		at.problem(field, "is required for this kind")
	}
	if otherValue != "" {
		at.problem(other, "is not allowed for this kind")
	}
}

// checkRules checks the rule list.
func (c *checker) checkRules(list []Rule) {
	names := map[string]bool{}
	for index, rule := range list {
		at := item{checker: c, section: Rules, index: index, name: rule.Name}
		at.checkName("name")
		if names[rule.Name] {
			at.problem("name", "is in use by an earlier rule")
		}
		names[rule.Name] = true
		if err := rules.Check(rule.When); err != nil {
			at.problem("when", "%s", rules.Reason(err))
		}
		if !c.classes[rule.Class] {
			at.problem("class", "no class is named %q", rule.Class)
		}
		if _, ok := c.targets[rule.Target]; !ok {
			at.problem("target", "no target is named %q", rule.Target)
		}
		if rule.Tier != nil {
			between(at, "tier", *rule.Tier, MinTier, MaxTier)
		}
	}
}
