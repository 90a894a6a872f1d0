package mesh

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// BenchmarkIdleFleet measures the processor time of an instance in a fleet that
// only exchanges heartbeats without load, over real connections, after discovery.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{8, 48, 87} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkFleet(b, size, 0) })
	}
}

// BenchmarkBusyFleet is BenchmarkIdleFleet with constantly changing loads at 140
// upstreams.
func BenchmarkBusyFleet(b *testing.B) {
	for _, size := range []int{8, 48, 87} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkFleet(b, size, 140) })
	}
}

func benchmarkFleet(b *testing.B, size, upstreams int) {
	const (
		starting = 8 * time.Second
		measured = 4 * time.Second
	)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	// Each instance has an address of its own, so that no outgoing connection takes
	// the port of an instance that is not listening yet.
	var addresses []string
	for i := range size {
		addresses = append(addresses, fmt.Sprintf("127.88.%d.%d:7200", size, i+1))
	}
	loads := make(map[types.UpstreamID]placement.Load)
	for i := range upstreams {
		loads[types.UpstreamID(fmt.Sprintf("i-%010d", i))] = placement.Load{LatencySensitive: 2, ByPriority: map[int]placement.PriorityLoad{0: {Running: 3, Waiting: 1, PrefillTokens: 700}, 1: {Running: 2, Waiting: 3, PrefillTokens: 21_000}}}
	}
	var meshes []*Mesh
	for i, address := range addresses {
		id := types.InstanceID(fmt.Sprintf("n%03d", i))
		options := peer.Options{Identity: peer.Identity{Instance: id, Incarnation: "1"}, Secret: "s", Address: address, Logger: zerolog.Nop()}
		server, dialer := peer.NewServer(options), peer.NewDialer(options)
		capacity := 20
		if i < 8 {
			capacity = 80
		}
		m := New(Options{
			Self:  InstanceInfo{ID: id, PeerAddress: address, CallerAddress: "front" + address, Capacity: capacity, DataCentre: types.DataCentre(fmt.Sprint("dc", i%4))},
			Seeds: func() []string { return addresses[:1] }, Caller: dialer, Clock: clock.Boot, Logger: zerolog.Nop(),
			State: &fakeState{storeReachable: true, serving: true, set: replica.New(), loads: loads, heartbeats: map[types.InstanceID]Heartbeat{}, origins: map[origin.Key]origin.Origin{}},
		})
		m.Register(server)
		if err := server.Listen(context.Background()); err != nil {
			b.Fatal(err)
		}
		meshes = append(meshes, m)
		running.Go(func() { _ = server.Serve(ctx) })
		running.Go(func() { _ = m.Run(ctx); dialer.Close() })
		if upstreams > 0 {
			running.Go(func() {
				for wait.For(ctx, 10*time.Millisecond) {
					m.ReportChange()
				}
			})
		}
	}
	started := processorTime(b)
	time.Sleep(starting)
	found := processorTime(b)
	for b.Loop() {
		time.Sleep(measured)
	}
	took := processorTime(b) - found
	for i, m := range meshes {
		if got := len(m.CallerAddresses()); got != size {
			b.Errorf("instance %d knows %d caller addresses", i, got)
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric((found-started).Seconds()*1000/float64(size), "ms-to-start/instance")
	b.ReportMetric(took.Seconds()*1000/float64(size)/(measured.Seconds()*float64(b.N)), "ms/s/instance")
	cancel()
	running.Wait()
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
