package gateway

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestEarlyResponseCutByResetIsNotDelivered guards against an upstream that responds to a long upload at once, without a
// length, and resets the connection while the upload is being sent: the caller got the part as a whole response.
func TestEarlyResponseCutByResetIsNotDelivered(t *testing.T) {
	events := strings.ReplaceAll(plainEvent(1)+plainEvent(2), "\r", "")
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, way := range ways {
			t.Run(path+way, func(t *testing.T) {
				routes := slices.Clone(testRoutes)
				env := newTestEnv(t, routes, respondWith(""), 1)
				address := httpfakes.ListenEarly(t, func(conn *net.TCPConn, _ io.Reader) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n"+events)
					time.Sleep(20 * time.Millisecond)
					_ = conn.SetLinger(0)
				})
				env.gateway.UpdateUpstreams([]roster.Upstream{{ID: "u0", Target: "s", Address: address, Slots: 4, Ready: true}})
				env.reachBy(way)
				current := env.gateway.Catalog()
				env.gateway.Apply(catalog.New(catalog.Contents{Routes: routes, Services: []catalog.Service{{Name: "s"}}, RequireKey: true,
					Limits: catalog.Limits{BodyBytes: 4 << 20, HeaderBytes: headerLimit}, Keys: map[string]catalog.Account{"k": {ID: "acc"}}, Revision: current.Revision + 1}))
				body := strings.Repeat("x", 3<<20)
				for range 10 {
					got := env.sendRaw("POST " + path + " HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
					if got.status == http.StatusOK && got.err == nil {
						t.Errorf("the caller got %q as a whole response", got.body)
					}
				}
			})
		}
	}
}
