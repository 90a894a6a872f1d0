package mesh

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	limitedUpstream types.UpstreamID = "u"
	// boundWindow, boundFactor and boundSlack are the bound of an upstream on the
	// requests of the whole fleet: in any window, the limit times the factor, and the
	// slack.
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
)

// demand sends requests to the limited upstream from all instances of a fleet.
type demand struct {
	mu   sync.Mutex
	sent []time.Duration
	// stopped are instances that no longer send.
	stopped map[int]bool
	asked   int
}

func (d *demand) isStopped(i int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped[i]
}

func (d *demand) stop(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped[i] = true
}

// run makes an instance want to send a request every interval.
func (d *demand) run(f *fleet, i int, interval time.Duration) {
	random := rand.New(rand.NewPCG(uint64(i), 3))
	blocks := permit.NewBlocks()
	for f.ctx.Err() == nil && !d.isStopped(i) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * interval))))
		now := time.Since(f.started)
		limit, limited := f.limitAt(i)
		if !limited || blocks.Remaining(now, limitedUpstream, 0) > 0 {
			continue
		}
		reply, err := f.meshes[i].RequestPermit(f.ctx, permit.Request{Upstream: limitedUpstream, Jitter: random.Float64()}, limit)
		d.mu.Lock()
		d.asked++
		if err == nil && reply.Granted && !d.stopped[i] {
			d.sent = append(d.sent, time.Since(f.started))
		}
		d.mu.Unlock()
		if err != nil {
			reply.RetryAfter = 300 * time.Millisecond
		}
		if !reply.Granted {
			blocks.Block(limitedUpstream, 0, time.Since(f.started)+reply.RetryAfter)
		}
	}
}

// limitAt returns what an instance knows of the limit.
func (f *fleet) limitAt(i int) (limit permit.Observation, limited bool) {
	f.states[i].withLock(func(s *fakeState) { limit, limited = s.limits.InForce(limitedUpstream) })
	return limit, limited
}

// observeLimit makes an instance observe a limit and report it.
func (f *fleet) observeLimit(i int, limit permit.Limit) {
	now := time.Since(f.started)
	o := permit.Observation{Limit: limit, SentAt: now, ReceivedAt: now}
	f.states[i].withLock(func(s *fakeState) { s.limits.Observe(limitedUpstream, o) })
	f.meshes[i].ReportLimit(limitedUpstream, o)
}

// TestFleetKeepsUpstreamLimit lets all instances of a fleet press on an upstream with a
// limit while the fleet changes, and counts all requests, also those of instances that
// are disconnected.
func TestFleetKeepsUpstreamLimit(t *testing.T) {
	const length = 26 * time.Second
	for name, c := range map[string]struct {
		instances int
		perSecond float64
		disturb   func(f *fleet, d *demand)
		// minUsed is the part of the limit that must be used.
		minUsed float64
	}{
		"nine instances":            {9, 2.2, func(*fleet, *demand) {}, 0.9},
		"forty instances with hubs": {largeFleet, 2.2, func(*fleet, *demand) {}, 0.9},
		"high limit":                {9, 40, func(*fleet, *demand) {}, 0.8},
		"zero":                      {9, 0, func(*fleet, *demand) {}, 0},
		"low limit":                 {9, 0.5, func(*fleet, *demand) {}, 0.8},
		"loss of the issuers, one after the other": {9, 2.2, func(f *fleet, d *demand) {
			for range 4 {
				time.Sleep(4 * time.Second)
				i := f.issuerIndex(d)
				d.stop(i)
				f.network.RemoveNode(address(i))
			}
		}, 0.5},
		"partition in two parts": {9, 2.2, func(f *fleet, _ *demand) {
			time.Sleep(6 * time.Second)
			f.network.Partition([]string{address(0), address(1), address(2), address(3)})
			time.Sleep(9 * time.Second)
			f.network.Heal()
		}, 0.7},
		"partitions in turn": {9, 2.2, func(f *fleet, _ *demand) {
			for i := range 5 {
				f.network.Partition([]string{address(i), address(i + 1)})
				time.Sleep(3 * time.Second)
				f.network.Heal()
				time.Sleep(2 * time.Second)
			}
		}, 0.6},
		"lost messages": {9, 2.2, func(f *fleet, _ *demand) { f.network.SetLoss(0.1) }, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetOf(t, c.instances, func(t *testing.T, f *fleet) {
				time.Sleep(10 * time.Second)
				f.observeLimit(1, permit.Limit{PerSecond: c.perSecond, Limited: true})
				time.Sleep(time.Second)
				d := &demand{stopped: make(map[int]bool)}
				var running sync.WaitGroup
				for i := range f.meshes {
					running.Go(func() { d.run(f, i, 200*time.Millisecond) })
				}
				started := time.Now()
				c.disturb(f, d)
				time.Sleep(time.Until(started.Add(length)))
				for i := range f.meshes {
					d.stop(i)
				}
				running.Wait()
				allowed := int(boundFactor*c.perSecond*boundWindow.Seconds()) + boundSlack
				got := permit.MostInWindow(d.sent, boundWindow)
				used := float64(len(d.sent)) / max(c.perSecond*length.Seconds(), 1)
				t.Logf("%d requests within %v, %d allowed; %.2f of the limit used, %.1f permits asked for a second", got, boundWindow, allowed, used, float64(d.asked)/length.Seconds())
				if got > allowed {
					t.Errorf("%d requests within %v, %d are allowed", got, boundWindow, allowed)
				}
				if used < c.minUsed {
					t.Errorf("%.2f of the limit is used, want %.2f", used, c.minUsed)
				}
			})
		})
	}
}

// runFleetOf runs a test with a small fleet or with largeFleet instances.
func runFleetOf(t *testing.T, instances int, test func(t *testing.T, f *fleet)) {
	if instances == largeFleet {
		runLargeFleet(t, test)
		return
	}
	runFleet(t, instances, test)
}

// issuerIndex returns the instance that issues the permits according to the first one
// that is up.
func (f *fleet) issuerIndex(d *demand) int {
	for i, m := range f.meshes {
		if d.isStopped(i) {
			continue
		}
		found := m.hubFor(limitedUpstream, true)
		for j := range f.meshes {
			if address(j) == found {
				return j
			}
		}
	}
	return 0
}

// TestLimitReachesTheFleet checks that instances learn of a limit, and of its end, that
// only one of them has observed.
func TestLimitReachesTheFleet(t *testing.T) {
	for _, instances := range []int{9, largeFleet} {
		runFleetOf(t, instances, func(t *testing.T, f *fleet) {
			time.Sleep(10 * time.Second)
			for _, want := range []permit.Limit{{PerSecond: 2.2, Limited: true}, {PerSecond: 0.5, Limited: true}, {PerSecond: 9, Limited: true}, {}} {
				f.observeLimit(instances-1, want)
				time.Sleep(800 * time.Millisecond)
				for i := range f.meshes {
					if got, limited := f.limitAt(i); limited != want.Limited || limited && got.Limit != want {
						t.Errorf("%d instances: instance %d has %+v, want %+v", instances, i, got.Limit, want)
					}
				}
			}
			f.observeLimit(2, permit.Limit{PerSecond: 3, Limited: true})
			f.start(5)
			time.Sleep(3 * time.Second)
			if got, limited := f.limitAt(5); !limited || got.PerSecond != 3 {
				t.Errorf("%d instances: an instance that has restarted has %+v", instances, got.Limit)
			}
		})
	}
}

// TestRequestForPermitDoesNotWaitForLostIssuer asks an issuer that does not respond.
func TestRequestForPermitDoesNotWaitForLostIssuer(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.observeLimit(0, permit.Limit{PerSecond: 2, Limited: true})
		time.Sleep(time.Second)
		issuer := f.issuerIndex(&demand{})
		asker := (issuer + 1) % len(f.meshes)
		f.network.Partition([]string{address(issuer)})
		limit, _ := f.limitAt(asker)
		before := time.Now()
		_, err := f.meshes[asker].RequestPermit(f.ctx, permit.Request{Upstream: limitedUpstream}, limit)
		if took := time.Since(before); err == nil || took > permitTimeout {
			t.Errorf("%v after %v, want an error within %v", err, took, permitTimeout)
		}
		time.Sleep(downAfter + 2*maxHeartbeatInterval)
		if _, err := f.meshes[asker].RequestPermit(f.ctx, permit.Request{Upstream: limitedUpstream}, limit); err != nil {
			t.Errorf("after the loss was noticed: %v", err)
		}
	})
}
