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
	// maxNameBytes is the maximum length of names and IDs.
	maxNameBytes = 128
	// maxDuration is the maximum of every duration: one day.
	maxDuration Milliseconds = 24 * 60 * 60 * 1000
	// maxConcurrent is the maximum concurrency limit of an upstream or account.
	maxConcurrent = 100_000
	// maxFloorStarts is the maximum number of starts of a floor.
	maxFloorStarts = 10_000
)

// Validate checks the values of a whole document. The error has code
// InvalidConfiguration and lists every problem, with line numbers if the document
// was returned by Parse.
func Validate(document *Document) error {
	problems := checkCore(document)
	problems = append(problems, checkAccounts(document.Accounts)...)
	fillLines(document.source, problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return invalidError(problems)
}

// checkCore checks everything except the accounts.
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

// checker collects problems, and the names that other items refer to.
type checker struct {
	problems []Problem
	classes  map[types.ClassName]bool
	targets  map[types.TargetName]Target
}

// itemRef identifies one item of a document in its problems.
type itemRef struct {
	checker *checker
	section Section
	index   int
	name    string
}

// addProblem adds a problem of one field.
func (i itemRef) addProblem(field, format string, values ...any) {
	i.checker.problems = append(i.checker.problems, Problem{
		Section: i.section,
		Index:   i.index,
		Item:    i.name,
		Field:   field,
		Message: fmt.Sprintf(format, values...),
	})
}

// checkName checks the name or ID of the item.
func (i itemRef) checkName(field string) {
	if i.name == "" {
		i.addProblem(field, "is required")
	}
	if len(i.name) > maxNameBytes {
		i.addProblem(field, "has %d bytes, at most %d are allowed", len(i.name), maxNameBytes)
	}
}

// checkRange checks that the value is in the inclusive range.
func checkRange[N int | int64 | float64 | Milliseconds | types.Tier](i itemRef, field string, value, low, high N) {
	if value < low || value > high {
		i.addProblem(field, "is %v, allowed are %v to %v", value, low, high)
	}
}

// checkPresent rejects a document without classes, rules or targets, which every
// request needs.
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
	at := itemRef{checker: c, section: Classes, index: index, name: string(class.Name)}
	at.checkName("name")
	if c.classes[class.Name] {
		at.addProblem("name", "is in use by an earlier class")
	}
	c.classes[class.Name] = true
	checkRange(at, "tier", class.Tier, MinTier, MaxTier)
	checkRange(at, "first_token_ms", class.FirstToken, 0, maxDuration)
	checkRange(at, "between_tokens_ms", class.InterTokenLatency, 0, maxDuration)
	checkRange(at, "deadline_ms", class.Deadline, 1, maxDuration)
	if class.FirstToken > class.Deadline {
		at.addProblem("first_token_ms", "is %d, above deadline_ms %d", class.FirstToken, class.Deadline)
	}
	checkRange(at, "floor.starts", class.Floor.Starts, 1, maxFloorStarts)
	checkRange(at, "floor.interval_ms", class.Floor.Interval, 1, maxDuration)
}

// checkTarget checks one target.
func (c *checker) checkTarget(index int, target Target) {
	at := itemRef{checker: c, section: Targets, index: index, name: string(target.Name)}
	at.checkName("name")
	if _, ok := c.targets[target.Name]; ok {
		at.addProblem("name", "is in use by an earlier target")
	}
	c.targets[target.Name] = target
	switch target.Kind {
	case EngineTarget:
		requireOne(at, "model", target.Model, "service", target.Service)
	case ServiceTarget:
		requireOne(at, "service", target.Service, "model", target.Model)
	default:
		at.addProblem("kind", "is %q, allowed are %q and %q", target.Kind, EngineTarget, ServiceTarget)
	}
}

// requireOne checks that the field that the kind requires is set and the other is
// not.
func requireOne(at itemRef, field, value, other, otherValue string) {
	if value == "" {
		at.addProblem(field, "is required for this kind")
	}
	if otherValue != "" {
		at.addProblem(other, "is not allowed for this kind")
	}
}

// checkRules checks all rules.
func (c *checker) checkRules(list []Rule) {
	names := map[string]bool{}
	for index, rule := range list {
		at := itemRef{checker: c, section: Rules, index: index, name: rule.Name}
		at.checkName("name")
		if names[rule.Name] {
			at.addProblem("name", "is in use by an earlier rule")
		}
		names[rule.Name] = true
		if err := rules.Check(rule.When); err != nil {
			at.addProblem("when", "%s", rules.Reason(err))
		}
		if !c.classes[rule.Class] {
			at.addProblem("class", "no class is named %q", rule.Class)
		}
		if _, ok := c.targets[rule.Target]; !ok {
			at.addProblem("target", "no target is named %q", rule.Target)
		}
		if rule.Tier != nil {
			checkRange(at, "tier", *rule.Tier, MinTier, MaxTier)
		}
	}
}
