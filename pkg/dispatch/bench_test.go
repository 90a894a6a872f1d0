package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// instancePair is a pair of instances connected over loopback sockets. The
// first holds the requests, the second dispatches.
type instancePair struct {
	members []*member
	meters  []*peer.Meter
	stops   []func()
}

// newInstancePair starts both instances. All upstreams are in the dispatcher's
// data centre.
func newInstancePair(b *testing.B, slots int) *instancePair {
	b.Helper()
	snapshot, err := config.Compile(1, document(slots, "ariana"))
	if err != nil {
		b.Fatal(err)
	}
	store := config.NewStore()
	if err := store.Apply(snapshot); err != nil {
		b.Fatal(err)
	}
	pair := &instancePair{}
	rows := map[types.InstanceID]types.Instance{}
	var servers []*peer.Server
	for i, centre := range []types.DataCentre{"lac", "ariana"} {
		id := types.InstanceID(fmt.Sprintf("node-%d", i))
		o := pair.options(id, centre)
		server := peer.NewServer(o)
		if err := server.Listen(context.Background()); err != nil {
			b.Fatal(err)
		}
		servers = append(servers, server)
		rows[id] = types.Instance{ID: id, DataCentre: centre, PeerAddress: server.Address(), State: types.InstanceLive}
	}
	for i, server := range servers {
		pair.start(store, server, rows[types.InstanceID(fmt.Sprintf("node-%d", i))], rows)
	}
	return pair
}

func (pair *instancePair) options(id types.InstanceID, centre types.DataCentre) peer.Options {
	meter := &peer.Meter{}
	pair.meters = append(pair.meters, meter)
	identity := peer.Identity{Instance: id, Incarnation: types.Incarnation(id), DataCentre: centre}
	return peer.Options{Identity: identity, Secret: "a secret of the test", Address: "127.0.0.1:0", Meter: meter}
}

func (pair *instancePair) start(store *config.Store, server *peer.Server, row types.Instance, rows map[types.InstanceID]types.Instance) {
	view := &fakeView{self: row, rows: rows, changed: make(chan struct{})}
	dialer := peer.NewDialer(pair.options(row.ID, row.DataCentre))
	m := &member{view: view, row: row}
	m.dispatch = New(Options{
		Self: row, Incarnation: types.Incarnation(row.ID), View: view, Caller: dialer, Store: store,
		NewPolicy: func(types.PoolID) pool.Policy { return pool.NewFIFO(1000, 100000) },
		Loads:     idleLoads{},
	})
	m.dispatch.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx) })
	running.Go(func() { _ = m.dispatch.Run(ctx) })
	pair.members = append(pair.members, m)
	pair.stops = append(pair.stops, func() {
		cancel()
		dialer.Close()
		running.Wait()
	})
}

// traffic returns the bytes and writes sent by both instances.
func (pair *instancePair) traffic() (sent, writes int64) {
	for _, meter := range pair.meters {
		sent += meter.Traffic().BytesSent
		writes += meter.Traffic().Writes
	}
	return sent, writes
}

func (pair *instancePair) stop() {
	for _, stop := range pair.stops {
		stop()
	}
}

// idleLoads reports zero load for all upstreams.
type idleLoads struct{}

func (idleLoads) Load(context.Context, config.Upstream) (LoadReport, error) {
	return LoadReport{}, nil
}

// processorTime returns the CPU time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRemoteGrant measures a request from Acquire to Finish at a remote
// dispatcher, over TLS on loopback, with different numbers of concurrent
// requests. More concurrent requests result in larger batches.
func BenchmarkRemoteGrant(b *testing.B) {
	for _, atOnce := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("at-once=%d", atOnce), func(b *testing.B) {
			pair := newInstancePair(b, 1000)
			defer pair.stop()
			benchmarkGrants(b, pair, atOnce)
		})
	}
}

func benchmarkGrants(b *testing.B, pair *instancePair, atOnce int) {
	if err := benchmarkRequest(pair.members[0], "warm"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	sent, writes := pair.traffic()
	processor := processorTime()
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range atOnce {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				if err := benchmarkRequest(pair.members[0], fmt.Sprintf("01JD0000000000000000%06d", n)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	sentAfter, writesAfter := pair.traffic()
	perRequest := 1 / float64(b.N)
	b.ReportMetric(float64(sentAfter-sent)*perRequest, "wire-B/request")
	b.ReportMetric(float64(writesAfter-writes)*perRequest, "writes/request")
	b.ReportMetric(float64(processorTime()-processor)*perRequest/1000, "cpu-us/request")
}

func benchmarkRequest(m *member, id string) error {
	r := request(id)
	r.Account, r.PromptTokens, r.MaxTokens = "account-00417", 612, 512
	r.FirstTokenIn, r.Weight = 320*time.Millisecond, 1
	r.PrefixHash = 0x9ae16a3b2f90404f
	grant, err := m.dispatch.Acquire(context.Background(), testTarget, r)
	if err != nil {
		return err
	}
	grant.Finish(pool.Finish{Reason: pool.FinishComplete, Tokens: 239, FirstToken: 210 * time.Millisecond, InterTokenLatency: 61 * time.Millisecond})
	return nil
}

// BenchmarkLocalGrant measures a request at the dispatcher of the same
// instance.
func BenchmarkLocalGrant(b *testing.B) {
	pair := newInstancePair(b, 1000)
	defer pair.stop()
	if err := benchmarkRequest(pair.members[1], "warm"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		if err := benchmarkRequest(pair.members[1], fmt.Sprint(n)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPacedGrant measures requests that arrive at a constant rate at one
// entry and run for some time, so that batches are as small as in production.
// The CPU time is that of both instances minus their idle CPU time.
func BenchmarkPacedGrant(b *testing.B) {
	for _, rate := range []int{7, 26, 115} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			pair := newInstancePair(b, 1000)
			defer pair.stop()
			pacedGrants(b, pair, time.Second/time.Duration(rate))
		})
	}
}

func pacedGrants(b *testing.B, pair *instancePair, interval time.Duration) {
	const hold = 200 * time.Millisecond
	if err := benchmarkRequest(pair.members[0], "warm"); err != nil {
		b.Fatal(err)
	}
	idle := idleShare()
	sent, writes := pair.traffic()
	processor, began := processorTime(), time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var group sync.WaitGroup
	b.ResetTimer()
	for n := range b.N {
		<-ticker.C
		group.Go(func() {
			if err := heldRequest(pair.members[0], fmt.Sprintf("01JD0000000000000000%06d", n), hold); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	busy := processorTime() - processor - time.Duration(idle*float64(time.Since(began)))
	sentAfter, writesAfter := pair.traffic()
	perRequest := 1 / float64(b.N)
	b.ReportMetric(float64(sentAfter-sent)*perRequest, "wire-B/request")
	b.ReportMetric(float64(writesAfter-writes)*perRequest, "writes/request")
	b.ReportMetric(float64(busy)*perRequest/1000, "cpu-us/request")
	b.ReportMetric(idle*100, "idle-%-of-a-core")
}

// idleShare returns the share of a core that the instances use when idle.
func idleShare() float64 {
	const span = 2 * time.Second
	before := processorTime()
	<-time.After(span)
	return float64(processorTime()-before) / float64(span)
}

// heldRequest runs one request for the given duration.
func heldRequest(m *member, id string, hold time.Duration) error {
	r := sampleRequest(types.RequestID(id))
	r.Class, r.Tier = "live", 1
	grant, err := m.dispatch.Acquire(context.Background(), testTarget, r)
	if err != nil {
		return err
	}
	<-time.After(hold)
	grant.Finish(pool.Finish{Reason: pool.FinishComplete, Tokens: 239, FirstToken: 210 * time.Millisecond, InterTokenLatency: 61 * time.Millisecond})
	return nil
}
