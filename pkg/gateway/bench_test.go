package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureProcessor runs the loop of a benchmark and reports the processor time of one run.
func measureProcessor(b *testing.B, run func()) {
	b.Helper()
	run()
	found, runs := processorTime(b), 0
	for b.Loop() {
		run()
		runs++
	}
	b.ReportMetric(float64((processorTime(b)-found).Microseconds())/float64(runs), "processor-us/op")
}

// BenchmarkRequest measures the processor time of a request, of its caller and its upstream together:
// one that a reverse proxy without any decision forwards, one that the gateway forwards, one while half
// of the upstreams refuse connections, and one that it refuses because it is late. The numbers of
// upstreams and of peers that report loads are those of the deployments; in the largest a hub reports
// for others.
func BenchmarkRequest(b *testing.B) {
	respond := func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(conn, rawResponse(200, "hello")) }
	b.Run("forwarding alone", func(b *testing.B) {
		env := newTestEnv(b, slices.Clone(testRoutes), respond, 1)
		upstream, _ := env.roster.Find(env.gateway.options.Clock(), "u0")
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: upstream.Address})
		proxy.Transport = &http.Transport{DisableKeepAlives: true}
		listener := env.listen("proxy")
		server := &http.Server{Handler: proxy}
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() { _ = server.Close() })
		env.address = listener.Addr().String()
		measureProcessor(b, func() { benchmarkCall(b, env, http.StatusOK) })
	})
	for _, size := range []struct{ upstreams, peers int }{{9, 8}, {45, 15}, {140, 12}} {
		start := func(b *testing.B) *testEnv {
			env := newTestEnv(b, slices.Clone(testRoutes), respond, size.upstreams)
			env.fleet.size = size.peers
			now := env.gateway.options.Clock()
			for peer := range size.peers {
				loads := make(map[types.UpstreamID]placement.Load)
				for i := range 8 {
					loads[types.UpstreamID(fmt.Sprint("u", (peer+i*37)%size.upstreams))] = placement.Load{ByPriority: map[int]placement.PriorityLoad{1: {Waiting: 1}}}
				}
				env.roster.ApplyPeerReport(now, types.InstanceID(fmt.Sprint("p", peer)), loads, nil)
			}
			return env
		}
		name := fmt.Sprintf("%d upstreams, %d reports, ", size.upstreams, size.peers)
		b.Run(name+"forwarded", func(b *testing.B) {
			env := start(b)
			measureProcessor(b, func() { benchmarkCall(b, env, http.StatusOK) })
		})
		b.Run(name+"half of them refusing", func(b *testing.B) {
			env := start(b)
			refusing := env.refusingAddress("refusing")
			var list []roster.Upstream
			for i := range size.upstreams {
				id := types.UpstreamID(fmt.Sprint("u", i))
				found, _ := env.roster.Find(env.gateway.options.Clock(), id)
				if i%2 == 0 {
					found.Address = refusing
				}
				list = append(list, found)
			}
			env.gateway.UpdateUpstreams(list)
			measureProcessor(b, func() { benchmarkCall(b, env, 0) })
		})
		b.Run(name+"refused as late", func(b *testing.B) {
			env := start(b)
			limiter := overload.NewLimiter()
			for range 1000 {
				limiter.Admit(0, 0)
				limiter.Observe(time.Minute)
			}
			env.gateway.options.Limiter = limiter
			measureProcessor(b, func() { benchmarkCall(b, env, 0) })
		})
	}
}

// benchmarkCall sends a request with a long body and checks the status unless that is zero.
func benchmarkCall(b *testing.B, env *testEnv, status int) {
	got := env.sendRaw(requestOn("/safe/", "r1", strings.Repeat("b", 1000)))
	if got.err != nil || status != 0 && got.status != status {
		b.Fatalf("got %+v", got)
	}
}
