package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// benchmarkPool returns a pool of 20 engines with backlog waiting requests from
// 50 accounts, and the grants of the running ones.
func benchmarkPool(backlog int) (*Pool, []Grant) {
	p := New(DefaultSettings())
	p.Handle(0, configured(20, 16, config.Class{Name: "c1", Tier: 1, InterTokenLatency: 73}))
	var running []Grant
	for i := range 320 + backlog {
		for _, a := range p.Handle(0, Event{Enqueue: benchmarkRequest(i)}) {
			if a.Grant != nil {
				running = append(running, *a.Grant)
			}
		}
	}
	return p, running
}

func benchmarkRequest(i int) *Request {
	r := request(fmt.Sprintf("r%d", i), 1)
	r.Account = types.AccountID(fmt.Sprintf("a%d", i%50))
	r.DeadlineIn = time.Hour
	return r
}

// BenchmarkEnqueueGrant measures one request in a busy pool: its enqueue and the
// finish of another one that lets the next request start.
func BenchmarkEnqueueGrant(b *testing.B) {
	for _, backlog := range []int{0, 100, 900} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) {
			p, running := benchmarkPool(backlog)
			now := time.Duration(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 5 * time.Millisecond
				g := running[0]
				running = running[1:]
				actions := p.Handle(now, Event{Finish: &Finish{ID: g.ID, Upstream: g.Upstream, Reason: FinishComplete, Tokens: 100, InterTokenLatency: 10 * time.Millisecond}})
				actions = append(actions, p.Handle(now, Event{Enqueue: benchmarkRequest(1000000 + i)})...)
				for _, a := range actions {
					if a.Grant != nil {
						running = append(running, *a.Grant)
					}
				}
			}
		})
	}
}

// BenchmarkProgress measures one progress report in a busy pool.
func BenchmarkProgress(b *testing.B) {
	p, running := benchmarkPool(100)
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		p.Handle(now, Event{Progress: &Progress{ID: running[i%len(running)].ID, Tokens: i/len(running) + 1, InterTokenLatency: 10 * time.Millisecond}})
	}
}
