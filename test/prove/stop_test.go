package prove

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fleetCaller is a caller that caches directory answers for their lifetime.
type fleetCaller struct {
	fleet  *fleet
	name   string
	answer directory.Answer
	since  time.Time
	sent   int
}

// instance returns the latest incarnation of the instance.
func (f *fleet) instance(id types.InstanceID) *fleetInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := len(f.instances) - 1; n >= 0; n-- {
		if f.instances[n].row.ID == id {
			return f.instances[n]
		}
	}
	return nil
}

// refresh gets a new directory answer from the first instance that listens, trying
// the instances of the last answer first.
func (c *fleetCaller) refresh() {
	var candidates []types.InstanceID
	for _, a := range c.answer.Addresses {
		candidates = append(candidates, a.Instance)
	}
	for _, row := range c.fleet.rows {
		candidates = append(candidates, row.ID)
	}
	for _, id := range candidates {
		if i := c.fleet.instance(id); i.listens() {
			c.answer, c.since = i.directory.AnswerFor(c.name), time.Now()
			return
		}
	}
}

// send sends one request to the first address of the answer that listens. An
// address that no longer listens counts as a refusal by its instance.
func (c *fleetCaller) send(serviceTime time.Duration) {
	lifetime := time.Duration(c.answer.LifetimeSeconds) * time.Second
	if time.Since(c.since) >= lifetime {
		c.refresh()
	}
	c.sent++
	id := types.RequestID(fmt.Sprintf("%s-%d", c.name, c.sent))
	for _, a := range c.answer.Addresses {
		i, age := c.fleet.instance(a.Instance), time.Since(c.since)
		if i.listens() {
			c.fleet.callers.Go(func() { i.serve(id, serviceTime) })
			return
		}
		recorder{c.fleet.log, a.Instance}.Record(timeline.Event{
			Kind: timeline.RequestRefused, Request: id, Code: string(fault.Leaving), RunState: types.NotRun, Took: age,
		})
	}
	c.fleet.t.Errorf("%s: no address accepts the request", id)
}

// call starts a caller that sends requests at random intervals for length.
func (f *fleet) call(name string, length time.Duration) {
	type step struct{ pause, serviceTime time.Duration }
	var steps []step
	for at := time.Duration(0); at < length; {
		s := step{f.randomDuration(0, 600*time.Millisecond), f.randomDuration(50*time.Millisecond, 1500*time.Millisecond)}
		steps = append(steps, s)
		at += s.pause
	}
	f.callers.Go(func() {
		c := &fleetCaller{fleet: f, name: name}
		for _, s := range steps {
			time.Sleep(s.pause)
			c.send(s.serviceTime)
		}
	})
}

// stopAndReplace stops the instance gracefully and, if replaced is set, starts a
// new incarnation one second later.
func (f *fleet) stopAndReplace(i *fleetInstance, replaced bool) {
	i.stop()
	if !replaced {
		return
	}
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, f.start(i.row, 2))
}

// scheduleStopFaults schedules the graceful stops and random faults around them.
func (f *fleet) scheduleStopFaults() {
	first := f.randomDuration(6*time.Second, 12*time.Second)
	order := f.random.Perm(len(f.instances))
	f.scheduleStop(order[0], first)
	switch f.random.IntN(3) {
	case 0:
		// Two instances stop at almost the same time.
		f.scheduleStop(order[1], first+f.randomDuration(0, 50*time.Millisecond))
	case 1:
		f.scheduleStop(order[1], first+f.randomDuration(0, 12*time.Second))
	}
	if f.random.IntN(2) == 0 {
		names := make([]string, len(f.rows))
		for n, row := range f.rows {
			names[n] = string(row.ID)
		}
		f.after(f.randomDuration(0, first), func() { f.platform.Disconnect(names...) })
	}
	if f.random.IntN(2) == 0 {
		// The instance list shows the leaving state late.
		leaving := append([]types.Instance(nil), f.rows...)
		leaving[order[0]].State = types.InstanceLeaving
		f.after(first+f.randomDuration(0, 10*time.Second), func() { f.platform.SetInstances(leaving) })
	}
	if f.random.IntN(2) == 0 {
		f.after(f.randomDuration(first-2*time.Second, first+2*time.Second), func() { f.network.SetLoss(0.02) })
	}
}

// scheduleStop schedules a graceful stop of the instance at index.
func (f *fleet) scheduleStop(index int, at time.Duration) {
	i, replaced := f.instances[index], f.random.IntN(2) == 0
	f.after(at, func() { f.stopAndReplace(i, replaced) })
}

// TestStop checks that a graceful stop aborts no request in flight. It covers any
// instance under load, dispatchers, two instances at once, callers that keep an
// address for its whole lifetime, an instance list that is late or unreachable, and
// message loss.
func TestStop(t *testing.T) {
	const length = 40 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 6, "")
			for n := range 8 {
				f.call(fmt.Sprintf("caller-%d", n), length)
			}
			f.scheduleStopFaults()
			f.finish()
			violations, checked := history.Stop(f.log.all(), history.StopOptions{AddressLifetime: fleetLifetime})
			for _, v := range violations[:min(len(violations), 5)] {
				t.Logf("seed %d: %s", seed, v)
			}
			sum.add(result{runs: 1, faults: f.faults, checked: checked, violations: len(violations)})
		})
	}
	report(t, "stop", sum)
}
