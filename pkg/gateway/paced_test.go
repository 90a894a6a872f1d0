package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// costlyRequests are texts that take much more of the processor than an ordinary request, with the number of responses
// to each and how often a client sends them.
var costlyRequests = []struct {
	name, text        string
	responses, rounds int
}{
	{"chunks of one byte", strings.Replace(requestOn("/r/", "r1", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + strings.Repeat("1\r\nb\r\n", 900) + "0\r\n\r\n", 1, 100},
	{"empty lines behind a request", requestOn("/r/", "r1", "") + strings.Repeat("\r\n", 1500), 1, 50},
	{"pipelined requests", strings.Repeat(requestOn("/r/", "r1", ""), 10), 10, 5},
}

// TestCostlyConnectionsWaitWhileInstanceIsLate guards against an instance that spends its processor on connections that
// cause much work for little, and refuses ordinary requests for that.
func TestCostlyConnectionsWaitWhileInstanceIsLate(t *testing.T) {
	const (
		clients = 20
		// leastTime is how long what the crowd sends must take while the instance is late.
		leastTime = time.Second
	)
	for _, costly := range costlyRequests {
		for name, late := range map[string]time.Duration{"late": 200 * time.Millisecond, "in calm": 0} {
			t.Run(costly.name+"/"+name, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					env := newBubbleEnv(t, []catalog.Route{{Name: "r", Prefix: "/r/", Kind: catalog.AtMostOnce, MaxAttempts: 1}}, respondWith(rawResponse(200, "done")), 1)
					env.gateway.options.Meter = fakes.RunLateMeter(t, env.gateway.options.Clock, late)
					server := env.gateway.Server()
					listener := env.listen("paced")
					go func() {
						_ = server.Serve(NewListener(listener, env.gateway.options.Clock).WithIntake(env.gateway.Intake()))
					}()
					defer func() { _ = server.Close() }()
					env.address = env.addressOf("paced", listener)
					began := time.Now()
					var crowd sync.WaitGroup
					for range clients {
						crowd.Go(func() {
							for range costly.rounds {
								if served := env.sendCostly(costly.text, costly.responses); served != costly.responses && late == 0 {
									t.Errorf("%d of %d requests were served", served, costly.responses)
								}
							}
						})
					}
					time.Sleep(leastTime / 2)
					sent := time.Now()
					if response := env.call("POST", "/r/x", "hello"); response.status != http.StatusOK || time.Since(sent) > 2*late {
						t.Errorf("an ordinary request got status %d after %v", response.status, time.Since(sent))
					}
					crowd.Wait()
					took := time.Since(began)
					if late > 0 && took < leastTime {
						t.Errorf("the crowd was served within %v", took)
					}
					if late == 0 && took > leastTime {
						t.Errorf("the crowd was served within %v", took)
					}
				})
			})
		}
	}
}

// sendCostly sends a text on a connection of its own, and returns the number of responses with status 200.
func (env *testEnv) sendCostly(text string, responses int) (served int) {
	conn, err := env.dial()
	if err != nil {
		env.t.Error(err)
		return 0
	}
	defer conn.Close()
	// An error means that the connection was closed for what was sent.
	go func() { _, _ = io.WriteString(conn, text) }()
	reader := bufio.NewReader(conn)
	for range responses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return served
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}
