package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// delayedMeter returns a Meter of an instance that is late by the delay, which the test may change.
func delayedMeter(t *testing.T, delay *atomic.Int64) *overload.Meter {
	began := time.Now()
	meter := overload.NewMeter(func() time.Duration { return time.Since(began) + time.Duration(delay.Load()) })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go meter.Run(ctx, nil, nil)
	synctest.Wait()
	return meter
}

// TestLateInstanceEjectsNoUpstream guards against upstreams that get no work, at all instances,
// because one instance could not connect to them in time.
func TestLateInstanceEjectsNoUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		late   time.Duration
		ejects bool
	}{"late": {late: 300 * time.Millisecond}, "on time": {ejects: true}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newBubbleEnv(t, testRoutes, respondWith(rawResponse(200, "hello")), 6)
				delay := &atomic.Int64{}
				env.gateway.options.Meter = delayedMeter(t, delay)
				env.gateway.options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					delay.Add(int64(c.late))
					<-ctx.Done()
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
				}
				env.gateway.transit = newTransit(env.gateway.options)
				if got := env.call("GET", "/safe/", ""); got.status != 503 {
					t.Errorf("got %+v", got)
				}
				if ejected := env.roster.Ejected(env.gateway.options.Clock()); len(ejected) > 0 != c.ejects {
					t.Errorf("%d upstreams are ejected", len(ejected))
				}
			})
		})
	}
}

// TestLateInstanceReportsNoCrash guards against requests that are quarantined at all instances because
// one instance was too late to see whether an upstream had crashed or only lost a response.
func TestLateInstanceReportsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		late    time.Duration
		crashes int
	}{"late": {late: 300 * time.Millisecond}, "on time": {crashes: 1}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newBubbleEnv(t, testRoutes, func(net.Conn, *http.Request, int) {}, 1)
				delay := &atomic.Int64{}
				env.gateway.options.Meter = delayedMeter(t, delay)
				connect, connected := env.gateway.options.Dial, false
				env.gateway.options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if !connected {
						connected = true
						return connect(ctx, network, address)
					}
					delay.Add(int64(c.late))
					<-ctx.Done()
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
				}
				env.gateway.transit = newTransit(env.gateway.options)
				if got := env.call("POST", "/once/", ""); got.status != 502 {
					t.Errorf("got %+v", got)
				}
				time.Sleep(time.Second)
				env.fleet.mu.Lock()
				defer env.fleet.mu.Unlock()
				if len(env.fleet.crashes) != c.crashes {
					t.Errorf("reported crashes: %v", env.fleet.crashes)
				}
			})
		})
	}
}

// TestLateInstanceSendsNoRequestTwice guards against second attempts beside ones whose response an
// instance has not read yet.
func TestLateInstanceSendsNoRequestTwice(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		sent int
	}{"late": {late: time.Second, sent: 1}, "on time": {sent: 2}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				routes := []catalog.Route{{Name: "safe", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2, Objective: time.Second}}
				delay := &atomic.Int64{}
				responded := respondWith(rawResponse(200, "hello"))
				env := newBubbleEnv(t, routes, func(conn net.Conn, _ *http.Request, n int) {
					time.Sleep(2 * time.Second)
					responded(conn, nil, n)
				}, 3)
				env.gateway.options.Meter = delayedMeter(t, delay)
				go func() {
					for range 40 {
						time.Sleep(50 * time.Millisecond)
						delay.Add(int64(c.late) / 10)
					}
				}()
				if got := env.call("GET", "/safe/", ""); got.status != 200 {
					t.Errorf("got %+v", got)
				}
				env.checkRequestCount(c.sent)
			})
		})
	}
}

// TestOverloadedInstanceRefusesBeforeItChoosesAnUpstream checks what callers of an instance get
// that is late with its work.
func TestOverloadedInstanceRefusesBeforeItChoosesAnUpstream(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "hello")), 1)
	env.gateway.options.Limiter = overload.NewLimiter()
	for range 1000 {
		env.gateway.options.Limiter.Admit(0, 0)
		env.gateway.options.Limiter.Observe(time.Second)
	}
	var refused, served int
	for range 200 {
		got := env.call("POST", "/once/", "body")
		switch {
		case got.status == 200:
			served++
		case got.status != 503 || got.header.Get("Code") != string(fault.Overloaded) || got.header.Get("Run-State") != string(types.NotRun):
			t.Fatalf("got %+v", got)
		default:
			refused++
			if after, err := time.ParseDuration(got.header.Get("Return")); err != nil || after < 100*time.Millisecond {
				t.Fatalf("return after %v, %v", after, err)
			}
		}
	}
	if refused < 150 {
		t.Errorf("%d requests are refused and %d served", refused, served)
	}
	env.checkRequestCount(served)
	got := env.sendRaw("POST /resume/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nLast-Event-Id: 3\r\nResumes: r0\r\nContent-Length: 0\r\n\r\n")
	if got.header.Get("Code") == string(fault.Overloaded) {
		t.Errorf("a stream that is taken up again is refused: %+v", got)
	}
}
