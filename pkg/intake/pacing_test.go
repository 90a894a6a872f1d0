package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// costlyWork are reads of 4 KiB that cause much work.
var costlyWork = map[string]Work{
	"chunks of one byte": {Bytes: 4 << 10, Lines: 1365},
	"empty lines":        {Bytes: 4 << 10, Lines: 2048},
	"pipelined requests": {Bytes: 4 << 10, Lines: 130, Pipelined: 26},
	"reads of a byte":    {Bytes: 1},
}

func lateBy(late time.Duration) func() time.Duration { return func() time.Duration { return late } }

func addAccount(t testing.TB, pool *Pool, now time.Duration) *Account {
	t.Helper()
	account, ok := pool.Add(now, func(Phase) {})
	if !ok {
		t.Fatal("there is no room for a connection")
	}
	return account
}

// TestOrdinaryConnectionsAreNotPaced guards against callers that wait for what a crowd costs.
func TestOrdinaryConnectionsAreNotPaced(t *testing.T) {
	for name, c := range map[string]struct {
		work     []Work
		interval time.Duration
		handled  bool
	}{
		"a request in a few reads":          {[]Work{{Bytes: 20, Lines: 1}, {Bytes: 80, Lines: 3}, {Bytes: 5}, {Bytes: 100, Lines: 5}}, 0, true},
		"a small request at once":           {[]Work{{Bytes: 150, Lines: 6}}, 0, true},
		"a header of short fields":          {[]Work{{Bytes: 4 << 10, Lines: 250}, {Bytes: 4 << 10, Lines: 250}}, 0, true},
		"a long upload in pieces":           {[]Work{{Bytes: 1 << 10}}, 0, false},
		"a long upload in chunks":           {[]Work{{Bytes: 520, Lines: 2}}, 0, false},
		"small pieces at some intervals":    {[]Work{{Bytes: 10}}, 10 * time.Millisecond, false},
		"chunks of a token at the same one": {[]Work{{Bytes: 10, Lines: 2}}, 12 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			pool, now := NewPool(Limits{Memory: 1 << 30, Connections: 100}), time.Second
			crowd, account := addAccount(t, pool, now), addAccount(t, pool, now)
			for range 10000 {
				crowd.Charge(now, lateBy(time.Second), costlyWork["empty lines"])
				for _, work := range c.work {
					if pause, ok := account.Charge(now, lateBy(time.Second), work); pause > 0 || !ok {
						t.Fatalf("%+v must wait for %v at %v", work, pause, now)
					}
				}
				if c.handled {
					account.End(now, Idle, 0)
				}
				now += c.interval
			}
		})
	}
}

// TestCostlyConnectionsShareTheirProcessorTime lets connections of all kinds wait for their turns, and checks that the
// work of all together stays below its share of the processor.
func TestCostlyConnectionsShareTheirProcessorTime(t *testing.T) {
	const observed = 20 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		connections := rapid.IntRange(1, 200).Draw(r, "connections")
		pool := NewPool(Limits{Memory: 1 << 30, Connections: connections})
		type client struct {
			*Account
			work Work
			next time.Duration
		}
		names := rapid.SampledFrom([]string{"chunks of one byte", "empty lines", "pipelined requests", "reads of a byte"})
		var clients []*client
		for range connections {
			clients = append(clients, &client{addAccount(t, pool, 0), costlyWork[names.Draw(r, "work")], 0})
		}
		var done, free time.Duration
		for now := time.Duration(0); now < observed; now += 10 * time.Millisecond {
			for _, c := range clients {
				for c.next <= now {
					pause, ok := c.Charge(c.next, lateBy(time.Second), c.work)
					if pause > maxPause {
						r.Fatalf("a pause of %v", pause)
					}
					if ok {
						done += c.work.cost()
					}
					// The read itself takes time.
					c.next += pause + time.Millisecond
				}
			}
		}
		free = time.Duration(connections) * (freeCost + time.Duration(freeShare*float64(observed)))
		paid := time.Duration(excessShare * float64(observed+maxPause))
		if most := free + paid + costlyWork["pipelined requests"].cost(); done > most {
			r.Errorf("the connections took %v of the processor in %v, %v are allowed", done, observed, most)
		}
	})
}

// TestPacingEndsAfterLateness checks that costly connections do not wait in calm.
func TestPacingEndsAfterLateness(t *testing.T) {
	pool, work := NewPool(Limits{Memory: 1 << 30, Connections: 1}), costlyWork["pipelined requests"]
	account := addAccount(t, pool, 0)
	check := func(now, late time.Duration, paced bool) {
		t.Helper()
		account.Charge(now, lateBy(late), work)
		if pause, ok := account.Charge(now, lateBy(late), work); pause > 0 != paced || !ok {
			t.Errorf("at %v, late by %v: a pause of %v", now, late, pause)
		}
	}
	check(time.Second, lateness-1, false)
	check(2*time.Second, lateness, true)
	check(pacingTime, 0, true)
	check(2*time.Second+pacingTime, 0, false)
}

// TestCostlyConnectionIsRefusedAfterTheLongestPause checks that a crowd that is too large does not keep its connections.
func TestCostlyConnectionIsRefusedAfterTheLongestPause(t *testing.T) {
	pool := NewPool(Limits{Memory: 1 << 30, Connections: 1})
	account, refused := addAccount(t, pool, 0), 0
	for range 1000 {
		if pause, ok := account.Charge(0, lateBy(time.Second), costlyWork["pipelined requests"]); !ok {
			refused++
			if pause != maxPause {
				t.Fatalf("refused after %v", pause)
			}
		}
	}
	if counts := pool.Status().PacingCounts; refused == 0 || counts.Excessive != refused {
		t.Errorf("%d reads were refused, %+v", refused, counts)
	}
}

func BenchmarkCharge(b *testing.B) {
	for name, work := range map[string]Work{"ordinary": {Bytes: 1 << 10}, "costly": costlyWork["chunks of one byte"]} {
		b.Run(name, func(b *testing.B) {
			account := addAccount(b, NewPool(Limits{Memory: 1 << 30, Connections: 1}), 0)
			now, late := time.Duration(0), lateBy(time.Second)
			for b.Loop() {
				now += time.Microsecond
				account.Charge(now, late, work)
			}
		})
	}
}
