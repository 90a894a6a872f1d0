package quarantine

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// variants are the histories with a guilty part at eight instances.
var variants = map[string]func(*scenario){
	"sound answers before":        func(*scenario) {},
	"no sound answer before":      func(s *scenario) { s.begin = 0 },
	"parts seen mostly together":  func(s *scenario) { s.begin = 0; s.together = 0.9 },
	"one middle part":             func(s *scenario) { s.begin = 0; s.middles = 1 },
	"a third of the reports lost": func(s *scenario) { s.loss = 0.3 },
	"upstreams back after 4 s":    func(s *scenario) { s.downtime = 4 * time.Second },
	"unrelated crashes":           func(s *scenario) { s.kills = killPlan{single: 10, massive: 2} },
	"unrelated crashes at begin":  func(s *scenario) { s.begin = 0; s.kills = killPlan{single: 10, massive: 2} },
	"rolling crashes":             func(s *scenario) { s.kills = killPlan{rolling: 2 * time.Second} },
	"restarts without state":      func(s *scenario) { s.restarts = 20 },
	"a flood of parts":            func(s *scenario) { s.unique = 8 },
	"two minutes":                 func(s *scenario) { s.length = 2 * time.Minute },
	"a sound part turns":          func(s *scenario) { s.turns, s.upstreams = true, 24 },
	"slow answers":                func(s *scenario) { s.answer = 3 * time.Second },
}

const (
	variantSeeds = 8
	trialSeeds   = 2
)

func TestGuiltyPartIsStoppedAndSoundRequestsPass(t *testing.T) {
	for name := range variants {
		t.Run(name, func(t *testing.T) {
			checkHistories(t, variantSeeds, stated, func(seed uint64) scenario { return variant(name, seed) })
		})
	}
}

// variant returns the history of one of the variants.
func variant(name string, seed uint64) scenario {
	s := calm(seed, 8)
	variants[name](&s)
	return s
}

// TestSoundPartsAreTriedSoon guards against sound parts that are refused long after the fifth
// crash, in histories that once exceeded the bound: because the parts of a request waited for their
// trials one after the other, or because an unrelated crash counted as much as that of the guilty
// part.
func TestSoundPartsAreTriedSoon(t *testing.T) {
	for name, seeds := range map[string][]uint64{"one middle part": {74, 259, 740}, "unrelated crashes at begin": {99, 560}} {
		for _, seed := range seeds {
			out := play(variant(name, seed))
			for _, violation := range out.violations(stated) {
				t.Errorf("%s, seed %d: %s: %+v", name, seed, violation, out)
			}
		}
	}
}

func TestGuiltyPartIsStoppedInLargeFleets(t *testing.T) {
	for instances, seeds := range map[int]uint64{61: 8, 350: 1} {
		checkHistories(t, seeds, stated, func(seed uint64) scenario { return calm(seed, instances) })
	}
}

// TestManyCrashesBeforeTheFirstAnswer checks a guilty part beside one unrelated crash each
// second, at a service whose answers take up to three seconds and that has given none yet.
func TestManyCrashesBeforeTheFirstAnswer(t *testing.T) {
	of := func(seed uint64) scenario {
		s := calm(seed, 8)
		s.begin, s.answer, s.kills.rolling = 0, 3*time.Second, time.Second
		return s
	}
	checkHistories(t, variantSeeds, limits{lateGuilty: of(0).limits().lateGuilty, refusedShare: 0.5}, of)
}

// checkHistories plays a scenario with several seeds and reports each violation. The variables
// SEED and RUNS select the first seed and the number of seeds, as in test/prove.
func checkHistories(t *testing.T, usual uint64, bounds limits, of func(seed uint64) scenario) {
	var total outcome
	first, seeds := environmentNumber(t, "SEED", 0), environmentNumber(t, "RUNS", usual)
	for n := range seeds {
		seed := first + n
		out := play(of(seed))
		for _, violation := range out.violations(bounds) {
			t.Errorf("seed %d: %s", seed, violation)
		}
		total.add(out)
	}
	t.Logf("%d histories: %+v", seeds, total)
}

// environmentNumber reads a non-negative integer from the environment variable.
func environmentNumber(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatalf("%s=%q is not a non-negative integer", name, text)
	}
	return n
}

func TestCrashesWithoutGuiltyPartRefuseNoOne(t *testing.T) {
	for name, kills := range map[string]killPlan{
		"single": {single: 40}, "massive": {massive: 8}, "rolling": {rolling: time.Second},
		"all": {single: 20, massive: 4, rolling: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			checkHistories(t, variantSeeds, stated, func(seed uint64) scenario {
				s := calm(seed, 8)
				s.guiltyShare, s.kills = 0, kills
				return s
			})
		})
	}
}

// TestPartitionedInstancesAgreeAfterwards checks that each group learns by itself and that
// nothing is learnt again after the partition.
func TestPartitionedInstancesAgreeAfterwards(t *testing.T) {
	for seed := range uint64(variantSeeds) {
		s := calm(seed, 8)
		s.partition = 10 * time.Second
		healed := s.begin + s.partition + time.Second
		passed := 0
		s.decide = func(table *Table, now time.Duration, parts []Fingerprint) bool {
			refused := refuses(table, now, parts)
			if now > healed && !refused && slices.Contains(parts, guiltyPart) {
				passed++
			}
			return refused
		}
		out := play(s)
		if passed > 3 || out.lateRefused*20 > out.lateSound {
			t.Errorf("seed %d: %d guilty requests after the partition, %+v", seed, passed, out)
		}
	}
}

// drawScenario draws a history from the ranges in which the bounds hold.
func drawScenario(t *rapid.T) scenario {
	s := calm(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 16).Draw(t, "instances"))
	s.upstreams = rapid.IntRange(4, 24).Draw(t, "upstreams")
	s.middles = rapid.IntRange(1, 8).Draw(t, "middles")
	s.together = rapid.Float64Range(0, 1).Draw(t, "together")
	s.begin = time.Duration(rapid.IntRange(0, 6).Draw(t, "begin")) * time.Second
	s.perSecond = rapid.IntRange(20, 60).Draw(t, "rate")
	s.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.3}).Draw(t, "loss")
	s.unique = rapid.IntRange(0, 4).Draw(t, "unique")
	s.kills.single = rapid.IntRange(0, 8).Draw(t, "kills")
	s.kills.massive = rapid.IntRange(0, 2).Draw(t, "massive")
	s.restarts = rapid.IntRange(0, 4).Draw(t, "restarts")
	return s
}

func TestPropertyGuiltyPartIsStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		out := play(s)
		if violations := out.violations(s.limits()); len(violations) > 0 {
			t.Fatalf("%v: %+v", violations, out)
		}
	})
}

// TestSoundPartsRecoverAfterSeparateCrashes guards against sound shared parts that are refused long
// after the fifth crash, in one history that TestPropertyGuiltyPartIsStopped drew.
func TestSoundPartsRecoverAfterSeparateCrashes(t *testing.T) {
	s := calm(0x2d, 12)
	s.upstreams, s.middles, s.together = 6, 5, 0.05430807735547205
	s.begin, s.perSecond, s.loss, s.unique = 0, 21, 0, 3
	s.kills = killPlan{single: 2, massive: 1}
	s.restarts = 3
	out := play(s)
	for _, violation := range out.violations(s.limits()) {
		t.Errorf("%s: %+v", violation, out)
	}
}

func TestPropertyCrashesWithoutGuiltyPartRefuseNoOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		s.guiltyShare = 0
		out := play(s)
		if violations := out.violations(s.limits()); len(violations) > 0 {
			t.Fatalf("%v: %+v", violations, out)
		}
	})
}

func TestCheckerFlagsBadHistories(t *testing.T) {
	always := calm(1, 8)
	always.decide = func(*Table, time.Duration, []Fingerprint) bool { return true }
	always.begin = time.Hour
	never := calm(1, 8)
	never.decide = func(*Table, time.Duration, []Fingerprint) bool { return false }
	wholeRoute := calm(1, 8)
	wholeRoute.decide = func(table *Table, now time.Duration, parts []Fingerprint) bool {
		_, convicted := table.PartCounts()
		return convicted > 0
	}
	for name, s := range map[string]scenario{"refuses all": always, "refuses nothing": never, "refuses the route": wholeRoute} {
		out := play(s)
		if violations := out.violations(stated); len(violations) == 0 {
			t.Errorf("%s: not flagged: %+v", name, out)
		}
	}
}

// TestTrialsCostFewCrashes counts the crashes of each trial of a guilty part, of which five
// requests come each second.
func TestTrialsCostFewCrashes(t *testing.T) {
	for _, instances := range []int{8, 61, 350} {
		var short, firm []int
		for seed := range uint64(trialSeeds) {
			s := calm(seed, instances)
			s.perSecond, s.guiltyShare, s.begin, s.immediate = 6, 5.0/6, 0, true
			s.length = 90 * time.Minute
			a, b := playTrials(s)
			short, firm = append(short, a...), append(firm, b...)
		}
		t.Logf("%d instances: %.2f crashes in each of %d trials after a short sentence, %.2f in each of %d others",
			instances, mean(short), len(short), mean(firm), len(firm))
		if mean(short) > float64(stated.lateGuilty) || mean(firm) > 1.5 {
			t.Errorf("%d instances: %v, %v", instances, short, firm)
		}
	}
}

// playTrials returns the requests that each trial let through, those of the trials after a
// short sentence first.
func playTrials(s scenario) (short, firm []int) {
	var passed []time.Duration
	s.decide = func(table *Table, now time.Duration, parts []Fingerprint) bool {
		refused := refuses(table, now, parts)
		if !refused && slices.Contains(parts, guiltyPart) {
			passed = append(passed, now)
		}
		return refused
	}
	play(s)
	begin := 0
	for i := 1; i <= len(passed); i++ {
		if i < len(passed) && passed[i]-passed[i-1] < shortSentence {
			continue
		}
		if begin > 0 && passed[begin]-passed[begin-1] < firmSentence {
			short = append(short, i-begin)
		} else if begin > 0 {
			firm = append(firm, i-begin)
		}
		begin = i
	}
	return short, firm
}

func mean(counts []int) float64 {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return float64(sum) / float64(max(len(counts), 1))
}
