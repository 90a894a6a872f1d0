package config

import (
	"maps"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// poolPlaces returns the places of each target's smallest pool.
func poolPlaces(document *Document) map[types.TargetName]int {
	pools := map[types.PoolID]int{}
	for _, upstream := range document.Upstreams {
		pools[types.PoolID{Target: upstream.Target, DataCentre: upstream.DataCentre}] += upstream.MaxConcurrent
	}
	smallest := map[types.TargetName]int{}
	for pool, places := range pools {
		if known, ok := smallest[pool.Target]; !ok || places < known {
			smallest[pool.Target] = places
		}
	}
	return smallest
}

// targetClasses returns the classes that the rules lead to each target.
func targetClasses(document *Document) map[types.TargetName][]Class {
	result := map[types.TargetName][]Class{}
	for _, class := range document.Classes {
		for _, target := range classTargets(document.Rules, class.Name) {
			result[target] = append(result[target], class)
		}
	}
	return result
}

// classTargets returns the targets that the rules lead the class to.
func classTargets(list []Rule, class types.ClassName) []types.TargetName {
	var targets []types.TargetName
	for _, rule := range list {
		if rule.Class == class && !slices.Contains(targets, rule.Target) {
			targets = append(targets, rule.Target)
		}
	}
	return targets
}

// checkFloors refuses floors whose starts, due at once as after a failover, do
// not fit the smallest pool of the target.
func (c *checker) checkFloors(document *Document) {
	places := poolPlaces(document)
	classes := targetClasses(document)
	for index, target := range document.Targets {
		starts := 0
		for _, class := range classes[target.Name] {
			starts += class.Floor.Starts
		}
		if available, ok := places[target.Name]; ok && starts > available {
			at := item{checker: c, section: Targets, index: index, name: string(target.Name)}
			at.problem("", "the floors of its classes start %d requests at once, its smallest pool has %d places", starts, available)
		}
	}
}

// Warnings lists what instances accept but operators should know: floors that
// cannot be kept where every request lasts until its deadline. The document
// must be valid.
func Warnings(document *Document) []Problem {
	c := &checker{}
	places := poolPlaces(document)
	classes := targetClasses(document)
	for index, target := range document.Targets {
		needed := 0.0
		for _, class := range classes[target.Name] {
			needed += placesOfFloor(class)
		}
		if available, ok := places[target.Name]; ok && needed > float64(available) {
			at := item{checker: c, section: Targets, index: index, name: string(target.Name)}
			at.problem("", "the floors of its classes take %.0f places while requests last until their deadline, its smallest pool has %d", needed, available)
		}
	}
	c.warnOfEmptyTargets(document, places)
	locate(document.source, c.problems)
	return c.problems
}

// placesOfFloor returns the places that the floor's starts occupy, by Little's
// law, while each request lasts until its deadline.
func placesOfFloor(class Class) float64 {
	if class.Floor.Interval == 0 {
		return 0
	}
	return float64(class.Floor.Starts) * float64(class.Deadline) / float64(class.Floor.Interval)
}

// warnOfEmptyTargets warns of targets that rules lead to and that have no
// upstream.
func (c *checker) warnOfEmptyTargets(document *Document, places map[types.TargetName]int) {
	used := slices.Sorted(maps.Keys(targetClasses(document)))
	for index, target := range document.Targets {
		if _, served := places[target.Name]; !served && slices.Contains(used, target.Name) {
			at := item{checker: c, section: Targets, index: index, name: string(target.Name)}
			at.problem("", "has no upstream")
		}
	}
}
