package dispatch

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// sampleRequest returns a request with the fields set that most requests have.
func sampleRequest(id types.RequestID) pool.Request {
	return pool.Request{
		ID: id, Entry: "01JD0000000000000000000000", Class: "chat", Tier: 4, Account: "account-00417", Weight: 1,
		PromptTokens: 612, MaxTokens: 512, Waited: 300 * time.Microsecond, FirstTokenIn: 320 * time.Millisecond,
		DeadlineIn: 30 * time.Second, Repeatable: true, Preemptible: true, PrefixHash: 0x9ae16a3b2f90404f,
	}
}

// sampleEvents returns a batch with one event of each frequent kind.
func sampleEvents() eventBatch {
	r := sampleRequest("01JD0000000000000000000001")
	return eventBatch{
		Pool: testPool, Epoch: 7, Sequence: 1812, Reset: true, ReplyTo: "10.0.0.7:7200", Revision: 4711,
		Leaving: []types.UpstreamID{"engine-3"},
		Events: []pool.Event{
			{Enqueue: &r},
			{Register: &pool.Running{Request: r, Upstream: "engine-1", Tokens: 12}},
			{Progress: &pool.Progress{ID: r.ID, Tokens: 80, InterTokenLatency: 61 * time.Millisecond}},
			{Finish: &pool.Finish{ID: r.ID, Upstream: "engine-1", Reason: pool.FinishComplete, Tokens: 239,
				FirstToken: 210 * time.Millisecond, InterTokenLatency: 61 * time.Millisecond}},
			{Cancel: &pool.Cancel{ID: r.ID}},
		},
	}
}

func sampleActions() actionBatch {
	return actionBatch{
		Pool: testPool, Epoch: 7, Sequence: 9, Acknowledged: 1812, Moved: true,
		Leaving:   []types.UpstreamID{"engine-3"},
		Upstreams: []config.Upstream{{ID: "engine-1", URL: "http://10.0.1.1:9000", MaxConcurrent: 8}},
		Summary:   Summary{Waiting: 3, Running: 12, Capacity: 64},
		Actions: []pool.Action{
			{Grant: &pool.Grant{ID: "a", Entry: "e", Upstream: "engine-1", Lease: 2 * time.Second}},
			{Refuse: &pool.Refuse{ID: "b", Entry: "e", Code: "overloaded", RetryAfter: time.Second}},
			{Preempt: &pool.Preempt{ID: "c", Entry: "e", For: "a"}},
		},
	}
}

// roundTrip packs the batch, encodes it as JSON, and unpacks it into the second
// argument. It returns the size of the JSON encoding.
func roundTrip(t testing.TB, batch, into any) int {
	packed, err := peer.Pack(batch)
	if err != nil {
		t.Fatal(err)
	}
	params, err := json.Marshal(packed)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.Unpack(params, into); err != nil {
		t.Fatal(err)
	}
	return len(params)
}

func TestBatchRoundTrip(t *testing.T) {
	var events eventBatch
	roundTrip(t, sampleEvents(), &events)
	if want := sampleEvents(); !reflect.DeepEqual(events, want) {
		t.Errorf("got %+v, want %+v", events, want)
	}
	var actions actionBatch
	roundTrip(t, sampleActions(), &actions)
	if want := sampleActions(); !reflect.DeepEqual(actions, want) {
		t.Errorf("got %+v, want %+v", actions, want)
	}
}

func TestUnpackMalformedBatch(t *testing.T) {
	for _, params := range []string{``, `null`, `{}`, `"!"`, `"AAAA"`, `"3////w=="`} {
		var batch eventBatch
		if err := peer.Unpack(json.RawMessage(params), &batch); err == nil {
			t.Errorf("%q was unpacked as %+v", params, batch)
		}
	}
}

// BenchmarkCodec measures encoding and decoding one batch.
func BenchmarkCodec(b *testing.B) {
	b.Run("events", func(b *testing.B) {
		b.ReportAllocs()
		size := 0
		for range b.N {
			var got eventBatch
			size = roundTrip(b, sampleEvents(), &got)
		}
		b.ReportMetric(float64(size), "B/batch")
	})
	b.Run("actions", func(b *testing.B) {
		b.ReportAllocs()
		size := 0
		for range b.N {
			var got actionBatch
			size = roundTrip(b, sampleActions(), &got)
		}
		b.ReportMetric(float64(size), "B/batch")
	})
}
