package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

const (
	// callersAddress is the environment variable with the address for TestCallers.
	callersAddress = "CALLERS_ADDRESS"
	callerCount    = 24
	// heldTimeout is the timeout of the route, and heldAllowed the time after it in which most
	// callers must have their responses.
	heldTimeout = 800 * time.Millisecond
	heldAllowed = 500 * time.Millisecond
)

// TestCallers is the other process of TestRequestsOfBusyInstanceEndAtTheirTimeout: it sends a request on each
// of its connections and prints how long the responses took.
func TestCallers(t *testing.T) {
	address := os.Getenv(callersAddress)
	if address == "" {
		t.Skip("runs in another process only")
	}
	var conns []net.Conn
	for range callerCount {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	fmt.Println("ready")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	results := make(chan string, callerCount)
	for i, conn := range conns {
		go func() {
			began := time.Now()
			_, _ = fmt.Fprint(conn, requestOn("/once/", fmt.Sprint("r", i), ""))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				results <- fmt.Sprintf("0 %d", time.Since(began).Milliseconds())
				return
			}
			results <- fmt.Sprintf("%d %d", response.StatusCode, time.Since(began).Milliseconds())
		}()
	}
	for range conns {
		fmt.Println(<-results)
	}
}

// occupy keeps one processor busy so that what becomes ready to run waits for about the given time,
// until ctx is done.
func occupy(ctx context.Context, wait time.Duration) {
	const turn = 5 * time.Millisecond
	for range wait / turn {
		go func() {
			for ctx.Err() == nil {
				for began := time.Now(); time.Since(began) < turn; {
				}
				runtime.Gosched()
			}
		}()
	}
}

// TestRequestsOfBusyInstanceEndAtTheirTimeout guards against requests that get no response at their timeout
// because they waited for the processor before they were read.
func TestRequestsOfBusyInstanceEndAtTheirTimeout(t *testing.T) {
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	meter := overload.NewMeter(clock.Boot)
	signal, err := overload.OpenPipe()
	if err != nil {
		t.Fatal(err)
	}
	measured := make(chan struct{})
	go func() {
		defer close(measured)
		meter.Run(ctx, signal, nil)
	}()
	env := &testEnv{t: t, fleet: &recordingFleet{}, roster: roster.New()}
	respond, began, _ := workUntilClosed("")
	go func() {
		for range began {
		}
	}()
	routes := []catalog.Route{{Name: "once", Prefix: "/once/", Kind: catalog.AtMostOnce, MaxAttempts: 1, Timeout: heldTimeout}}
	env.start(Options{Clock: clock.Boot, DialTimeout: busyDialTimeout, Meter: meter}, routes, respond, 1)

	callers := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestCallers$")
	callers.Env = append(os.Environ(), callersAddress+"="+env.address)
	callers.Stderr = os.Stderr
	start, err := callers.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := callers.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := callers.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	for lines.Scan() && lines.Text() != "ready" {
	}
	occupy(ctx, 650*time.Millisecond)
	// Until the goroutines that keep the processor busy are all in the queue.
	time.Sleep(time.Second)
	if _, err := fmt.Fprintln(start); err != nil {
		t.Fatal(err)
	}
	held, ended := 0, 0
	var all []string
	for ended < callerCount && lines.Scan() {
		var status, milliseconds int
		if _, err := fmt.Sscan(lines.Text(), &status, &milliseconds); err != nil {
			continue
		}
		ended++
		all = append(all, lines.Text())
		if time.Duration(milliseconds)*time.Millisecond > heldTimeout+heldAllowed {
			held++
		}
	}
	cancel()
	_ = callers.Wait()
	<-measured
	if ended < callerCount || held > callerCount/2 {
		t.Errorf("%d of %d requests ended, %d of them more than %v after their timeout (status and ms): %s", ended, callerCount, held, heldAllowed, strings.Join(all, ", "))
	}
}
