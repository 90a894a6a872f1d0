package reservation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

const (
	reportAge                  = 200 * time.Millisecond
	upstream  types.UpstreamID = "u"
)

func waiting(tokens, requests int) placement.Load {
	return placement.Load{ByPriority: map[int]placement.PriorityLoad{1: {PrefillTokens: tokens, Waiting: requests}}}
}

func TestCorrect(t *testing.T) {
	start := Change{Upstream: upstream, Attempt: 1, Priority: 1, PrefillTokens: 900}
	end := Change{Upstream: upstream, Attempt: 1, Ended: true}
	for name, c := range map[string]struct {
		startedAt, endedAt, now time.Duration
		reported, want          placement.Load
	}{
		"sent after the report":                          {0, -1, reportAge / 2, waiting(0, 0), waiting(900, 1)},
		"contained in the report":                        {0, -1, reportAge, waiting(900, 1), waiting(900, 1)},
		"answered, but still in the report":              {0, 3 * reportAge, 3*reportAge + reportAge/2, waiting(900, 1), waiting(0, 0)},
		"answered before the report":                     {0, reportAge, 3 * reportAge, waiting(0, 0), waiting(0, 0)},
		"sent and answered after the report":             {0, reportAge / 2, reportAge / 2, waiting(300, 1), waiting(300, 1)},
		"answered, and the report is newer than assumed": {0, reportAge, reportAge + 1, waiting(0, 0), waiting(0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(reportAge)
			table.Apply(c.startedAt, "i", start)
			if c.endedAt >= 0 {
				table.Apply(c.endedAt, "i", end)
			}
			if got := table.Correct(c.now, upstream, c.reported).Total(); got != c.want.Total() {
				t.Errorf("corrected load is %+v, want %+v", got, c.want.Total())
			}
		})
	}
}

// TestCorrectedLoadIsExact compares the corrected load with the true one while requests
// start and end, for reports that are as old as assumed.
func TestCorrectedLoadIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type span struct {
			from, to time.Duration
			tokens   int
		}
		loadAt := func(spans []span, at time.Duration) (load placement.PriorityLoad) {
			for _, s := range spans {
				if s.from <= at && at < s.to {
					load.PrefillTokens += s.tokens
					load.Waiting++
				}
			}
			return load
		}
		table := NewTable(reportAge)
		var spans []span
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			from := time.Duration(rapid.IntRange(0, 2000).Draw(t, "from")) * time.Millisecond
			spans = append(spans, span{from, from + time.Duration(rapid.IntRange(1, 1500).Draw(t, "length"))*time.Millisecond, rapid.IntRange(1, 9000).Draw(t, "tokens")})
		}
		for now := time.Duration(0); now <= 4*time.Second; now += time.Millisecond {
			for i, s := range spans {
				instance := types.InstanceID(fmt.Sprint("i", i%3))
				if s.from == now {
					table.Apply(now, instance, Change{Upstream: upstream, Attempt: uint64(i), Priority: 1, PrefillTokens: s.tokens})
				}
				if s.to == now {
					table.Apply(now, instance, Change{Upstream: upstream, Attempt: uint64(i), Ended: true})
				}
			}
			reported := placement.Load{ByPriority: map[int]placement.PriorityLoad{1: loadAt(spans, now-reportAge)}}
			if got, want := table.Correct(now, upstream, reported).Total(), loadAt(spans, now); got != want {
				t.Fatalf("at %v the corrected load is %+v, the load is %+v", now, got, want)
			}
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	table := NewTable(reportAge)
	for i := range 3 * maxPerUpstream {
		table.Apply(0, "i", Change{Upstream: upstream, Attempt: uint64(i), PrefillTokens: 1})
	}
	if got := table.Correct(0, upstream, placement.Load{}).Total().Waiting; got > maxPerUpstream {
		t.Errorf("%d reservations are kept, %d are allowed", got, maxPerUpstream)
	}
	table.Apply(maxAge, "i", Change{Upstream: upstream, Attempt: 1, PrefillTokens: 1})
	if got := len(table.upstreams[upstream]); got != 1 {
		t.Errorf("%d reservations are left after maxAge, want the new one", got)
	}
	table.Retain(func(types.UpstreamID) bool { return false })
	if len(table.upstreams) != 0 {
		t.Error("reservations of an upstream are left that the instance no longer keeps")
	}
}

func TestReportedLoadIsNotChanged(t *testing.T) {
	table := NewTable(reportAge)
	table.Apply(0, "i", Change{Upstream: upstream, Attempt: 1, Priority: 1, PrefillTokens: 900})
	table.Apply(3*reportAge, "i", Change{Upstream: upstream, Attempt: 1, Ended: true})
	reported := waiting(900, 1)
	table.Correct(3*reportAge, upstream, reported)
	if got := reported.Total(); got != waiting(900, 1).Total() {
		t.Errorf("the report is %+v after its correction", got)
	}
}
