package prove

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// leavingLimit is how long a leaving upstream may still receive new work.
const leavingLimit = 5 * time.Second

// generateRequests sends requests to the instance at random times, on average one
// in each interval.
func (f *fleet) generateRequests(i *fleetInstance, length, interval time.Duration) {
	var pauses []time.Duration
	for at := time.Duration(0); at < length; {
		pause := f.randomDuration(0, 2*interval)
		pauses = append(pauses, pause)
		at += pause
	}
	serviceTimes := make([]time.Duration, len(pauses))
	for n := range serviceTimes {
		serviceTimes[n] = f.randomDuration(50*time.Millisecond, 900*time.Millisecond)
	}
	f.callers.Go(func() {
		for n, pause := range pauses {
			time.Sleep(pause)
			id := types.RequestID(fmt.Sprintf("%s-%d", i.row.ID, n))
			f.callers.Go(func() { i.serve(id, serviceTimes[n]) })
		}
	})
}

// scheduleLeavingFaults schedules random faults around leaveAt, the time at which
// the upstream starts leaving.
func (f *fleet) scheduleLeavingFaults(leaveAt time.Duration) {
	near := func() time.Duration { return f.randomDuration(leaveAt-3*time.Second, leaveAt+3*time.Second) }
	names := make([]string, len(f.rows))
	for n, row := range f.rows {
		names[n] = string(row.ID)
	}
	if f.random.IntN(2) == 0 {
		f.after(near(), func() { f.platform.Disconnect(names...) })
	}
	if f.random.IntN(2) == 0 {
		cut := f.rows[f.random.IntN(len(f.rows))].PeerAddress
		f.after(near(), func() { f.network.Partition([]string{cut}) })
		if f.random.IntN(2) == 0 {
			f.after(f.randomDuration(leaveAt+10*time.Second, leaveAt+20*time.Second), f.network.Heal)
		}
	}
	if f.random.IntN(2) == 0 {
		victim := f.instances[f.random.IntN(len(f.instances))]
		f.after(f.randomDuration(leaveAt, leaveAt+15*time.Second), victim.terminate)
	}
	for _, i := range f.instances {
		// Some instances never receive the configuration without the upstream.
		if f.random.IntN(3) > 0 {
			continue
		}
		f.after(f.randomDuration(leaveAt, leaveAt+30*time.Second), func() { _ = i.store.Apply(f.snapshots[1]) })
	}
}

// TestLeaving checks that a leaving upstream receives no new work after
// leavingLimit, while the instance list and the configuration are late or
// unreachable, an instance is partitioned from its peers, and instances are killed.
func TestLeaving(t *testing.T) {
	const length = 60 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			leavingID := types.UpstreamID("lac-engine-0")
			f := newFleet(t, seed, 6, leavingID)
			leaveAt := f.randomDuration(8*time.Second, 20*time.Second)
			for _, i := range f.instances {
				// Some instances receive requests only rarely.
				interval := []time.Duration{200 * time.Millisecond, 2 * time.Second, 8 * time.Second}[f.random.IntN(3)]
				f.generateRequests(i, length, interval)
			}
			lag := f.randomDuration(0, 1500*time.Millisecond)
			f.after(leaveAt, func() { f.upstreams[leavingID].leave(lag) })
			f.scheduleLeavingFaults(leaveAt)
			f.finish()
			violations, checked := history.Leaving(f.log.all(), leavingLimit)
			for _, v := range violations {
				t.Logf("seed %d: %s", seed, v)
			}
			sum.add(result{runs: 1, faults: f.faults, checked: checked, violations: len(violations)})
		})
	}
	report(t, "leaving", sum)
}
