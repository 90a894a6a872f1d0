package intake

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// trackedAccount is an account with what a connection would know.
type trackedAccount struct {
	*Account
	phase      Phase
	progressAt time.Duration
	evicted    bool
}

// TestPoolStaysWithinItsLimits lets connections come, receive, be served and leave in random order.
func TestPoolStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Memory: 40 * ConnectionBytes, Connections: rapid.IntRange(1, 20).Draw(t, "connections")}
		pool := NewPool(limits)
		var now time.Duration
		var open []*trackedAccount
		pick := func(t *rapid.T) *trackedAccount {
			if len(open) == 0 {
				t.Skip("no connections")
			}
			return rapid.SampledFrom(open).Draw(t, "account")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"connect": func(t *rapid.T) {
				a := &trackedAccount{progressAt: now}
				account, ok := pool.Add(now, func(phase Phase) {
					a.evicted = true
					if phase != a.phase {
						t.Fatalf("evicted in phase %v, it is in %v", phase, a.phase)
					}
					if phase == Serving || phase == Body && now-a.progressAt < StallTime {
						t.Fatalf("evicted in phase %v after %v", phase, now-a.progressAt)
					}
				})
				if ok {
					a.Account = account
					open = append(open, a)
				}
			},
			"receive": func(t *rapid.T) {
				a, phase := pick(t), rapid.SampledFrom([]Phase{Head, Body, Serving}).Draw(t, "phase")
				switch verdict := a.Receive(now, phase, progressBytes, HeadCost(rapid.IntRange(0, 64<<10).Draw(t, "bytes"), rapid.IntRange(0, 999).Draw(t, "lines"))); {
				case (verdict == Evicted) != a.evicted:
					t.Fatalf("%v, evicted: %t", verdict, a.evicted)
				case verdict != Evicted:
					a.phase, a.progressAt = phase, now
				}
			},
			"reserve": func(t *rapid.T) {
				a, n := pick(t), int64(rapid.IntRange(1, 8*ConnectionBytes).Draw(t, "bytes"))
				if ok, _ := a.Reserve(now, n); ok && rapid.Bool().Draw(t, "release") {
					a.Release(n)
				}
			},
			"end handler": func(t *rapid.T) { pick(t).EndHandler() },
			"end": func(t *rapid.T) {
				a := pick(t)
				a.End(now, Idle, 0)
				if !a.evicted {
					a.phase, a.progressAt = Idle, now
				}
			},
			"close": func(t *rapid.T) {
				a := pick(t)
				a.Close()
				open = slices.DeleteFunc(open, func(other *trackedAccount) bool { return other == a })
			},
			"": func(t *rapid.T) {
				status := pool.Status()
				if used := status.Reserved + int64(status.Open)*ConnectionBytes; used > limits.Memory || status.Reserved < 0 {
					t.Fatalf("%d bytes are in use, %d are allowed", used, limits.Memory)
				}
				if status.Open > limits.Connections || status.Open < 0 {
					t.Fatalf("%d connections are open, %d are allowed", status.Open, limits.Connections)
				}
			},
		})
		for _, a := range open {
			a.Close()
		}
		if status := pool.Status(); status.Open != 0 || status.Reserved != 0 {
			t.Fatalf("after the end: %+v", status)
		}
	})
}

// TestNewConnectionDisplacesTheOldest guards against a crowd of connections that keeps ordinary callers out.
func TestNewConnectionDisplacesTheOldest(t *testing.T) {
	pool := NewPool(Limits{Memory: 1 << 30, Connections: 2})
	var evicted []int
	add := func(number int, now time.Duration) (*Account, bool) {
		return pool.Add(now, func(Phase) { evicted = append(evicted, number) })
	}
	first, _ := add(1, 0)
	_, _ = add(2, 1)
	first.Receive(2, Head, 1, 0)
	third, ok := add(3, 3)
	if !ok || !slices.Equal(evicted, []int{2}) {
		t.Fatalf("accepted %t, evicted %v", ok, evicted)
	}
	first.Receive(4, Serving, 1, 0)
	third.Receive(4, Body, 1, 0)
	if _, ok := add(4, 5); ok {
		t.Error("a connection was accepted although the others are being served")
	}
	if _, ok := add(5, 4+StallTime); !ok || !slices.Equal(evicted, []int{2, 3}) {
		t.Errorf("accepted %t, evicted %v", ok, evicted)
	}
}

// TestStalledRequestsMakeRoom guards against requests that are never complete and hold all memory.
func TestStalledRequestsMakeRoom(t *testing.T) {
	pool := NewPool(Limits{Memory: 10 << 20, Connections: 100})
	var evicted []int
	var accounts []*Account
	for number := range 9 {
		a, _ := pool.Add(0, func(Phase) { evicted = append(evicted, number) })
		a.Begin(0, Body)
		if ok, _ := a.Reserve(0, 900<<10); !ok {
			t.Fatal("no memory")
		}
		accounts = append(accounts, a)
	}
	ordinary, _ := pool.Add(0, func(Phase) { t.Error("the request that needs memory was evicted") })
	if ok, pending := ordinary.Reserve(StallTime/2, 2<<20); ok || pending {
		t.Errorf("reserved %t, pending %t", ok, pending)
	}
	accounts[0].Receive(StallTime/2, Body, progressBytes, 0)
	if ok, pending := ordinary.Reserve(StallTime, 1<<20); ok || !pending || !slices.Equal(evicted, []int{1}) {
		t.Fatalf("reserved %t, pending %t, evicted %v", ok, pending, evicted)
	}
	if accounts[1].Receive(StallTime, Body, 1, 0) != Evicted {
		t.Error("the evicted request goes on")
	}
	accounts[1].End(StallTime, Idle, 0)
	if ok, _ := ordinary.Reserve(StallTime, 1700<<10); !ok {
		t.Error("no memory after the eviction")
	}
	if ok, _ := ordinary.Reserve(StallTime/2, 200<<10); ok {
		t.Error("large requests use the memory for small ones")
	}
	if small, _ := pool.Add(StallTime/2, nil); !isReserved(small, 100<<10) {
		t.Error("a small request finds no memory beside large ones")
	}
}

func isReserved(a *Account, n int64) bool {
	ok, _ := a.Reserve(StallTime/2, n)
	return ok
}

// TestLimitsOfInstance checks that the connections of a small instance are bounded by its memory or its
// descriptors.
func TestLimitsOfInstance(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		connections int
	}{{112 << 20, 4100, 788}, {134 << 20, 4100, 943}, {536 << 20, 4100, 1950}, {536 << 20, 0, 3773}, {112 << 20, 10, 1}} {
		if got := LimitsOf(c.memory, c.descriptors); got.Connections != c.connections {
			t.Errorf("%d MB, %d descriptors: %+v, want %d connections", c.memory>>20, c.descriptors, got, c.connections)
		}
	}
}

// reserver counts what is reserved, up to a limit.
type reserver struct{ used, limit int64 }

func (r *reserver) Reserve(n int64) bool {
	if r.used+n > r.limit {
		return false
	}
	r.used += n
	return true
}

func (r *reserver) Release(n int64) { r.used -= n }

// TestBodyIsReserved checks that a body is read only into memory that was reserved.
func TestBodyIsReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 100_000).Draw(t, "size")
		limit := rapid.Int64Range(0, 100_000).Draw(t, "limit")
		memory := &reserver{limit: rapid.Int64Range(0, 300_000).Draw(t, "memory")}
		length := int64(-1)
		if rapid.Bool().Draw(t, "known") {
			length = int64(size)
		}
		var reader io.Reader = strings.NewReader(strings.Repeat("b", size))
		if rapid.Bool().Draw(t, "halves") {
			reader = iotest.HalfReader(reader)
		}
		reservation := NewReservation(memory)
		body, err := ReadBody(reader, length, limit, reservation)
		if reservation.held != memory.used || int64(len(body)) > reservation.held {
			t.Fatalf("%d bytes of body, %d reserved, %d in use", len(body), reservation.held, memory.used)
		}
		switch {
		case err == nil && len(body) != size:
			t.Fatalf("%d bytes of %d", len(body), size)
		case errors.Is(err, ErrBodyTooLarge) != (limit > 0 && int64(size) > limit) && !errors.Is(err, ErrNoMemory):
			t.Fatalf("%d bytes with a limit of %d: %v", size, limit, err)
		case errors.Is(err, ErrNoMemory) && int64(4*size+firstBodyBlock) < memory.limit:
			t.Fatalf("%d bytes, %d of memory: %v", size, memory.limit, err)
		}
	})
}
