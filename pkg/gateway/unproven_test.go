package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// workFor is a responder that takes some time and then answers as an upstream does.
func workFor(d time.Duration) responder {
	return func(conn net.Conn, request *http.Request, n int) {
		time.Sleep(d)
		respondWith(rawResponse(200, plainEvent(1)))(conn, request, n)
	}
}

// listForeign adds an entry whose address is that of a server that is no upstream, in front of the
// upstreams of the environment.
func (env *testEnv) listForeign(id types.UpstreamID, address string, sound int, respond responder) {
	list := []roster.Upstream{{ID: id, Target: "s", Address: address, Slots: 4, Ready: true}}
	for i := range sound {
		name := fmt.Sprint("sound", i)
		list = append(list, roster.Upstream{ID: types.UpstreamID(name), Target: "s", Address: env.upstream(name, respond), Slots: 4, Ready: true})
	}
	env.gateway.UpdateUpstreams(list)
}

// countServed sends requests one after the other and returns how many are served.
func (env *testEnv) countServed(requests int) (served int) {
	for range requests {
		if env.call("GET", "/safe/", "").status == 200 {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}

// TestErrorsOfForeignServerDoNotAttractRequests guards against an entry whose address is that of another
// HTTP server: its errors are faster than any answer, so that it counted as the best upstream and
// received nearly all requests.
func TestErrorsOfForeignServerDoNotAttractRequests(t *testing.T) {
	for _, status := range []int{301, 400, 401, 404, 413} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newBubbleEnv(t, testRoutes, workFor(0), 0)
				foreign := env.upstream("foreign", respondWith(fmt.Sprintf("HTTP/1.1 %d X\r\nId: r1\r\nContent-Length: 0\r\n\r\n", status)))
				env.listForeign("foreign", foreign, 3, workFor(60*time.Millisecond))
				if served := env.countServed(100); served < 95 {
					t.Errorf("%d of 100 requests were served", served)
				}
			})
		})
	}
}

// TestInstanceDoesNotServeAsUpstream guards against an entry whose address is that of an instance: a request
// without a key would be sent from one instance to the other and back.
func TestInstanceDoesNotServeAsUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newBubbleEnv(t, testRoutes, workFor(0), 0)
		env.listForeign("instance", env.address, 2, workFor(60*time.Millisecond))
		for range 20 {
			if got := env.sendRaw("GET /open/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n"); got.status != 200 {
				t.Fatalf("got %+v", got)
			}
			time.Sleep(50 * time.Millisecond)
		}
		env.checkRequestCount(20)
		if got := env.sendRaw("GET /open/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nUpstream: instance\r\n\r\n"); got.status != 421 || got.header.Get("Run-State") != string(types.NotRun) {
			t.Errorf("a request to the instance as an upstream: %+v", got)
		}
		if got := env.sendRaw("GET /open/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nUpstream: sound0\r\n\r\n"); got.status != 200 {
			t.Errorf("a request that names another upstream: %+v", got)
		}
	})
}

// TestForeignServerCostsFewRequests guards against an entry whose server fails, refuses or keeps all requests:
// every instance lost one to it again and again, which were nearly one in ten where requests are rare.
func TestForeignServerCostsFewRequests(t *testing.T) {
	for name, foreign := range map[string]responder{
		"closes":               respondWith(""),
		"has no such resource": respondWith("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"),
		"is full":              respondWith("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
		"is another upstream":  respondWith("HTTP/1.1 421 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"says nothing":         func(net.Conn, *http.Request, int) { time.Sleep(10 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newBubbleEnv(t, testRoutes, workFor(0), 0)
				env.listForeign("foreign", env.upstream("foreign", foreign), 3, workFor(350*time.Millisecond))
				began := time.Now()
				for time.Since(began) < 20*time.Second {
					env.call("POST", "/once/", "")
					time.Sleep(50 * time.Millisecond)
				}
				received := 0
				for _, request := range env.requests() {
					if request.upstream == "foreign" {
						received++
					}
				}
				// It is tried again after 1, 2, 4 and 8 seconds.
				if received > 5 {
					t.Errorf("the foreign server received %d of %d requests", received, len(env.requests()))
				}
			})
		})
	}
}

// TestRefusalOfForeignServerTakesNoRetry guards against callers that are refused because a server that is no upstream has
// refused their request and the retry budget is exhausted, as it is after a restart, while upstreams are free.
func TestRefusalOfForeignServerTakesNoRetry(t *testing.T) {
	misdirected := respondWith("HTTP/1.1 421 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for name, c := range map[string]struct {
		foreign responder
		// answered is the number of requests that the server answers as an upstream at first.
		answered int
		// counted reports whether sending the request to another upstream counts as a retry.
		counted bool
	}{
		"another upstream":            {misdirected, 0, false},
		"refuses without the ID":      {respondWith("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), 0, false},
		"is an upstream that is full": {respondWith("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), 0, true},
		"was the upstream before":     {misdirected, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newBubbleEnv(t, testRoutes, workFor(0), 0)
				answered := 0
				foreign := env.upstream("foreign", func(conn net.Conn, request *http.Request, n int) {
					if answered++; answered <= c.answered {
						respondWith(rawResponse(200, plainEvent(1)))(conn, request, n)
						return
					}
					c.foreign(conn, request, n)
				})
				env.listForeign("foreign", foreign, 0, nil)
				for range c.answered {
					if got := env.call("POST", "/once/", ""); got.status != 200 {
						t.Fatalf("got %+v", got)
					}
				}
				env.listForeign("foreign", foreign, 1, workFor(60*time.Millisecond))
				budget, counted := env.gateway.budget("s"), false
				for range 40 {
					for budget.Spend() {
					}
					before := budget.Usage().Retries
					got := env.call("POST", "/once/", "")
					if got.status != 200 && got.status != 503 {
						t.Fatalf("got %+v", got)
					}
					counted = counted || got.status == 503 || budget.Usage().Retries > before
					time.Sleep(50 * time.Millisecond)
				}
				if reached := answered > c.answered; !reached || counted != c.counted {
					t.Errorf("the server was reached %t, a retry was needed %t, want %t", reached, counted, c.counted)
				}
			})
		})
	}
}

// TestForeignServerDoesNotMakeUpstreamsBrittle guards against a server that is no upstream and says that the upstreams of the target
// are brittle: in a large fleet an instance then has no room at any of them.
func TestForeignServerDoesNotMakeUpstreamsBrittle(t *testing.T) {
	for name, head := range map[string]string{
		"refuses":         "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n",
		"fails":           "HTTP/1.1 500 X\r\nId: %s\r\n",
		"is asleep":       "HTTP/1.1 503 X\r\nId: %s\r\n",
		"has no mark":     "HTTP/1.1 200 X\r\nId: %s\r\n",
		"refuses a while": "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nPause: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newBubbleEnv(t, testRoutes, workFor(0), 0)
				env.fleet.size, env.fleet.last = 100, true
				foreign := env.upstream("foreign", func(conn net.Conn, request *http.Request, _ int) {
					_, _ = fmt.Fprintf(conn, head+"Brittle: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
				})
				env.listForeign("foreign", foreign, 3, workFor(60*time.Millisecond))
				if served := env.countServed(200); served < 190 {
					t.Errorf("%d of 200 requests were served", served)
				}
			})
		})
	}
}

// TestRefusalOfBrittleUpstreamCounts guards against upstreams that fall over because what they say when they refuse is taken for that
// of another server.
func TestRefusalOfBrittleUpstreamCounts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newBubbleEnv(t, testRoutes, workFor(0), 0)
		env.listForeign("brittle", env.upstream("brittle", func(conn net.Conn, request *http.Request, n int) {
			if n == 1 {
				respondWith(rawResponse(200, plainEvent(1)))(conn, request, n)
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nBrittle: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		}), 0, nil)
		for i, want := range []struct {
			status  int
			brittle bool
		}{{200, false}, {503, true}} {
			got := env.call("GET", "/safe/", "")
			g := env.gateway
			g.rooms.mu.Lock()
			brittle := g.rooms.table.IsBrittle(g.options.Clock(), "s")
			g.rooms.mu.Unlock()
			if got.status != want.status || brittle != want.brittle {
				t.Errorf("request %d: status %d, brittle %t, want %+v", i, got.status, brittle, want)
			}
		}
	})
}
