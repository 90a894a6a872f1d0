package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// crashEnv has upstreams that end when they receive a request with the part "bad".
type crashEnv struct {
	*testEnv
	// ahead is how far the clock of the gateway is ahead.
	ahead atomic.Int64
	// ended has the upstreams that have ended.
	ended chan types.UpstreamID
}

func newCrashEnv(t *testing.T, upstreams int) *crashEnv {
	env := &crashEnv{testEnv: newTestEnv(t, testRoutes, nil, 0), ended: make(chan types.UpstreamID, upstreams)}
	env.gateway.options.Clock = func() time.Duration { return clock.Boot() + time.Duration(env.ahead.Load()) }
	var list []roster.Upstream
	for i := range upstreams {
		id := types.UpstreamID(fmt.Sprint("u", i))
		list = append(list, roster.Upstream{ID: id, Target: "s", Address: env.startUpstream(id), Slots: 4, Ready: true})
	}
	env.gateway.UpdateUpstreams(list)
	return env
}

// startUpstream starts an upstream that answers every sound request and ends at the first
// one that has the part "bad", while it begins its answer.
func (env *crashEnv) startUpstream(id types.UpstreamID) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if slices.Contains(strings.Split(request.Header.Get("Parts"), ","), "bad") {
			_ = listener.Close()
			env.ended <- id
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\n")
			return
		}
		body := plainEvent(1)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Id"), len(body), body)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// send sends a request with the parts, and waits until the gateway has recorded the answer and
// the crashes that it caused: both are recorded after the response was sent.
func (env *crashEnv) send(path, id string, parts ...string) callerResponse {
	env.t.Helper()
	got := env.sendRaw(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nParts: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, id, strings.Join(append(parts, id), ","), len(id), id))
	for env.gateway.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	for len(env.ended) > 0 {
		env.awaitRecorded(<-env.ended)
	}
	return got
}

func (env *crashEnv) awaitRecorded(upstream types.UpstreamID) {
	env.t.Helper()
	isCrash := func(report quarantine.CrashReport) bool { return report.Upstream == upstream }
	for !slices.ContainsFunc(env.gateway.QuarantineEntries(), func(e quarantine.Entry) bool { return slices.ContainsFunc(e.Crashes, isCrash) }) {
		time.Sleep(time.Millisecond)
	}
}

// crashed returns the number of upstreams that refuse connections.
func (env *crashEnv) crashed(total int) int {
	crashed := 0
	for i := range total {
		found, ok := env.roster.Find(clock.Boot(), types.UpstreamID(fmt.Sprint("u", i)))
		if conn, err := net.Dial("tcp", found.Address); ok && err != nil {
			crashed++
		} else if err == nil {
			_ = conn.Close()
		}
	}
	return crashed
}

func TestPartOfAPromptThatCrashesUpstreamsIsRefused(t *testing.T) {
	const upstreams, requests = 30, 24
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			env := newCrashEnv(t, upstreams)
			var last callerResponse
			for i := range requests {
				last = env.send(path, fmt.Sprint("bad", i), "common", "bad", fmt.Sprint("topic", i%3))
				env.ahead.Add(int64(400 * time.Millisecond))
				if got := env.send(path, fmt.Sprint("sound", i), "common", fmt.Sprint("topic", i%3)); got.status != 200 {
					t.Errorf("sound request %d: got %d %s", i, got.status, got.header.Get("Code"))
				}
			}
			// The platform allows the fifth crash, what arrives in the 3 s after it, and three.
			if crashed := env.crashed(upstreams); crashed > 5 {
				t.Errorf("%d upstreams crashed", crashed)
			}
			back, err := time.ParseDuration(last.header.Get("Return"))
			if last.status != fault.Quarantined.Status() || fault.Code(last.header.Get("Code")) != fault.Quarantined ||
				last.header.Get("Run-State") != string(types.NotRun) || err != nil || back <= 0 {
				t.Errorf("the last request with the part got %d %s, %s, to return in %s", last.status, last.header.Get("Code"), last.header.Get("Run-State"), last.header.Get("Return"))
			}
		})
	}
}
