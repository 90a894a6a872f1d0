package timeline

import (
	"testing"
	"time"
)

// BenchmarkRecord measures one event with many writers.
func BenchmarkRecord(b *testing.B) {
	ring := NewRing("i", 16384, time.Now)
	event := Event{Kind: RequestArrived, Request: "01JD4Z6E0VJ8M3X5Y1T2S3R4Q5", Class: "chat", Tier: 3}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ring.Record(event)
		}
	})
}
