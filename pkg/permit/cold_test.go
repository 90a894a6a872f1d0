package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// The bound of a cold upstream on the requests of the whole fleet in any one second.
const (
	coldWindow = time.Second
	coldOver   = 1.5
	coldSlack  = 5
)

// TestColdUpstreamKeepsItsBound guards the bound of a cold upstream for fleets of several
// sizes, with one issuer or the two of a partition, and with an issuer that another one
// replaces. A permit may be used at any time up to ColdTTL after it was issued, so the bound
// must hold for all permits of a window that is longer by that time.
func TestColdUpstreamKeepsItsBound(t *testing.T) {
	for _, instances := range []int{1, 2, 58, 89} {
		for _, issuers := range []int{1, 2} {
			for _, takeover := range []time.Duration{0, 1500 * time.Millisecond, 3700 * time.Millisecond} {
				for _, perSecond := range []float64{0.1, 1, 5.7, 20} {
					for _, part := range parts(instances, issuers) {
						granted := pressOnColdUpstream(instances, part, takeover, perSecond)
						allowed := int(coldOver*perSecond + coldSlack)
						if got := MostInWindow(granted, coldWindow+ColdTTL); got > allowed {
							t.Errorf("%d instances in parts of %v, takeover after %v, %g a second: %d requests, %d are allowed", instances, part, takeover, perSecond, got, allowed)
						}
						if perSecond >= 1 && len(granted) < int(5*ColdShare*perSecond*0.8) {
							t.Errorf("%d instances in parts of %v, takeover after %v, %g a second: only %d requests in 6 s", instances, part, takeover, perSecond, len(granted))
						}
					}
				}
			}
		}
	}
}

// parts returns the sizes of the parts of a fleet with so many issuers: of two, those around
// a third, where both together use most, and some others.
func parts(instances, issuers int) [][]int {
	if issuers == 1 {
		return [][]int{{instances}}
	}
	var all [][]int
	for _, first := range []int{1, instances / 5, instances/3 - 1, instances / 3, instances/3 + 1, instances / 2} {
		if first > 0 && first < instances {
			all = append(all, []int{first, instances - first})
		}
	}
	return all
}

// pressOnColdUpstream lets all instances ask for permits for 6 s, each part of its own
// issuer. The first issuer is replaced after takeover, if that is not zero. All issuers have
// full buckets at the beginning.
func pressOnColdUpstream(instances int, parts []int, takeover time.Duration, perSecond float64) (granted []time.Duration) {
	random := rand.New(rand.NewPCG(uint64(instances), uint64(len(parts))))
	issuers := make([]*Issuer, len(parts))
	for i := range issuers {
		issuers[i] = NewIssuer()
		issuers[i].Issue(-time.Minute, Request{Upstream: "u", From: "before"}, ColdLimit(perSecond), 1)
	}
	for now := time.Duration(0); now < 6*time.Second; now += 5 * time.Millisecond {
		if takeover > 0 && now == takeover {
			issuers[0] = NewIssuer()
		}
		for i, issuer := range issuers {
			request := Request{Upstream: "u", Priority: random.IntN(3), From: types.InstanceID(fmt.Sprint(i, random.IntN(parts[i]))), Jitter: random.Float64()}
			if issuer.Issue(now, request, ColdLimit(perSecond), Share(parts[i], instances)).Granted {
				granted = append(granted, now)
			}
		}
	}
	return granted
}

// TestBucketOfHigherLimitIsNotUsedWhenCold guards against a burst of permits that a named
// limit allowed before its upstream became cold.
func TestBucketOfHigherLimitIsNotUsedWhenCold(t *testing.T) {
	issuer := NewIssuer()
	named := Limit{100, true}
	issuer.Issue(0, Request{Upstream: "u"}, named, 1)
	issuer.Issue(ms(2000), Request{Upstream: "u"}, named, 1)
	granted := 0
	for now := 2001; now <= 3250; now++ {
		if issuer.Issue(ms(now), Request{Upstream: "u"}, Strictest(named, ColdLimit(5.7)), 1).Granted {
			granted++
		}
	}
	if allowed := 13; granted > allowed {
		t.Errorf("%d requests in the first second, %d are allowed", granted, allowed)
	}
}

func TestColdLimitAndStrictest(t *testing.T) {
	for _, c := range []struct {
		limits []Limit
		want   Limit
	}{
		{nil, Limit{}},
		{[]Limit{ColdLimit(0), ColdLimit(-1)}, Limit{}},
		{[]Limit{{}, ColdLimit(10)}, Limit{6.4, true}},
		{[]Limit{{2, true}, ColdLimit(10)}, Limit{2, true}},
		{[]Limit{{9, true}, ColdLimit(10), {}}, Limit{6.4, true}},
		{[]Limit{ColdLimit(10), {0, true}}, Limit{0, true}},
	} {
		if got := Strictest(c.limits...); got != c.want {
			t.Errorf("the strictest of %+v is %+v, want %+v", c.limits, got, c.want)
		}
	}
}

// TestUnobservedChangesNoLimit guards against the end of a named limit at an issuer that is
// asked by an instance which does not know the limit.
func TestUnobservedChangesNoLimit(t *testing.T) {
	table := NewTable()
	if _, changed := table.Observe("u", Unobserved()); changed || len(table.All()) != 0 {
		t.Errorf("known are %+v", table.All())
	}
	table.Observe("u", limited(3, -100_000, -99_000))
	if _, changed := table.Observe("u", Unobserved()); changed {
		t.Error("a limit has changed")
	}
}
