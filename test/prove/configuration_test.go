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
	// relayFleetSize is the number of instances in the fleet.
	relayFleetSize = 12
	// faultSteps is the number of random faults and changes in one run.
	faultSteps = 30
)

// TestProveConfiguration runs relays under random faults and checks that an
// accepted configuration is in force everywhere within configurationBound and
// never reverts.
func TestProveConfiguration(t *testing.T) {
	var total result
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newRelayFleet(t, seed, relayFleetSize)
			fleet.run()
			total.add(fleet.checkRun(seed))
		})
	}
	report(t, "configuration", total)
}

// run starts the fleet, applies random steps and lets the fleet recover.
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
		f.advance(viewDelay)
		f.updateViews()
		f.advance(time.Duration(f.random.IntN(20)) * time.Second)
	}
	f.setDown(false)
	f.healReaders()
	f.heal()
	f.updateViews()
	f.advance(2 * configurationBound)
}

// step applies one random change or fault.
func (f *relayFleet) step() {
	f.faults++
	switch f.random.IntN(14) {
	case 0, 1:
		f.publish()
	case 2:
		f.publishInvalid()
	case 3:
		f.publishBurst()
	case 4:
		f.setDown(!f.serviceDown)
	case 5:
		f.degradeRandomReaders(false)
	case 6:
		f.degradeRandomReaders(true)
	case 7:
		f.healReaders()
	case 8:
		f.togglePartition()
	case 9:
		f.restartRandom()
	case 10:
		f.fork()
	case 11:
		f.degradeActiveReaders()
	case 12:
		f.restartIsolated()
	case 13:
		f.toggleSlow()
	}
}

// publishBurst publishes three documents in immediate succession, the second one
// invalid.
func (f *relayFleet) publishBurst() {
	f.publish()
	f.publishInvalid()
	f.publish()
}

// togglePartition starts a partition or heals the present one.
func (f *relayFleet) togglePartition() {
	if len(f.group) > 0 {
		f.heal()
	} else {
		f.partition()
	}
}

// degradeActiveReaders heals the service, degrades every instance that watches it
// for its data centre and then publishes a document. Either all of these instances
// are cut off or all read a stale replica.
func (f *relayFleet) degradeActiveReaders() {
	f.setDown(false)
	f.healReaders()
	stale := f.random.IntN(2) == 0
	for _, row := range f.rows {
		member, up := f.running[row.ID]
		if up && member.relay.Status().Reader {
			f.degradeReader(row, stale)
		}
	}
	f.publish()
}

// restartIsolated restarts a random instance that reaches only a stale service and
// no other instance.
func (f *relayFleet) restartIsolated() {
	f.heal()
	row := f.rows[f.random.IntN(len(f.rows))]
	f.isolate(row)
	f.restartInstance(row)
}

// restartRandom restarts a random instance.
func (f *relayFleet) restartRandom() {
	f.restartInstance(f.rows[f.random.IntN(len(f.rows))])
}

// restartInstance restarts the instance with a service replica that is one revision
// behind.
func (f *relayFleet) restartInstance(row types.Instance) {
	f.stop(row)
	f.degraded[row.ID] = true
	f.platform.SetStale(string(row.ID), f.accepted.revision-1)
	f.advance(time.Second)
	f.start(row)
}

// checkRun checks the history of the run and logs the first violations.
func (f *relayFleet) checkRun(seed uint64) result {
	found := checkConfiguration(f.history)
	checkAgreement(&found, f.log.Events())
	for i, violation := range found.violations {
		if i == 5 {
			f.t.Logf("seed %d: %d more violations", seed, len(found.violations)-i)
			break
		}
		f.t.Logf("seed %d: %s", seed, violation)
	}
	return result{runs: 1, faults: f.faults, checked: found.checked, violations: len(found.violations)}
}

// checkAgreement checks that instances agree on the validity of a revision: if one
// rejects it as invalid, no instance has it in force.
func checkAgreement(f *findings, events []timeline.Event) {
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
		f.expect(!applied[event.Revision], "%s rejected revision %d, which another instance applied", event.Instance, event.Revision)
	}
}

// TestConfigurationCheckerFlagsViolations checks that the checker reports histories
// that break the promise.
func TestConfigurationCheckerFlagsViolations(t *testing.T) {
	old := configurationVersion{revision: 1, digest: "a"}
	next := configurationVersion{revision: 2, digest: "b"}
	for name, history := range violatingHistories(old, next) {
		t.Run(name, func(t *testing.T) {
			history.valid = map[configurationVersion]bool{old: true, next: true}
			if len(checkConfiguration(history).violations) == 0 {
				t.Error("the checker reported no violation")
			}
		})
	}
	events := []timeline.Event{
		{Kind: timeline.ConfigApplied, Instance: "i1", Revision: 3},
		{Kind: timeline.ConfigRejected, Instance: "i2", Revision: 3, Code: string(fault.InvalidConfiguration)},
	}
	var f findings
	if checkAgreement(&f, events); len(f.violations) != 1 {
		t.Error("checkAgreement did not report a revision that one instance rejected and another applied")
	}
}

// violatingHistories returns one history for each way to break the promise.
func violatingHistories(old, next configurationVersion) map[string]configurationHistory {
	one := func(incarnation types.Incarnation, inForce configurationVersion) instanceSample {
		return instanceSample{incarnation: incarnation, ready: true, inForce: inForce, reachesService: true}
	}
	long := func(published configurationVersion, instances map[types.InstanceID]instanceSample) []fleetSample {
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
	unknown := configurationVersion{revision: 9, digest: "z"}
	return map[string]configurationHistory{
		"one incarnation reverts":      {samples: reverted},
		"a restarted instance reverts": {samples: restarted},
		"not valid":                    {samples: []fleetSample{{instances: map[types.InstanceID]instanceSample{"i1": one("a", unknown)}}}},
		"late from the service":        {samples: long(next, map[types.InstanceID]instanceSample{"i1": one("a", old)})},
		"late from a peer":             {samples: long(old, map[types.InstanceID]instanceSample{"i1": one("a", old), "i2": one("b", next)})},
	}
}
