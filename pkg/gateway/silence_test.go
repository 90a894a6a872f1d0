package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// silence is longer than an attempt may wait for its next event or its response before
// it is overdue.
const silence = streamIdleTimeout + 300*time.Millisecond

// silentRoutes have objectives that make an attempt without a response overdue during
// the silence.
func silentRoutes() []catalog.Route {
	return []catalog.Route{
		{Name: "safe", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond},
		{Name: "resume", Prefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true, Objective: 100 * time.Millisecond},
	}
}

// newSilentEnv has an upstream that writes before, falls silent and writes after, and
// lists another one as soon as the first has received a request. Without a responder, the
// other one refuses connections.
func newSilentEnv(t *testing.T, before, after string, other responder) *testEnv {
	return newHedgingEnv(t, 2, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(conn, before)
		time.Sleep(silence)
		_, _ = io.WriteString(conn, after)
	}, other)
}

// newHedgingEnv lists the first upstream, and the others as soon as it has received a
// request. It is used in a bubble: whether an attempt is overdue must not depend on the machine.
func newHedgingEnv(t *testing.T, maxAttempts int, first responder, others ...responder) *testEnv {
	routes := silentRoutes()
	for i := range routes {
		routes[i].MaxAttempts = maxAttempts
	}
	env := newBubbleEnv(t, routes, nil, 0)
	list := []roster.Upstream{{ID: "first", Target: "s", Slots: 4, Ready: true}}
	for i, respond := range others {
		id := types.UpstreamID(fmt.Sprint("other", i))
		upstream := roster.Upstream{ID: id, Target: "s", Address: env.refusingAddress(string(id)), Slots: 4, Ready: true}
		if respond != nil {
			upstream.Address = env.upstream(string(id), respond)
		}
		list = append(list, upstream)
	}
	list[0].Address = env.upstream("first", func(conn net.Conn, request *http.Request, n int) {
		env.gateway.UpdateUpstreams(list)
		first(conn, request, n)
	})
	env.gateway.UpdateUpstreams(list[:1])
	return env
}

// exhaustRetries leaves the gateway no retry.
func (env *testEnv) exhaustRetries() {
	env.gateway.options.Retries = retry.Settings{Window: 10 * time.Second}
}

// chunkedEvents returns the events from first to last, each in a chunk.
func chunkedEvents(first, last int) string {
	text := ""
	for n := first; n <= last; n++ {
		text += event(n)
	}
	return text
}

// unavailable returns responders of an upstream that cannot run a request.
func unavailable() map[string]responder {
	return map[string]responder{
		"is full":          respondWith("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"fails":            respondWith(rawResponse(500, "oops")),
		"breaks off":       respondWith(""),
		"answers another":  respondWith("HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"),
		"is another":       respondWith("HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"is silent itself": func(net.Conn, *http.Request, int) { time.Sleep(2 * silence) },
		"is gone":          nil,
		"begins and breaks off": func(conn net.Conn, request *http.Request, _ int) {
			if strings.HasPrefix(request.RequestURI, "/resume/") {
				_, _ = io.WriteString(conn, streamHead)
				return
			}
			_, _ = io.WriteString(conn, rawResponse(200, "other")[:len(rawResponse(200, "other"))-2])
		},
	}
}

func TestSilentUpstreamIsNotGivenUpWithoutReplacement(t *testing.T) {
	type exchange struct{ path, before, after, want string }
	events := streamHead + chunkedEvents(1, 2)
	exchanges := map[string]exchange{
		"between events":     {"/resume/", events, chunkedEvents(3, 3) + streamEnd, plainEvent(1) + plainEvent(2) + plainEvent(3)},
		"before first event": {"/resume/", "", events + streamEnd, plainEvent(1) + plainEvent(2)},
		"before response":    {"/safe/", "", rawResponse(200, "done"), "done"},
		"inside response":    {"/safe/", rawResponse(200, "done")[:len(rawResponse(200, "done"))-2], "ne", "done"},
	}
	for when, e := range exchanges {
		check := func(t *testing.T, env *testEnv) {
			if got := env.call("POST", e.path, ""); got.err != nil || got.status != 200 || got.body != e.want {
				t.Errorf("the caller received %d, %q, %v", got.status, got.body, got.err)
			}
		}
		t.Run(when+", no retries left", func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newSilentEnv(t, e.before, e.after, respondWith(rawResponse(200, "other")))
				env.exhaustRetries()
				check(t, env)
				env.checkRequestCount(1)
			})
		})
		for why, respond := range unavailable() {
			// A stream must not be at two upstreams until its end, so one of two silent ones
			// is given up.
			if why == "is silent itself" && e.path == "/resume/" {
				continue
			}
			t.Run(when+", the other "+why, func(t *testing.T) {
				inBubble(t, func(t *testing.T) { check(t, newSilentEnv(t, e.before, e.after, respond)) })
			})
		}
		t.Run(when+", the other has used up its limit", func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newSilentEnv(t, e.before, e.after, respondWith(rawResponse(200, "other")))
				env.fleet.issue = func(permit.Request) (permit.Reply, error) { return permit.Reply{RetryAfter: time.Second}, nil }
				env.gateway.permits.observe("other0", permit.Observation{Limit: permit.Limit{PerSecond: 1, Limited: true}, ReceivedAt: env.gateway.options.Clock()})
				check(t, env)
				env.checkRequestCount(1)
			})
		})
	}
}

// TestOneOfTwoAttemptsAnswers checks that a caller gets each event once whichever of the
// two upstreams goes on first.
func TestOneOfTwoAttemptsAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, handoverTime - 10*time.Millisecond, handoverTime + 10*time.Millisecond, 290 * time.Millisecond, 310 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				var second atomic.Int64
				env := newSilentEnv(t, streamHead+chunkedEvents(1, 2), chunkedEvents(3, 4)+streamEnd, func(conn net.Conn, request *http.Request, _ int) {
					second.Add(1)
					time.Sleep(delay)
					writeEvents(conn, request, 4)
				})
				want := plainEvent(1) + plainEvent(2) + plainEvent(3) + plainEvent(4)
				if got := env.call("POST", "/resume/", ""); got.err != nil || got.body != want {
					t.Errorf("the caller received %q, %v", got.body, got.err)
				}
				if second.Load() != 1 {
					t.Errorf("the other upstream received %d requests, want 1", second.Load())
				}
			})
		})
	}
}

// pause returns a responder that does nothing for a time.
func pause(duration time.Duration) responder {
	return func(net.Conn, *http.Request, int) { time.Sleep(duration) }
}

func TestOverdueHedgeIsHedgedToo(t *testing.T) {
	for name, c := range map[string]struct{ path, begin, answer, want string }{
		"stream without a header": {"/resume/", "", streamHead + chunkedEvents(1, 1) + streamEnd, plainEvent(1)},
		"stream with a header":    {"/resume/", streamHead, streamHead + chunkedEvents(1, 1) + streamEnd, plainEvent(1)},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newHedgingEnv(t, 3, pause(4*silence), func(conn net.Conn, _ *http.Request, n int) {
					if n == 2 {
						_, _ = io.WriteString(conn, c.begin)
						time.Sleep(4 * silence)
					}
					_, _ = io.WriteString(conn, c.answer)
				}, respondWith(c.answer))
				if got := env.call("POST", c.path, ""); got.err != nil || got.body != c.want {
					t.Errorf("the caller received %q, %v", got.body, got.err)
				}
			})
		})
	}
}

// TestUpstreamThatHasGoneOnIsNotHedgedAgain plays events that are slow, but not overdue.
func TestUpstreamThatHasGoneOnIsNotHedgedAgain(t *testing.T) {
	for _, gap := range []time.Duration{handoverTime / 2, handoverTime * 3 / 2} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newHedgingEnv(t, 4, func(conn net.Conn, _ *http.Request, _ int) {
					_, _ = io.WriteString(conn, streamHead+chunkedEvents(1, 2))
					time.Sleep(streamIdleTimeout + handoverTime/2)
					for n := 3; n <= 8; n++ {
						_, _ = io.WriteString(conn, event(n))
						time.Sleep(gap)
					}
					_, _ = io.WriteString(conn, streamEnd)
				}, pause(4*silence), pause(4*silence), pause(4*silence))
				got := env.call("POST", "/resume/", "")
				if events := strings.Count(got.body, "\n\n"); got.err != nil || events != 8 {
					t.Errorf("the caller received %d events, %v", events, got.err)
				}
				env.checkRequestCount(2)
			})
		})
	}
}

func TestLongResponseIsNotCutByAHedge(t *testing.T) {
	long := strings.Repeat("x", maxBufferedResponseBytes+100)
	text := rawResponse(200, long)
	for _, maxAttempts := range []int{2, 4} {
		t.Run(fmt.Sprint(maxAttempts, " attempts"), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newHedgingEnv(t, maxAttempts, func(conn net.Conn, _ *http.Request, _ int) {
					time.Sleep(200 * time.Millisecond)
					_, _ = io.WriteString(conn, text[:len(text)-50])
					time.Sleep(500 * time.Millisecond)
					_, _ = io.WriteString(conn, text[len(text)-50:])
				}, pause(silence), pause(silence))
				if got := env.call("POST", "/safe/", ""); got.err != nil || got.body != long {
					t.Errorf("the caller received %d bytes, %v", len(got.body), got.err)
				}
			})
		})
	}
}

func TestFailureOfTheLastAttemptIsPassedOn(t *testing.T) {
	for _, path := range []string{"/open/", "/safe/", "/resume/"} {
		env := newTestEnv(t, testRoutes, respondWith(rawResponse(500, "oops")), 3)
		if got := env.call("POST", path, ""); got.status != 500 || got.body != "oops" {
			t.Errorf("%s: got %d %q", path, got.status, got.body)
		}
	}
}

// TestUnusedResponseOfAHedgeIsReleased plays a first upstream that breaks off while the second
// one prepares the response to another request.
func TestUnusedResponseOfAHedgeIsReleased(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newHedgingEnv(t, 2, pause(300*time.Millisecond), func(conn net.Conn, _ *http.Request, _ int) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno")
		})
		if got := env.call("POST", "/safe/", ""); got.status != 502 {
			t.Errorf("the caller received %d %q", got.status, got.body)
		}
		env.awaitIdle()
		if held := env.gateway.bufferedResponseBytes.Load(); held != 0 {
			t.Errorf("%d bytes still count as buffered", held)
		}
	})
}

func TestRejectedHedgeIsNotARun(t *testing.T) {
	routes := silentRoutes()
	env := newTestEnv(t, routes, respondWith("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), 2)
	incoming, err := http.NewRequest(http.MethodPost, "/resume/", nil)
	if err != nil {
		t.Fatal(err)
	}
	incoming.RequestURI = "/resume/"
	q := &request{gateway: env.gateway, incoming: incoming, call: RequestInfo{ID: "r1"}, route: &routes[1], startedAt: clock.Boot(), timeout: time.Minute,
		target: "s", tried: make(map[types.UpstreamID]bool)}
	a, ok := q.begin(t.Context(), placement.Choice{ID: "u0"})
	if !ok {
		t.Fatal("the upstream is not listed")
	}
	a.countRun()
	a.startHedge()
	<-a.hedge.done
	a.dropHedge(errSuperseded)
	if q.progress.runs != 1 {
		t.Errorf("%d runs, want 1", q.progress.runs)
	}
}

func TestCrashInsideAnEventIsReported(t *testing.T) {
	env := newTestEnv(t, testRoutes, nil, 0)
	env.fleet.reported = make(chan struct{}, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_ = listener.Close()
		_, _ = io.WriteString(conn, framedStream("close", plainEvent(1)+"data: cut"))
	}()
	env.gateway.UpdateUpstreams([]roster.Upstream{{ID: "u", Target: "s", Address: listener.Addr().String(), Slots: 4, Ready: true}})
	env.call("POST", "/stream/", "")
	<-env.fleet.reported
}
