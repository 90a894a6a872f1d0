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

// fleetCaller asks the directory and keeps the answer for its lifetime.
type fleetCaller struct {
	fleet  *fleet
	name   string
	answer directory.Answer
	since  time.Time
	sent   int
}

// instance returns the present life of the instance that listens at the address.
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

// ask gets a new answer from the first instance that listens, beginning with
// those of the last answer.
func (c *fleetCaller) ask() {
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

// send sends one request to the first address that takes it. An address that
// does not listen any more counts as a refusal by the instance that left it.
func (c *fleetCaller) send(hold time.Duration) {
	lifetime := time.Duration(c.answer.LifetimeSeconds) * time.Second
	if time.Since(c.since) >= lifetime {
		c.ask()
	}
	c.sent++
	id := types.RequestID(fmt.Sprintf("%s-%d", c.name, c.sent))
	for _, a := range c.answer.Addresses {
		i, kept := c.fleet.instance(a.Instance), time.Since(c.since)
		if i.listens() {
			c.fleet.callers.Go(func() { i.serve(id, hold) })
			return
		}
		recorder{c.fleet.log, a.Instance}.Record(timeline.Event{
			Kind: timeline.RequestRefused, Request: id, Code: string(fault.Leaving), RunState: types.NotRun, Took: kept,
		})
	}
	c.fleet.t.Errorf("%s: no address takes the request", id)
}

// call starts a caller that sends requests at random until the length is over.
func (f *fleet) call(name string, length time.Duration) {
	type step struct{ pause, hold time.Duration }
	var steps []step
	for at := time.Duration(0); at < length; {
		s := step{f.within(0, 600*time.Millisecond), f.within(50*time.Millisecond, 1500*time.Millisecond)}
		steps = append(steps, s)
		at += s.pause
	}
	f.callers.Go(func() {
		c := &fleetCaller{fleet: f, name: name}
		for _, s := range steps {
			time.Sleep(s.pause)
			c.send(s.hold)
		}
	})
}

// stopAndReplace stops the instance as planned and, when replaced, starts a new
// life of it later.
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

// stopFaults draws the planned stops and the faults around them.
func (f *fleet) stopFaults() {
	first := f.within(6*time.Second, 12*time.Second)
	order := f.random.Perm(len(f.instances))
	f.planStop(order[0], first)
	switch f.random.IntN(3) {
	case 0:
		// Two together.
		f.planStop(order[1], first+f.within(0, 50*time.Millisecond))
	case 1:
		f.planStop(order[1], first+f.within(0, 12*time.Second))
	}
	if f.random.IntN(2) == 0 {
		names := make([]string, len(f.rows))
		for n, row := range f.rows {
			names[n] = string(row.ID)
		}
		f.after(f.within(0, first), func() { f.platform.Disconnect(names...) })
	}
	if f.random.IntN(2) == 0 {
		// The list says so, late.
		leaving := append([]types.Instance(nil), f.rows...)
		leaving[order[0]].State = types.InstanceLeaving
		f.after(first+f.within(0, 10*time.Second), func() { f.platform.SetInstances(leaving) })
	}
	if f.random.IntN(2) == 0 {
		f.after(f.within(first-2*time.Second, first+2*time.Second), func() { f.network.SetLoss(0.02) })
	}
}

// planStop stops the instance of the index at the moment.
func (f *fleet) planStop(index int, moment time.Duration) {
	i, replaced := f.instances[index], f.random.IntN(2) == 0
	f.after(moment, func() { f.stopAndReplace(i, replaced) })
}

// TestStop proves that a planned stop cuts no request in flight: of any
// instance under load, of dispatchers, of two together, with callers that keep
// an address for all of its lifetime, the list late or out of reach, and
// messages lost.
func TestStop(t *testing.T) {
	const length = 40 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 6, "")
			for n := range 8 {
				f.call(fmt.Sprintf("caller-%d", n), length)
			}
			f.stopFaults()
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
