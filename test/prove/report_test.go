// Package prove checks the promises of the router on recorded histories of
// concurrent runs with seeded faults.
package prove

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// defaultRuns is the number of seeds that each test runs unless RUNS is set.
const defaultRuns = 3

// firstSeed is the first seed of each test unless SEED is set.
const firstSeed = 1

// result holds the counts of one test over all its seeds.
type result struct {
	// runs counts seeds, faults the injected faults, checked the facts that the
	// checker checked, and violations those that did not hold.
	runs, faults, checked, violations int
}

// add adds the counts of another run.
func (r *result) add(other result) {
	r.runs += other.runs
	r.faults += other.faults
	r.checked += other.checked
	r.violations += other.violations
}

// seeds returns the seeds to run: SEED, SEED+1, … for RUNS of them.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	first := environmentNumber(t, "SEED", firstSeed)
	runs := environmentNumber(t, "RUNS", defaultRuns)
	list := make([]uint64, 0, runs)
	for i := range runs {
		list = append(list, uint64(first+i))
	}
	return list
}

// environmentNumber reads a non-negative integer from the environment variable.
func environmentNumber(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		t.Fatalf("%s=%q is not a non-negative integer", name, text)
	}
	return n
}

// report logs the result line of a promise, appends it to the file that PROVE_OUT
// names, and fails the test on a violation or if nothing was checked.
func report(t *testing.T, promise string, r result) {
	t.Helper()
	line := fmt.Sprintf("prove %s runs=%d faults=%d checked=%d violations=%d",
		promise, r.runs, r.faults, r.checked, r.violations)
	t.Log(line)
	appendLine(t, line)
	if r.violations > 0 {
		t.Errorf("%s: %d violations", promise, r.violations)
	}
	if r.runs > 0 && r.checked == 0 {
		t.Errorf("%s: nothing was checked", promise)
	}
}

// appendLine adds the line to the file that PROVE_OUT names, if set.
func appendLine(t *testing.T, line string) {
	t.Helper()
	path := os.Getenv("PROVE_OUT")
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := fmt.Fprintln(file, line); err != nil {
		t.Fatal(err)
	}
}
