package httpfakes

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// StalledResponse is a large part of a response after which the upstream is silent.
type StalledResponse struct {
	Name string
	// Stream is set if the response is a stream of events.
	Stream bool
	Text   string
}

// StalledResponses returns responses that stall in each part that a reader may have to keep. The
// header lines are those of a valid response, each with its line end.
func StalledResponses(header string) []StalledResponse {
	const size = 60 << 10
	ok := "HTTP/1.1 200 OK\r\n" + header
	events := ok + "Content-Type: text/event-stream\r\n\r\n"
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	long := strings.Repeat("x", size)
	return []StalledResponse{
		{"header line", false, ok + "X-Long: " + long},
		{"header fields", false, ok + fields.String()},
		{"informational header fields", false, "HTTP/1.1 103 Early Hints\r\n" + fields.String()},
		{"event", true, events + "data: " + long + long},
		{"comments of an event", true, events + ":" + strings.Repeat("\n:", size)},
	}
}

// StalledHeap calls begin, which begins many requests and returns when their responses have
// stalled, and returns by how much the heap has grown.
func StalledHeap(t testing.TB, begin func()) uint64 {
	t.Helper()
	before := liveHeap()
	begin()
	after := liveHeap()
	return max(after, before) - before
}

// awaitTimeout is how long Await waits.
const awaitTimeout = 30 * time.Second

// Await waits for a number of events.
func Await(t testing.TB, events <-chan struct{}, count int) {
	t.Helper()
	limit := time.After(awaitTimeout)
	for n := range count {
		select {
		case <-events:
		case <-limit:
			t.Fatalf("only %d of %d events", n, count)
		}
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
