package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestStopAnswersRequestsThatItEnds guards against requests that a planned stop cuts without a
// response.
func TestStopAnswersRequestsThatItEnds(t *testing.T) {
	for _, route := range testRoutes {
		for name, connects := range map[string]bool{"running": true, "connecting": false} {
			t.Run(route.Name+" "+name, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					env := newBubbleEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.Copy(io.Discard, conn) }, 1)
					if !connects {
						env.gateway.options.DialTimeout = time.Hour
						env.gateway.options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
							<-ctx.Done()
							return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
						}
						env.gateway.transit = newTransit(env.gateway.options)
					}
					responded := make(chan callerResponse)
					go func() { responded <- env.sendRaw(requestOn(route.Prefix, "r1", "body")) }()
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					env.gateway.Stop()
					env.gateway.End()
					status, state := http.StatusGatewayTimeout, types.MayHaveRun
					if !connects {
						status, state = http.StatusServiceUnavailable, types.NotRun
					}
					if got := <-responded; got.err != nil || got.status != status || got.header.Get("Run-State") != string(state) {
						t.Errorf("got %+v, want %d, %s", got, status, state)
					}
				})
			})
		}
	}
}

// TestStoppingInstanceTakesNothingThatItMayCut guards against requests that may run only once, that a
// stopping instance takes late in its grace period and ends with it.
func TestStoppingInstanceTakesNothingThatItMayCut(t *testing.T) {
	for _, c := range []struct {
		path, wait string
		refused    bool
	}{
		{path: "/once/", refused: true},
		{path: "/once/", wait: "Wait: 1000\r\n"},
		{path: "/once/", wait: "Wait: 3000\r\n", refused: true},
		{path: "/stream/", refused: true},
		{path: "/stream/", wait: "Wait: 1000\r\n"},
		{path: "/safe/"},
		{path: "/resume/"},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := newBubbleEnv(t, testRoutes, respondWith(eventsHead+chunk(firstEvent)+"0\r\n\r\n"), 1)
			env.gateway.EndAt(env.gateway.options.Clock() + 2*time.Second)
			got := env.sendRaw("POST " + c.path + "x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" + c.wait + "Content-Length: 4\r\n\r\nbody")
			if refused := got.header.Get("Code") == string(fault.Leaving); refused != c.refused || refused == (got.status == 200) || refused && got.header.Get("Run-State") != string(types.NotRun) {
				t.Errorf("%+v: got %+v", c, got)
			}
		})
	}
}
