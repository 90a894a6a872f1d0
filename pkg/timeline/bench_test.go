package timeline

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// benchEvents is the default capacity of an instance's ring.
const benchEvents = 16384

// BenchmarkRecord measures recording one event with concurrent writers.
func BenchmarkRecord(b *testing.B) {
	ring := NewRing("i", benchEvents, time.Now)
	event := Event{Kind: RequestArrived, Request: "01JD4Z6E0VJ8M3X5Y1T2S3R4Q5", Class: "chat", Tier: 3}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ring.Record(event)
		}
	})
}

// fill records events with distinct request IDs that do not share memory.
func fill(ring *Ring, events int) {
	for i := range events {
		ring.Record(Event{Kind: RequestGranted, Request: types.RequestID(fmt.Sprintf("01JD4Z6E0VJ8M3X5Y1T%07d", i)), Class: "chat", Tier: 3, Account: "account", Pool: "target@centre", Upstream: "engine-1"})
	}
}

// BenchmarkMemory reports the memory per event of a full ring.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		ring := NewRing("i", benchEvents, time.Now)
		fill(ring, 2*benchEvents)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchEvents, "B/event")
		runtime.KeepAlive(ring)
	}
}

// BenchmarkMergeAndPage measures merging eight full rings and writing the HTML
// page.
func BenchmarkMergeAndPage(b *testing.B) {
	var lists [][]Event
	for i := range 8 {
		ring := NewRing(types.InstanceID(fmt.Sprintf("i%d", i)), benchEvents, time.Now)
		fill(ring, benchEvents)
		lists = append(lists, ring.Events(Stamp{}))
	}
	for b.Loop() {
		if err := WriteHTML(io.Discard, Merge(lists...)); err != nil {
			b.Fatal(err)
		}
	}
}
