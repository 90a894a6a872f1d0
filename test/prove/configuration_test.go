package prove

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// relayFleetSize is the number of instances of a proof.
	relayFleetSize = 12
	// faultSteps is the number of random steps of one run.
	faultSteps = 30
)

// TestProveConfiguration runs many relays through random faults and checks that
// an accepted configuration is in force everywhere within the bound and never
// reverts.
func TestProveConfiguration(t *testing.T) {
	var total result
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newRelayFleet(t, seed, relayFleetSize)
			fleet.run()
			total.add(fleet.verdict(seed))
		})
	}
	report(t, "configuration", total)
}

// run starts the fleet and takes it through random steps.
func (f *relayFleet) run() {
	defer f.close()
	if f.random.IntN(2) == 0 {
		f.network.SetLoss(0.05)
	}
	f.publish()
	for _, row := range f.rows {
		f.start(row)
	}
	f.advance(2 * configurationBound)
	for range faultSteps {
		f.step()
		f.advance(viewLag)
		f.spreadViews()
		f.advance(time.Duration(f.random.IntN(20)) * time.Second)
	}
	f.setDown(false)
	f.healReaders()
	f.heal()
	f.spreadViews()
	f.advance(2 * configurationBound)
}

// step makes one random change or fault.
func (f *relayFleet) step() {
	f.faults++
	switch f.random.IntN(14) {
	case 0, 1:
		f.publish()
	case 2:
		f.publishBad()
	case 3:
		f.race()
	case 4:
		f.setDown(!f.down)
	case 5:
		f.cutReaders(false)
	case 6:
		f.cutReaders(true)
	case 7:
		f.healReaders()
	case 8:
		f.togglePartition()
	case 9:
		f.restart()
	case 10:
		f.fork()
	case 11:
		f.misleadReaders()
	case 12:
		f.restartAlone()
	case 13:
		f.toggleSlow()
	}
}

// race lets operators publish one after the other at once, one of them badly.
func (f *relayFleet) race() {
	f.publish()
	f.publishBad()
	f.publish()
}

// togglePartition splits the fleet or joins it again.
func (f *relayFleet) togglePartition() {
	if len(f.group) > 0 {
		f.heal()
	} else {
		f.partition()
	}
}

// misleadReaders keeps every instance that waits at the service from it, or
// leads them all to a replica that stays at the revision of now, and publishes.
func (f *relayFleet) misleadReaders() {
	f.setDown(false)
	f.healReaders()
	stale := f.random.IntN(2) == 0
	for _, row := range f.rows {
		member, up := f.running[row.ID]
		if up && member.relay.Status().Reader {
			f.mislead(row, stale)
		}
	}
	f.publish()
}

// restartAlone replaces an instance that reaches a stale service and no other
// instance.
func (f *relayFleet) restartAlone() {
	f.heal()
	row := f.rows[f.random.IntN(len(f.rows))]
	f.isolate(row)
	f.restartOf(row)
}

// restart replaces an instance while its service is stale.
func (f *relayFleet) restart() {
	f.restartOf(f.rows[f.random.IntN(len(f.rows))])
}

// restartOf replaces the instance while its service is stale.
func (f *relayFleet) restartOf(row types.Instance) {
	f.stop(row)
	f.cut[row.ID] = true
	f.platform.SetStale(string(row.ID), f.accepted.revision-1)
	f.advance(time.Second)
	f.start(row)
}

// verdict checks the run and prints what is broken.
func (f *relayFleet) verdict(seed uint64) result {
	found := checkConfiguration(f.history)
	checkVerdicts(&found, f.log.Events())
	for i, violation := range found.violations {
		if i == 5 {
			f.t.Logf("seed %d: and %d more", seed, len(found.violations)-i)
			break
		}
		f.t.Logf("seed %d: %s", seed, violation)
	}
	return result{runs: 1, faults: f.faults, checked: found.checked, violations: len(found.violations)}
}

// checkVerdicts demands that no two instances differ on a revision: where one
// refuses a document, none has it in force, and all refuse it with one code.
func checkVerdicts(f *findings, events []timeline.Event) {
	applied := map[types.Revision]bool{}
	for _, event := range events {
		if event.Kind == timeline.ConfigApplied {
			applied[event.Revision] = true
		}
	}
	for _, event := range events {
		if event.Kind != timeline.ConfigRejected || event.Code != string(fault.InvalidConfiguration) {
			continue
		}
		f.expect(!applied[event.Revision], "%s refused revision %d, which is in force elsewhere", event.Instance, event.Revision)
	}
}

// TestConfigurationCheckerFlagsViolations gives the checker histories that
// break the promise.
func TestConfigurationCheckerFlagsViolations(t *testing.T) {
	old := configurationName{revision: 1, digest: "a"}
	next := configurationName{revision: 2, digest: "b"}
	for name, history := range violatingHistories(old, next) {
		t.Run(name, func(t *testing.T) {
			history.valid = map[configurationName]bool{old: true, next: true}
			if len(checkConfiguration(history).violations) == 0 {
				t.Error("not flagged")
			}
		})
	}
	events := []timeline.Event{
		{Kind: timeline.ConfigApplied, Instance: "i1", Revision: 3},
		{Kind: timeline.ConfigRejected, Instance: "i2", Revision: 3, Code: string(fault.InvalidConfiguration)},
	}
	var f findings
	if checkVerdicts(&f, events); len(f.violations) != 1 {
		t.Error("verdicts that differ: not flagged")
	}
}

// violatingHistories returns one history for each way to break the promise.
func violatingHistories(old, next configurationName) map[string]configurationHistory {
	one := func(incarnation types.Incarnation, inForce configurationName) instanceSample {
		return instanceSample{incarnation: incarnation, ready: true, inForce: inForce, reaches: true}
	}
	long := func(published configurationName, instances map[types.InstanceID]instanceSample) []fleetSample {
		samples := make([]fleetSample, boundSamples+1)
		for i := range samples {
			samples[i] = fleetSample{at: time.Duration(i) * samplePeriod, instances: instances, published: published}
		}
		return samples
	}
	reverted := []fleetSample{
		{instances: map[types.InstanceID]instanceSample{"i1": one("a", next)}},
		{instances: map[types.InstanceID]instanceSample{"i1": one("a", old)}},
	}
	restarted := append(long(next, map[types.InstanceID]instanceSample{"i1": one("a", next)}),
		fleetSample{instances: map[types.InstanceID]instanceSample{"i1": one("b", old)}})
	unknown := configurationName{revision: 9, digest: "z"}
	return map[string]configurationHistory{
		"one life goes back":          {samples: reverted},
		"a replaced instance reverts": {samples: restarted},
		"not valid":                   {samples: []fleetSample{{instances: map[types.InstanceID]instanceSample{"i1": one("a", unknown)}}}},
		"late from the service":       {samples: long(next, map[types.InstanceID]instanceSample{"i1": one("a", old)})},
		"late from a peer":            {samples: long(old, map[types.InstanceID]instanceSample{"i1": one("a", old), "i2": one("b", next)})},
	}
}
