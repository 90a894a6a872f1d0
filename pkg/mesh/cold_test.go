package mesh

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/permit"
)

// coldUpstreamRate is the rate that the cold upstream of these tests tolerates, and
// coldAllowed the number of requests that it survives in one second.
const (
	coldUpstreamRate = 5.7
	coldAllowed      = 13
)

// runCold makes an instance want to send a request to the cold upstream every interval, and
// use each permit at the last moment or at once.
func (d *demand) runCold(f *fleet, i int, interval time.Duration) {
	random := rand.New(rand.NewPCG(uint64(i), 4))
	blocks := permit.NewBlocks()
	limit := permit.ColdLimit(coldUpstreamRate)
	for f.ctx.Err() == nil && !d.isStopped(i) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * interval))))
		asked := time.Since(f.started)
		if blocks.Remaining(asked, limitedUpstream, 0) > 0 {
			continue
		}
		d.mu.Lock()
		m := f.meshes[i]
		d.mu.Unlock()
		reply, err := m.RequestPermit(f.ctx, permit.Request{Upstream: limitedUpstream, Jitter: random.Float64(), ColdPerSecond: limit.PerSecond}, permit.Unobserved())
		now := time.Since(f.started)
		d.mu.Lock()
		d.asked++
		if err == nil && reply.Granted && !d.stopped[i] && now-asked <= permit.ColdTTL {
			if random.IntN(2) == 0 {
				now = asked + permit.ColdTTL
			}
			d.sent = append(d.sent, now)
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

// TestFleetKeepsBoundOfColdUpstream guards the bound of a cold upstream in fleets whose
// instances press on it while the fleet changes: also from the start of all instances, when
// each has not heard from the others yet.
func TestFleetKeepsBoundOfColdUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		instances int
		disturb   func(f *fleet, d *demand)
		// minUsed is the part of the rate that must be used after the first seconds.
		minUsed float64
	}{
		"start of nine instances": {9, func(*fleet, *demand) {}, 0.8},
		"start of nine instances that hear from nobody at first": {9, func(f *fleet, _ *demand) {
			f.network.SetLoss(1)
			time.Sleep(1500 * time.Millisecond)
			f.network.SetLoss(0)
		}, 0.8},
		"start of forty instances": {largeFleet, func(*fleet, *demand) {}, 0.8},
		"loss of the issuers": {9, func(f *fleet, d *demand) {
			for range 3 {
				time.Sleep(4 * time.Second)
				i := f.issuerIndex(d)
				d.stop(i)
				f.network.RemoveNode(address(i))
			}
		}, 0.4},
		"partition in two parts": {9, func(f *fleet, _ *demand) {
			time.Sleep(5 * time.Second)
			f.network.Partition([]string{address(0), address(1), address(2), address(3)})
			time.Sleep(6 * time.Second)
			f.network.Heal()
		}, 0.6},
		"restart of all instances": {9, func(f *fleet, d *demand) {
			time.Sleep(5 * time.Second)
			d.mu.Lock()
			defer d.mu.Unlock()
			for i := range f.meshes {
				f.start(i)
			}
		}, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetOf(t, c.instances, func(t *testing.T, f *fleet) {
				const length = 16 * time.Second
				d := &demand{stopped: make(map[int]bool)}
				var running sync.WaitGroup
				for i := range f.meshes {
					running.Go(func() { d.runCold(f, i, 50*time.Millisecond) })
				}
				started := time.Now()
				c.disturb(f, d)
				time.Sleep(time.Until(started.Add(length)))
				for i := range f.meshes {
					d.stop(i)
				}
				running.Wait()
				got := permit.MostInWindow(d.sent, time.Second)
				used := float64(len(d.sent)) / (permit.ColdShare * coldUpstreamRate * (length - joinTime).Seconds())
				t.Logf("%d requests within a second, %d allowed; %.2f of the rate used", got, coldAllowed, used)
				if got > coldAllowed {
					t.Errorf("%d requests within a second, %d are allowed", got, coldAllowed)
				}
				if used < c.minUsed {
					t.Errorf("%.2f of the rate is used, want %.2f", used, c.minUsed)
				}
			})
		})
	}
}

// TestIsolatedInstanceIssuesItsShareForColdUpstreams guards against an instance that starts
// beyond a partition and takes itself for the whole fleet.
func TestIsolatedInstanceIssuesItsShareForColdUpstreams(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.network.Partition([]string{address(1)})
		f.start(1)
		request := permit.Request{Upstream: limitedUpstream, ColdPerSecond: 4}
		time.Sleep(joinTime / 2)
		if _, err := f.meshes[1].RequestPermit(f.ctx, request, permit.Unobserved()); err == nil {
			t.Error("an instance that has just started issues permits for a cold upstream")
		}
		time.Sleep(joinTime)
		if _, err := f.meshes[1].RequestPermit(f.ctx, request, permit.Unobserved()); err != nil {
			t.Errorf("after the start: %v", err)
		}
		if share := f.meshes[1].limitShare(true); share != 0.5 {
			t.Errorf("an isolated instance with one seed uses %.2f of a cold upstream's rate, want half", share)
		}
		if share := f.meshes[1].limitShare(false); share != 1 {
			t.Errorf("the share of a named limit has changed to %.2f", share)
		}
	})
}

// TestPermitRequestWithColdLimit checks that older builds and this one read each other's
// requests for permits, and that a request without a named limit does not end one that the
// issuer knows.
func TestPermitRequestWithColdLimit(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.observeLimit(0, permit.Limit{PerSecond: 2, Limited: true})
		encoded, err := json.Marshal(permitRequest{permit.Request{Upstream: limitedUpstream, ColdPerSecond: 3.5}, newLimitReport(time.Hour, limitedUpstream, permit.Unobserved())})
		if err != nil {
			t.Fatal(err)
		}
		var older struct {
			Upstream string      `json:"upstream"`
			Limit    limitReport `json:"limit"`
		}
		if err := json.Unmarshal(encoded, &older); err != nil || older.Upstream != string(limitedUpstream) || older.Limit.Limited {
			t.Errorf("an older build reads %s as %+v, %v", encoded, older, err)
		}
		if _, err := f.meshes[0].handlePermit(f.ctx, peer.Identity{Instance: "n9"}, encoded); err != nil {
			t.Error(err)
		}
		if got, limited := f.limitAt(0); !limited || got.PerSecond != 2 {
			t.Errorf("the named limit is %+v after a request that does not know it", got)
		}
		var request permitRequest
		if err := json.Unmarshal([]byte(`{"upstream":"u","from":"n1","jitter":0.5,"limit":{"upstream":"u","limited":true,"per_second":2}}`), &request); err != nil || request.ColdPerSecond != 0 {
			t.Errorf("a request of an older build is read as %+v, %v", request, err)
		}
	})
}
