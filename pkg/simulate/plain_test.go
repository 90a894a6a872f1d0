package simulate

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	plainUpstreams, plainEntries, plainSlots = 3, 4, 6
	plainTime, plainObjective                = 30 * time.Millisecond, 100 * time.Millisecond
	// The first upstream is three times slower between slowFrom and slowUntil.
	slowFrom, slowUntil, plainDay = 8 * time.Second, 16 * time.Second, 28 * time.Second
	// plainRate is 70 % of what the upstreams serve while one of them is slow.
	plainRate = 0.7 * plainSlots * (2 + 1.0/3) / float64(plainTime/time.Millisecond)
)

// plainCall is a call at a plain upstream.
type plainCall struct {
	attempt  *roster.Attempt
	upstream int
	at, ends time.Duration
}

// plainPlay plays calls of entries that share loads and observations, on three upstreams.
type plainPlay struct {
	random  *rand.Rand
	rosters []*roster.Roster
	queues  [plainUpstreams][]*plainCall
	// served counts the calls by upstream and second, inTime those that were in time.
	served [plainUpstreams][plainDay / time.Second]int
	inTime int
	calls  int
}

// factor returns the factor of an upstream's times: noise of 2.5 for a sixth of the time, 0.6 s
// each, and the slow time of the first.
func (p *plainPlay) factor(now time.Duration, upstream int) float64 {
	factor := 1.0
	if (now+time.Duration(upstream)*1200*time.Millisecond)%(3600*time.Millisecond) < 600*time.Millisecond {
		factor = 2.5
	}
	if upstream == 0 && now >= slowFrom && now < slowUntil {
		factor *= 3
	}
	return factor
}

func (p *plainPlay) arrive(now time.Duration) {
	r := p.rosters[p.random.IntN(len(p.rosters))]
	work := &placement.Work{Objective: plainObjective}
	choice, _ := placement.Choose(work, placement.Entry{FleetSize: plainEntries}, fmt.Sprint(p.calls), r.Candidates(now, roster.Selection{Target: target}, work))
	call := &plainCall{attempt: r.Begin(now, work, choice), upstream: int(choice.ID[0] - '0'), at: now}
	p.queues[call.upstream] = append(p.queues[call.upstream], call)
	p.calls++
	p.served[call.upstream][now/time.Second]++
}

// serve starts the first calls of each queue and ends those that are done.
func (p *plainPlay) serve(now time.Duration) {
	for upstream, queue := range p.queues {
		rest := queue[:0]
		for i, call := range queue {
			if call.ends == 0 && i < plainSlots {
				call.ends = now + time.Duration(float64(plainTime)*p.factor(now, upstream)*(0.8+0.4*p.random.Float64()))
			}
			if call.ends == 0 || call.ends > now {
				rest = append(rest, call)
				continue
			}
			call.attempt.RecordFirstResponse(now)
			call.attempt.End(now, roster.Completed)
			if now-call.at <= plainObjective {
				p.inTime++
			}
		}
		p.queues[upstream] = rest
	}
}

// exchange delivers the loads every 40 ms and the observations every 600 ms.
func (p *plainPlay) exchange(now time.Duration) {
	for from, r := range p.rosters {
		loads, summaries := r.Loads(now, nil), r.TakeCapacity(now)
		for to, other := range p.rosters {
			if to != from {
				other.ApplyPeerReport(now, types.InstanceID(fmt.Sprint(from)), loads, nil)
				other.MergeCapacity(now, summaries)
			}
		}
	}
}

func playPlain(learn bool, seed uint64) *plainPlay {
	p := &plainPlay{random: rand.New(rand.NewPCG(seed, 9))}
	var list []roster.Upstream
	for i := range plainUpstreams {
		list = append(list, roster.Upstream{ID: types.UpstreamID(fmt.Sprint(i)), Target: target, Slots: plainSlots, Ready: true})
	}
	for range plainEntries {
		r := roster.New()
		if learn {
			r.LearnCapacity()
		}
		r.Update(list)
		p.rosters = append(p.rosters, r)
	}
	for now := tick; now < plainDay; now += tick {
		if p.random.Float64() < plainRate {
			p.arrive(now)
		}
		p.serve(now)
		if now%directReportInterval == 0 {
			p.exchange(now)
		}
	}
	return p
}

// share returns the share of an upstream in the calls that begin between two times.
func (p *plainPlay) share(upstream int, from, until time.Duration) float64 {
	own, all := 0, 0
	for i := range p.served {
		for second := from / time.Second; second < until/time.Second; second++ {
			all += p.served[i][second]
			if i == upstream {
				own += p.served[i][second]
			}
		}
	}
	return float64(own) / float64(all)
}

// TestSlowPlainUpstreamGetsFewerCalls guards against noise that takes calls from an upstream,
// against a slow upstream that keeps its share, against one that gets none after it has
// recovered, and against calls in time that are lost by all this. The standard error of the
// difference is about 0.003 with six seeds and 0.0015 with 24.
func TestSlowPlainUpstreamGetsFewerCalls(t *testing.T) {
	const settle, seeds = 3 * time.Second, 24
	var without, with [seeds]*plainPlay
	var runs sync.WaitGroup
	for i := range seeds {
		runs.Go(func() { without[i], with[i] = playPlain(false, uint64(i)+1), playPlain(true, uint64(i)+1) })
	}
	runs.Wait()
	before, learned := 0.0, 0.0
	for i, play := range with {
		before += float64(without[i].inTime) / float64(without[i].calls) / seeds
		learned += float64(play.inTime) / float64(play.calls) / seeds
		for upstream := range plainUpstreams {
			if share := play.share(upstream, settle, slowFrom); share < 0.25 {
				t.Errorf("seed %d: upstream %d gets %.3f of the calls although there is only noise", i+1, upstream, share)
			}
		}
		if share := play.share(0, slowFrom+settle, slowUntil); share > 0.1 {
			t.Errorf("seed %d: the slow upstream gets %.3f of the calls", i+1, share)
		}
		if share := play.share(0, slowUntil+settle, plainDay); share < 0.25 {
			t.Errorf("seed %d: the recovered upstream gets %.3f of the calls", i+1, share)
		}
	}
	if t.Logf("in time %.4f with learned capacity, %.4f without", learned, before); learned < before {
		t.Errorf("%.4f of the calls are in time, without learned capacity %.4f", learned, before)
	}
}
