package relay

import (
	"fmt"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// largeDocument returns a document of the design size: 47,000 accounts and 1,600
// upstreams.
func largeDocument() *config.Document {
	large := document()
	for i := range 1600 {
		large.Upstreams = append(large.Upstreams, config.Upstream{
			ID:            types.UpstreamID(fmt.Sprintf("engine-%04d", i)),
			Target:        "small",
			DataCentre:    types.DataCentre(fmt.Sprintf("dc%02d", i%20)),
			URL:           fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250),
			MaxConcurrent: 32,
			KVTokens:      120_000,
		})
	}
	for i := range 47_000 {
		large.Accounts = append(large.Accounts, config.Account{
			ID:        types.AccountID(fmt.Sprintf("account-%05d", i)),
			KeySHA256: []string{string(configservice.DigestOf(fmt.Append(nil, i)))},
			Labels:    map[string]string{"plan": "standard"},
			Limits:    config.Limits{RequestsPerSecond: 50, Concurrent: 100, Weight: 1},
		})
	}
	return large
}

// BenchmarkTakeOneChangeFromPeer transfers a change of one of 47,000 accounts from
// one instance to another: version exchange, part transfer, compilation and
// activation. It reports the bytes of the messages.
func BenchmarkTakeOneChangeFromPeer(b *testing.B) {
	benchmarkTake(b, func(d *config.Document, i int) { d.Accounts[i%len(d.Accounts)].Limits.Concurrent++ })
}

// BenchmarkTakeUpstreamFromPeer is BenchmarkTakeOneChangeFromPeer for a change of
// one of 1,600 upstreams.
func BenchmarkTakeUpstreamFromPeer(b *testing.B) {
	benchmarkTake(b, func(d *config.Document, i int) { d.Upstreams[1+i%1600].MaxConcurrent++ })
}

func benchmarkTake(b *testing.B, change func(*config.Document, int)) {
	f := newTestFleet(2, 1)
	for _, instance := range f.instances {
		f.add(instance)
	}
	f.network.SetDelay(0, 0)
	leader, follower := f.relays[0], f.relays[1]
	document := largeDocument()
	bytes := int64(0)
	step := func(i int) {
		b.StopTimer()
		change(document, i)
		if _, err := f.platform.Publish(document); err != nil {
			b.Fatal(err)
		}
		leader.readManifest(b.Context(), 0, 0)
		before := f.network.Counts().Bytes
		b.StartTimer()
		if _, err := follower.exchange(b.Context(), f.instances[0]); err != nil {
			b.Fatal(err)
		}
		bytes += f.network.Counts().Bytes - before
	}
	step(0)
	b.ReportAllocs()
	b.ResetTimer()
	bytes = 0
	for i := range b.N {
		step(i + 1)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "message-B/op")
	if current, _ := follower.inForce(); current.Revision != types.Revision(b.N+1) {
		b.Fatalf("revision %d", current.Revision)
	}
}
