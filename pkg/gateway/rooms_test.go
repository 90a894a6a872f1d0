package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// brittleUpstreams count the requests that run beside each other.
type brittleUpstreams struct {
	mu            sync.Mutex
	says          bool
	running, most map[int]int
	work          time.Duration
}

func (b *brittleUpstreams) serve(n int, conn net.Conn, request *http.Request) {
	b.mu.Lock()
	b.running[n]++
	b.most[n] = max(b.most[n], b.running[n])
	header := ""
	if b.says {
		header = "Brittle: 2\r\n"
	}
	b.mu.Unlock()
	time.Sleep(b.work)
	b.mu.Lock()
	b.running[n]--
	b.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\n%sContent-Length: 2\r\n\r\nok", request.Header.Get("Id"), header)
}

// newBrittleEnv has two brittle upstreams with six slots each, and three instances.
func newBrittleEnv(t *testing.T) (*testEnv, *brittleUpstreams) {
	b := &brittleUpstreams{says: true, running: make(map[int]int), most: make(map[int]int), work: 20 * time.Millisecond}
	env := newBubbleEnv(t, testRoutes, respondWith(""), 0)
	env.fleet.size = 3
	var list []roster.Upstream
	for n := range 2 {
		address := env.upstream(fmt.Sprint("b", n), func(conn net.Conn, request *http.Request, _ int) { b.serve(n, conn, request) })
		list = append(list, roster.Upstream{ID: types.UpstreamID(fmt.Sprint("b", n)), Target: "s", Address: address, Slots: 6, Ready: true})
	}
	env.gateway.UpdateUpstreams(list)
	return env, b
}

// send sends requests at the same time and returns how many of each status there were.
func (env *testEnv) sendMany(count int, wait time.Duration) map[int]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	statuses := make(map[int]int)
	for n := range count {
		all.Go(func() {
			got := env.sendRaw(fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nId: m%d\r\nKey: k\r\nWait: %d\r\nContent-Length: 0\r\n\r\n", n, wait.Milliseconds()))
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
		})
	}
	all.Wait()
	return statuses
}

// TestBrittleUpstreamsAreNotOverfilled guards against upstreams that fall over one after the other because
// the instances send them more requests than they have slots for.
func TestBrittleUpstreamsAreNotOverfilled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, b := newBrittleEnv(t)
		env.sendMany(1, time.Second)
		// An instance that has not heard from the upstreams does not know.
		b.mu.Lock()
		clear(b.most)
		b.mu.Unlock()
		if statuses := env.sendMany(40, 10*time.Second); statuses[200] != 40 {
			t.Errorf("statuses %v, want 40 responses", statuses)
		}
		for n, most := range b.most {
			// The third part of six slots, or with a rest one more.
			if most > 2 {
				t.Errorf("upstream %d ran %d requests of this instance at the same time", n, most)
			}
		}
		b.says = false
		env.sendMany(1, time.Second)
		env.sendMany(1, time.Second)
		clear(b.most)
		env.sendMany(40, 10*time.Second)
		if b.most[0] <= 2 && b.most[1] <= 2 {
			t.Error("the limit stays when the upstreams are no longer brittle")
		}
	})
}

// TestRequestsWithoutRoomAreRefused guards against requests that wait for brittle upstreams until their
// deadline, and against refusals that do not say when to return.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, b := newBrittleEnv(t)
		env.sendMany(1, time.Second)
		b.work = 3 * time.Second
		began := time.Now()
		statuses := env.sendMany(12, 8*time.Second)
		if statuses[200] < 4 || statuses[200]+statuses[503] != 12 {
			t.Errorf("statuses %v", statuses)
		}
		if took := time.Since(began); took > 8*time.Second {
			t.Errorf("the last response came after %v", took)
		}
		got := env.sendMany(1, time.Second)
		if got[200]+got[504]+got[502] != 1 {
			t.Errorf("afterwards: %v", got)
		}
	})
}

// TestUrgentRequestGetsRoomFirst guards against less urgent requests that overtake more urgent ones while
// they wait for brittle upstreams.
func TestUrgentRequestGetsRoomFirst(t *testing.T) {
	r := newRooms()
	later, urgent := r.wait("s", 2), r.wait("s", 0)
	r.end(0, "s", "u", true)
	select {
	case <-later.woken:
		t.Error("the less urgent request was woken first")
	case <-urgent.woken:
		urgent.woken <- struct{}{}
	}
	if !r.isBehind("s", 2, nil) || !r.isBehind("s", 0, nil) || r.isBehind("s", 0, urgent) {
		t.Error("a request overtakes those that wait")
	}
	// The urgent one has given up: the room is for the next one.
	r.leave("s", urgent, false)
	select {
	case <-later.woken:
	default:
		t.Error("the room is lost with the request that was woken")
	}
}
