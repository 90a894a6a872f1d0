package config

import (
	"maps"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// smallestPoolCapacity returns the capacity of each target's smallest pool, in
// concurrent requests.
func smallestPoolCapacity(document *Document) map[types.TargetName]int {
	pools := map[types.PoolID]int{}
	for _, upstream := range document.Upstreams {
		pools[types.PoolID{Target: upstream.Target, DataCentre: upstream.DataCentre}] += upstream.MaxConcurrent
	}
	smallest := map[types.TargetName]int{}
	for pool, capacity := range pools {
		if known, ok := smallest[pool.Target]; !ok || capacity < known {
			smallest[pool.Target] = capacity
		}
	}
	return smallest
}

// targetClasses returns the classes that rules route to each target.
func targetClasses(document *Document) map[types.TargetName][]Class {
	result := map[types.TargetName][]Class{}
	for _, class := range document.Classes {
		for _, target := range classTargets(document.Rules, class.Name) {
			result[target] = append(result[target], class)
		}
	}
	return result
}

// classTargets returns the targets that rules route the class to.
func classTargets(list []Rule, class types.ClassName) []types.TargetName {
	var targets []types.TargetName
	for _, rule := range list {
		if rule.Class == class && !slices.Contains(targets, rule.Target) {
			targets = append(targets, rule.Target)
		}
	}
	return targets
}

// checkFloors rejects floors whose combined starts exceed the capacity of the
// target's smallest pool. After a failover all starts may be due at once.
func (c *checker) checkFloors(document *Document) {
	capacity := smallestPoolCapacity(document)
	classes := targetClasses(document)
	for index, target := range document.Targets {
		starts := 0
		for _, class := range classes[target.Name] {
			starts += class.Floor.Starts
		}
		if available, ok := capacity[target.Name]; ok && starts > available {
			at := itemRef{checker: c, section: Targets, index: index, name: string(target.Name)}
			at.addProblem("", "the floors of its classes start %d requests at once, its smallest pool has %d places", starts, available)
		}
	}
}

// Warnings returns problems that instances accept: floors that cannot be met if
// every request runs until its deadline, and targets without upstreams. The
// document must be valid.
func Warnings(document *Document) []Problem {
	c := &checker{}
	capacity := smallestPoolCapacity(document)
	classes := targetClasses(document)
	for index, target := range document.Targets {
		needed := 0.0
		for _, class := range classes[target.Name] {
			needed += floorConcurrency(class)
		}
		if available, ok := capacity[target.Name]; ok && needed > float64(available) {
			at := itemRef{checker: c, section: Targets, index: index, name: string(target.Name)}
			at.addProblem("", "the floors of its classes take %.0f places while requests last until their deadline, its smallest pool has %d", needed, available)
		}
	}
	c.warnEmptyTargets(document, capacity)
	fillLines(document.source, c.problems)
	return c.problems
}

// floorConcurrency returns the mean number of concurrent requests of the class's
// floor, by Little's law, if each request runs until its deadline.
func floorConcurrency(class Class) float64 {
	if class.Floor.Interval == 0 {
		return 0
	}
	return float64(class.Floor.Starts) * float64(class.Deadline) / float64(class.Floor.Interval)
}

// warnEmptyTargets warns about targets that rules route to and that have no
// upstream.
func (c *checker) warnEmptyTargets(document *Document, capacity map[types.TargetName]int) {
	used := slices.Sorted(maps.Keys(targetClasses(document)))
	for index, target := range document.Targets {
		if _, served := capacity[target.Name]; !served && slices.Contains(used, target.Name) {
			at := itemRef{checker: c, section: Targets, index: index, name: string(target.Name)}
			at.addProblem("", "has no upstream")
		}
	}
}
