package load_test

import (
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// engine has the times of the users' engines.
func engine(stepMicroseconds, tokensPerMillisecond float64, memory int) model.Settings {
	return model.Settings{
		StepBase:            time.Duration(stepMicroseconds * float64(time.Microsecond)),
		StepPerSequence:     16400 * time.Nanosecond,
		StepPerPrefillToken: time.Duration(float64(time.Millisecond) / tokensPerMillisecond),
		MaxBatch:            64,
		PrefillChunk:        1024,
		KVTokens:            memory,
		PrefixTokens:        memory / 2,
	}
}

func longPrompts(perSecond, worth, late float64) kind {
	return kind{name: "long", perSecond: perSecond, priority: 1, shared: 6300, own: 2890, sessions: 138, events: 13, spread: 1,
		objective: 600 * time.Millisecond, pauses: 250 * time.Millisecond, patience: 2400 * time.Millisecond, worth: worth, late: late}
}

func shortPrompts(perSecond, worth, late float64) kind {
	return kind{name: "short", perSecond: perSecond, shared: 198, own: 628, sessions: 173, events: 73, spread: 0.69,
		objective: 250 * time.Millisecond, pauses: 150 * time.Millisecond, patience: 2 * time.Second, worth: worth, late: late}
}

// sites are the heaviest standard days of both users: rates, bursts, engines.
func sites() map[string]site {
	bursts := []burst{{"long", 500 * time.Millisecond, 9500 * time.Millisecond, 2.4}, {"short", 11 * time.Second, 16 * time.Second, 2.2}, {"long", 17500 * time.Millisecond, 20 * time.Second, 1.8}}
	return map[string]site{
		"callbacks": {engines: 9, settings: engine(5050, 40.8, 368_513), length: 22 * time.Second, bursts: bursts,
			kinds: []kind{longPrompts(21.5, 4, 1.2), shortPrompts(26.8, 1.4, 0.13)}},
		"bookings": {engines: 18, settings: engine(5230, 38.4, 258_710), length: 22 * time.Second, bursts: bursts,
			kinds: []kind{longPrompts(35, 4.7, 1.5), shortPrompts(50, 1.1, 0.1)}},
	}
}

// TestTheHeaviestDays plays each site under the product and the baselines.
func TestTheHeaviestDays(t *testing.T) {
	for name, s := range sites() {
		for _, seed := range []uint64{1, 2} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				got := play(s, seed, product).outcomes()
				for _, c := range []struct {
					name   string
					policy policy
				}{{"the lesser of two", lesserOfTwo}, {"a fixed limit", fixedLimit}} {
					other := play(s, seed, c.policy).outcomes()
					t.Logf("product %+v, %s %+v", got, c.name, other)
					if got[""].worth <= other[""].worth {
						t.Errorf("callers get %.0f; with %s they would get %.0f", got[""].worth, c.name, other[""].worth)
					}
				}
				for kind, o := range got {
					if o.nothing*5 > o.asked*3 {
						t.Errorf("%d of %d requests of %q get nothing; 60 in 100 are allowed", o.nothing, o.asked, kind)
					}
				}
				short, long := got["short"], got["long"]
				if share(short.nothing, short.asked) > share(long.nothing, long.asked)+0.05 {
					t.Errorf("of the urgent %d of %d get nothing, of the others %d of %d", short.nothing, short.asked, long.nothing, long.asked)
				}
			})
		}
	}
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// TestLongRequestsAreNotTheOnesRefused looks at the largest tenth.
func TestLongRequestsAreNotTheOnesRefused(t *testing.T) {
	w := play(sites()["callbacks"], 3, product)
	var long []*request
	for _, r := range w.requests {
		if r.kind.name == "long" {
			long = append(long, r)
		}
	}
	slices.SortFunc(long, func(a, b *request) int { return b.work.Tokens - a.work.Tokens })
	served := func(list []*request) float64 {
		count := 0
		for _, r := range list {
			if r.ended {
				count++
			}
		}
		return share(count, len(list))
	}
	if largest, all := served(long[:len(long)/10]), served(long); largest < all/2 {
		t.Errorf("of the largest tenth %.2f are served, of all %.2f", largest, all)
	}
}
