package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// The bound of an upstream on the requests of the whole fleet in any window.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
)

func allowed(perSecond float64) int {
	return int(boundFactor*perSecond*boundWindow.Seconds()) + boundSlack
}

func ask(issuer *Issuer, now time.Duration, perSecond float64, priority int, from string) Reply {
	return issuer.Issue(now, Request{Upstream: "u", Priority: priority, From: types.InstanceID(from)}, Limit{perSecond, true}, 1)
}

// TestIssuerKeepsLimit presses on issuers that follow one another, with a limit that
// changes, and counts the permits in each window.
func TestIssuerKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		perSecond := rapid.Float64Range(0, 60).Draw(t, "limit")
		instances := rapid.IntRange(1, 350).Draw(t, "instances")
		// A new issuer takes over at most once in each window.
		takeovers := rapid.SliceOfN(rapid.IntRange(4000, 9000), 0, 4).Draw(t, "ms until the next issuer")
		issuer := NewIssuer()
		next := 0
		var granted []time.Duration
		for now := 0; now < 30_000; now += 1 + random.IntN(40) {
			if len(takeovers) > 0 && now-next >= takeovers[0] {
				next, takeovers, issuer = now, takeovers[1:], NewIssuer()
			}
			if ask(issuer, ms(now), perSecond, random.IntN(3), fmt.Sprint(random.IntN(instances))).Granted {
				granted = append(granted, ms(now))
			}
		}
		if got := MostInWindow(granted, boundWindow); got > allowed(perSecond) {
			t.Fatalf("%d permits within %v at a limit of %g, %d are allowed", got, boundWindow, perSecond, allowed(perSecond))
		}
	})
}

// TestTwoIssuersOfAPartitionKeepLimit lets two issuers each see a part of the fleet.
func TestTwoIssuersOfAPartitionKeepLimit(t *testing.T) {
	for _, instances := range []int{1, 2, 3, 5, 9, 16, 29} {
		for part := range instances + 1 {
			for _, perSecond := range []float64{0, 0.25, 0.7, 2.2, 8, 60} {
				var granted []time.Duration
				issuers := []*Issuer{NewIssuer(), NewIssuer()}
				shares := []float64{Share(part, instances), Share(instances-part, instances)}
				for now := 0; now < 12_000; now += 20 {
					for i, issuer := range issuers {
						if shares[i] == 0 {
							continue
						}
						if issuer.Issue(ms(now), Request{Upstream: "u"}, Limit{perSecond, true}, shares[i]).Granted {
							granted = append(granted, ms(now))
						}
					}
				}
				if got := MostInWindow(granted, boundWindow); got > allowed(perSecond) {
					t.Errorf("parts of %d and %d instances: %d permits within %v at a limit of %g, %d are allowed", part, instances-part, got, boundWindow, perSecond, allowed(perSecond))
				}
			}
		}
	}
}

func TestNewIssuerStartsWithoutPermits(t *testing.T) {
	issuer := NewIssuer()
	for now := 0; now <= 400; now += 10 {
		if ask(issuer, ms(now), 2, 0, "a").Granted {
			t.Fatalf("a permit after %d ms, the previous issuer may just have issued its last", now)
		}
	}
	if !ask(issuer, ms(500), 2, 0, "a").Granted {
		t.Error("no permit after the time for one")
	}
	issuer.Retain(func(types.UpstreamID) bool { return false })
	if ask(issuer, ms(60_000), 2, 0, "a").Granted {
		t.Error("an issuer that is responsible again has the permits of before")
	}
}

// TestLimitOfZeroLetsOneRequestThrough checks that the end of a limit can be noticed.
func TestLimitOfZeroLetsOneRequestThrough(t *testing.T) {
	for _, perSecond := range []float64{0, 0.01} {
		issuer := NewIssuer()
		count := 0
		for now := 0; now <= 40_000; now += 100 {
			if ask(issuer, ms(now), perSecond, 0, "a").Granted {
				count++
			}
		}
		if count != 10 {
			t.Errorf("%d requests in 40 s at a limit of %g, want 10", count, perSecond)
		}
	}
}

// TestUrgentRequestsGetPermitsFirst lets two priorities ask for more than the limit.
func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	for _, c := range []struct {
		urgentInterval int
		minUrgent      int
		minOther       int
	}{
		{100, 70, 1},   // More urgent requests than the limit: the others only avoid starvation.
		{1000, 36, 25}, // Half of the limit: the others get the rest.
	} {
		issuer := NewIssuer()
		counts := map[int]int{}
		for now := 0; now < 40_000; now += 50 {
			if now%c.urgentInterval == 0 && ask(issuer, ms(now), 2, 0, "a").Granted {
				counts[0]++
			}
			if ask(issuer, ms(now), 2, 1, "b").Granted {
				counts[1]++
			}
		}
		if counts[0] < c.minUrgent || counts[1] < c.minOther {
			t.Errorf("urgent requests every %d ms: %d permits for these, %d for others, want %d and %d", c.urgentInterval, counts[0], counts[1], c.minUrgent, c.minOther)
		}
	}
}

// TestRequestsForPermitsDoNotGrowWithTheFleet lets instances with many requests ask as soon
// as they may.
func TestRequestsForPermitsDoNotGrowWithTheFleet(t *testing.T) {
	for _, instances := range []int{9, 61, 350} {
		random := rand.New(rand.NewPCG(1, 2))
		issuer := NewIssuer()
		blocks := make([]*Blocks, instances)
		for i := range blocks {
			blocks[i] = NewBlocks()
		}
		const perSecond, seconds = 2.2, 60
		asked, granted := 0, 0
		for now := 0; now < seconds*1000; now += 5 {
			for i := range blocks {
				if random.Float64() > 0.02 || blocks[i].Remaining(ms(now), "u", 0) > 0 {
					continue
				}
				reply := issuer.Issue(ms(now), Request{Upstream: "u", From: types.InstanceID(fmt.Sprint(i)), Jitter: random.Float64()}, Limit{perSecond, true}, 1)
				asked++
				if reply.Granted {
					granted++
				} else {
					blocks[i].Block("u", 0, ms(now)+reply.RetryAfter)
				}
			}
		}
		t.Logf("%d instances: %.1f requests for permits a second, %.2f of the limit used", instances, float64(asked)/seconds, float64(granted)/(perSecond*seconds))
		if used := float64(granted) / (perSecond * seconds); used < 0.9 {
			t.Errorf("%d instances use %.2f of the limit", instances, used)
		}
		// An instance waits for maxRetry at least once a large fleet presses.
		if most := max(3*requestsPerPermit*perSecond, 1.1*float64(instances)/maxRetry.Seconds()); float64(asked)/seconds > most {
			t.Errorf("%d instances ask for %.1f permits a second, want at most %.1f", instances, float64(asked)/seconds, most)
		}
	}
}

func TestBlocksOfUrgentRequestsIncludeOthers(t *testing.T) {
	blocks := NewBlocks()
	blocks.Block("u", 2, ms(50))
	for priority, want := range map[int]time.Duration{0: 0, 1: 0, 2: ms(40), 3: ms(40)} {
		if got := max(blocks.Remaining(ms(10), "u", priority), 0); got != want {
			t.Errorf("priority %d is blocked for %v, want %v", priority, got, want)
		}
	}
	blocks.Retain(func(types.UpstreamID) bool { return false })
	if blocks.Remaining(ms(10), "u", 2) > 0 {
		t.Error("an upstream that is no longer listed is blocked")
	}
}
