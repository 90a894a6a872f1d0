package prove

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// leavingLimit is how long a leaving upstream may still be sent new work.
const leavingLimit = 5 * time.Second

// trickle lets requests arrive at the instance at random, about one in each
// interval.
func (f *fleet) trickle(i *fleetInstance, length, interval time.Duration) {
	var pauses []time.Duration
	for at := time.Duration(0); at < length; {
		pause := f.within(0, 2*interval)
		pauses = append(pauses, pause)
		at += pause
	}
	holds := make([]time.Duration, len(pauses))
	for n := range holds {
		holds[n] = f.within(50*time.Millisecond, 900*time.Millisecond)
	}
	f.callers.Go(func() {
		for n, pause := range pauses {
			time.Sleep(pause)
			id := types.RequestID(fmt.Sprintf("%s-%d", i.row.ID, n))
			f.callers.Go(func() { i.serve(id, holds[n]) })
		}
	})
}

// leavingFaults draws the faults around the moment at which the upstream leaves.
func (f *fleet) leavingFaults(moment time.Duration) {
	near := func() time.Duration { return f.within(moment-3*time.Second, moment+3*time.Second) }
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
			f.after(f.within(moment+10*time.Second, moment+20*time.Second), f.network.Heal)
		}
	}
	if f.random.IntN(2) == 0 {
		victim := f.instances[f.random.IntN(len(f.instances))]
		f.after(f.within(moment, moment+15*time.Second), victim.end)
	}
	for _, i := range f.instances {
		// Some never hear of the configuration without the upstream.
		if f.random.IntN(3) > 0 {
			continue
		}
		f.after(f.within(moment, moment+30*time.Second), func() { _ = i.store.Apply(f.snapshots[1]) })
	}
}

// TestLeaving proves that an upstream that is leaving receives no new work
// after a few seconds: with the list and the configuration late or out of reach,
// an instance cut off from its peers, and instances killed.
func TestLeaving(t *testing.T) {
	const length = 60 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			leaver := types.UpstreamID("lac-engine-0")
			f := newFleet(t, seed, 6, leaver)
			moment := f.within(8*time.Second, 20*time.Second)
			for _, i := range f.instances {
				// Some instances see a request only now and then.
				interval := []time.Duration{200 * time.Millisecond, 2 * time.Second, 8 * time.Second}[f.random.IntN(3)]
				f.trickle(i, length, interval)
			}
			lag := f.within(0, 1500*time.Millisecond)
			f.after(moment, func() { f.upstreams[leaver].leave(lag) })
			f.leavingFaults(moment)
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
