package httpfakes

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// stalledResponses is the number of responses that stall at once.
	stalledResponses = 300
	// maxStalledHeap is a quarter of the memory of a small instance, 134 MB.
	maxStalledHeap = 32 << 20
	// stallTimeout limits the time until all responses have stalled.
	stallTimeout = 30 * time.Second
	// unreadTime is how long a write waits until it counts as unread.
	unreadTime = 300 * time.Millisecond
	// settleTime is enough to read what is left in the sockets.
	settleTime = 100 * time.Millisecond
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

// StallingUpstream sends responses that stall until it is released.
type StallingUpstream struct {
	text, endless string
	sent          chan struct{}
	// Released is closed when the memory has been checked.
	Released chan struct{}
}

// NewStallingUpstream returns an upstream that responds with the text and, unless that is empty, with
// the endless text again and again until nobody reads it.
func NewStallingUpstream(text, endless string) *StallingUpstream {
	return &StallingUpstream{text: text, endless: endless, sent: make(chan struct{}, 100*stalledResponses), Released: make(chan struct{})}
}

// Serve responds to a request.
func (u *StallingUpstream) Serve(conn net.Conn) {
	select {
	case <-u.Released:
		return
	default:
	}
	// The other side may close the connection before it has read everything.
	_, err := io.WriteString(conn, u.text)
	if err == nil && u.endless != "" {
		WriteUntilUnread(conn, u.endless)
	}
	u.sent <- struct{}{}
	<-u.Released
}

// WriteUntilUnread writes the text again and again until nobody reads it, and returns the number of
// bytes.
func WriteUntilUnread(conn net.Conn, text string) (written int) {
	for written < MaxEndlessBytes {
		_ = conn.SetWriteDeadline(time.Now().Add(unreadTime))
		n, err := io.WriteString(conn, text)
		if written += n; err != nil {
			break
		}
	}
	return written
}

// CheckHeap calls send, which sends the request with the number and waits for its end, for hundreds of
// requests at once, and reports an error if their stalled responses take too much memory of the instances.
func (u *StallingUpstream) CheckHeap(t *testing.T, instances int, send func(n int)) {
	t.Helper()
	var running sync.WaitGroup
	var ended atomic.Int64
	heap := HeapGrowth(t, func() {
		for n := range stalledResponses {
			running.Go(func() {
				send(n)
				ended.Add(1)
			})
		}
		limit := time.After(stallTimeout)
		for n := range stalledResponses {
			select {
			case <-u.sent:
			case <-limit:
				t.Fatalf("only %d of %d requests reached the upstream, %d have ended", n, stalledResponses, ended.Load())
			}
		}
		time.Sleep(settleTime)
	})
	t.Logf("%d kB for each response", heap>>10/stalledResponses)
	if limit := uint64(instances) * maxStalledHeap; heap > limit {
		t.Errorf("%d stalled responses take %d MB of memory, want %d at most", stalledResponses, heap>>20, limit>>20)
	}
	close(u.Released)
	running.Wait()
}

// HeapGrowth calls begin, which begins many requests and returns when they have stalled, and returns
// by how much the heap has grown.
func HeapGrowth(t testing.TB, begin func()) uint64 {
	t.Helper()
	before := liveHeap()
	begin()
	after := liveHeap()
	return max(after, before) - before
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
