package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// requestStage is what a request is doing when something changes.
type requestStage string

const (
	stageReading   requestStage = "body partly received"
	stageOrigin    requestStage = "waiting for the origin of its stream"
	stagePermit    requestStage = "waiting for a permit"
	stageRunning   requestStage = "running"
	stageAnswering requestStage = "response partly sent"
)

var requestStages = []requestStage{stageReading, stageOrigin, stagePermit, stageRunning, stageAnswering}

// placed reports whether the request was sent to an upstream before the stage.
func (s requestStage) placed() bool { return s == stageRunning || s == stageAnswering }

// changeEnv is an environment with one upstream, in which something changes once, when a
// request reaches a stage.
type changeEnv struct {
	*testEnv
	entry roster.Upstream
	stage requestStage
	once  sync.Once
	// parsed is closed when the header of the request has been parsed.
	parsed <-chan struct{}
	// apply makes the change.
	apply func()
}

// changeProtocol is a testProtocol that reports when a request is parsed, before its body
// is read.
type changeProtocol struct {
	testProtocol
	parsing func()
}

func (p changeProtocol) ParseRequest(r *http.Request) (RequestInfo, error) {
	p.parsing()
	return p.testProtocol.ParseRequest(r)
}

func newChangeEnv(t *testing.T, stage requestStage) *changeEnv {
	c := &changeEnv{testEnv: newTestEnv(t, testRoutes, respondWith(""), 0), stage: stage}
	parsed := make(chan struct{})
	c.parsed = parsed
	c.gateway.options.Protocol = changeProtocol{parsing: func() {
		c.reach(stageReading)
		close(parsed)
	}}
	c.entry = roster.Upstream{ID: "u0", Target: "s", Address: c.upstream("u0", c.respond), Slots: 4, Ready: true, Version: "v1", StartedUnixMilli: 1}
	c.gateway.UpdateUpstreams([]roster.Upstream{c.entry})
	c.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r0"): {Target: "s", Version: "v1"}}
	c.fleet.searching = func() { c.reach(stageOrigin) }
	c.fleet.issue = func(permit.Request) (permit.Reply, error) {
		c.reach(stagePermit)
		return permit.Reply{Granted: true}, nil
	}
	if stage == stagePermit {
		c.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: 5, Limited: true}, SentAt: clock.Boot(), ReceivedAt: clock.Boot()}})
	}
	return c
}

// reach makes the change if the request has reached its stage.
func (c *changeEnv) reach(stage requestStage) {
	if stage == c.stage {
		c.once.Do(c.apply)
	}
}

// respond sends two events in two parts.
func (c *changeEnv) respond(conn net.Conn, request *http.Request, _ int) {
	c.reach(stageRunning)
	events := plainEvent(3) + plainEvent(4)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		request.Header.Get("Id"), len(events), events[:len(plainEvent(3))])
	c.reach(stageAnswering)
	_, _ = io.WriteString(conn, events[len(plainEvent(3)):])
}

// send sends a request that resumes a stream, with a body in two parts.
func (c *changeEnv) send() callerResponse {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /resume/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nLast-Event-Id: 2\r\nResumes: r0\r\nContent-Length: 4\r\n\r\nab"); err != nil {
		c.t.Fatal(err)
	}
	<-c.parsed
	if _, err := io.WriteString(conn, "cd"); err != nil {
		c.t.Fatal(err)
	}
	return readResponse(conn)
}

// TestConfigurationChangeSparesRequestsInProgress puts a document into force that no longer
// allows a request, at every stage of it.
func TestConfigurationChangeSparesRequestsInProgress(t *testing.T) {
	elsewhere := catalog.Route{Name: "resume", Host: "h", Prefix: "/resume/", Kind: catalog.Stream, Targets: []catalog.WeightedTarget{{Target: "other", Weight: 1}}}
	for name, contents := range map[string]catalog.Contents{
		"empty":                             {Version: "next", RequireKey: true},
		"other service, kind and timeout":   {Version: "next", Routes: []catalog.Route{elsewhere}, Services: []catalog.Service{{Name: "other"}}},
		"smaller limits and shorter timers": {Version: "next", Limits: catalog.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}},
	} {
		for _, stage := range requestStages {
			t.Run(name+"/"+string(stage), func(t *testing.T) {
				c := newChangeEnv(t, stage)
				c.apply = func() { c.gateway.Apply(catalog.New(contents)) }
				if got := c.send(); got.err != nil || got.status != http.StatusOK || got.body != plainEvent(3)+plainEvent(4) {
					t.Errorf("status %d, code %s, body %q, %v", got.status, got.header.Get("Code"), got.body, got.err)
				}
				if c.gateway.Catalog().Version != "next" {
					t.Error("the configuration did not change")
				}
				c.checkRequestCount(1)
			})
		}
	}
}

// TestUpstreamChangeSparesRequestsInProgress changes the entry of the only upstream at every
// stage of a request. An attempt that has begun goes on, and another is refused as not run,
// or goes to the upstream that is listed then.
func TestUpstreamChangeSparesRequestsInProgress(t *testing.T) {
	for name, change := range map[string]func(c *changeEnv) []roster.Upstream{
		"removed": func(*changeEnv) []roster.Upstream { return nil },
		"leaving": func(c *changeEnv) []roster.Upstream {
			entry := c.entry
			entry.Ready = false
			return []roster.Upstream{entry}
		},
		"replaced at another address": func(c *changeEnv) []roster.Upstream {
			entry := c.entry
			entry.Address, entry.StartedUnixMilli = c.upstream("u0 again", c.respond), 2
			return []roster.Upstream{entry}
		},
		"replaced by another": func(c *changeEnv) []roster.Upstream {
			entry := c.entry
			entry.ID, entry.Address = "u1", c.upstream("u1", c.respond)
			return []roster.Upstream{entry}
		},
	} {
		for _, stage := range requestStages {
			t.Run(name+"/"+string(stage), func(t *testing.T) {
				c := newChangeEnv(t, stage)
				var next []roster.Upstream
				c.apply = func() {
					next = change(c)
					c.gateway.UpdateUpstreams(next)
				}
				got := c.send()
				answered := stage.placed() || len(next) > 0 && next[0].Ready
				switch {
				case answered && (got.err != nil || got.status != http.StatusOK || got.body != plainEvent(3)+plainEvent(4)):
					t.Errorf("status %d, code %s, body %q, %v", got.status, got.header.Get("Code"), got.body, got.err)
				case !answered && (got.status != http.StatusServiceUnavailable || got.header.Get("Run-State") != string(types.NotRun)):
					t.Errorf("status %d, code %s, run state %s", got.status, got.header.Get("Code"), got.header.Get("Run-State"))
				}
				if received := len(c.requests()); answered != (received == 1) {
					t.Errorf("upstreams received: %+v", c.requests())
				}
			})
		}
	}
}
