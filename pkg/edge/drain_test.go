package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/gateway"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// TestStoppingInstanceAcceptsNothingLate guards against a request that arrives late in a planned stop,
// is accepted because the instance noticed the signal late, and is cut at the end of the grace period.
func TestStoppingInstanceAcceptsNothingLate(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			e, _ := newTestEdge()
			began := time.Now()
			var log bytes.Buffer
			e.now = func() time.Duration { return time.Since(began) }
			e.logger, e.settings.GracePeriod = zerolog.New(&log), grace
			e.drain(gateway.NewListener(&net.TCPListener{}, e.now))
			latest := min(grace*3/8+drainPollInterval, maxAcceptTime-400*time.Millisecond)
			after, ok := stoppedAccepting(t, &log)
			if !ok || after > latest {
				t.Errorf("a grace period of %v: accepts requests for %v, logged %t, want %v at most", grace, after, ok, latest)
			}
		})
	}
}

// pipeListener accepts the ends of pipes until it is closed.
type pipeListener struct {
	conns chan net.Conn
	close sync.Once
}

func newPipeListener() *pipeListener { return &pipeListener{conns: make(chan net.Conn, 1)} }

func (l *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.conns) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// openListener returns a listener with a connection, and a function that sends it a part of a request.
func openListener(t *testing.T, now clock.Clock) (callers *gateway.Listener, send func()) {
	t.Helper()
	caller, accepted := net.Pipe()
	inner := newPipeListener()
	inner.conns <- accepted
	callers = gateway.NewListener(inner, now)
	conn, err := callers.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), conn.Close() })
	return callers, func() {
		go func() { _, _ = caller.Write([]byte("GET")) }()
		if _, err := conn.Read(make([]byte, 3)); err != nil || callers.Busy() != 1 {
			t.Error("the connection is not busy", err)
		}
	}
}

// TestStopOfLateInstanceAnswersBeforeItIsKilled guards against an instance that notices the signal late, counts its
// stop from then, and is killed while it still waits for requests or for responses that are being written.
func TestStopOfLateInstanceAnswersBeforeItIsKilled(t *testing.T) {
	const grace, slack = 8 * time.Second, 2 * drainPollInterval
	for _, late := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, _ := newTestEdge()
				running := clock.Process()
				var skipped atomic.Int64
				e.now = func() time.Duration { return running() + time.Duration(skipped.Load()) }
				e.meter = overload.NewMeter(e.now)
				at := make(map[string]time.Duration)
				e.logger = zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) { at[message] = e.now() }))
				e.settings.GracePeriod = grace
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go e.meter.Run(ctx, nil, nil)
				callers, send := openListener(t, e.now)
				send()
				time.Sleep(time.Second)
				signalled := e.now()
				skipped.Add(int64(late))
				noticed := e.now()
				go func() {
					// The process stands still again and again.
					for wait.For(ctx, 500*time.Millisecond) {
						skipped.Add(int64(late))
					}
				}()
				e.drain(callers)
				returned := e.now() - signalled
				if after := at["accepts no more requests"] - signalled; after > maxAcceptTime {
					t.Errorf("accepts requests %v after the signal", after)
				}
				ended := at["stopped serving"]
				if left := signalled + grace - ended; left < min(max(late, grace/16-slack), grace/6-2*late-slack) {
					t.Errorf("ends requests %v before it is killed", left)
				}
				if after := ended - noticed; after < grace*5/6 {
					t.Errorf("ends requests %v after it has noticed the signal", after)
				}
				if returned > grace+late || returned < grace-grace/16+100*time.Millisecond {
					t.Errorf("waits until %v after the signal for a response that is being written", returned)
				}
			})
		})
	}
}

// TestStopOfLateInstanceReadsWhatHasArrived guards against connections that are closed although a request has arrived, which
// a late instance has not read yet.
func TestStopOfLateInstanceReadsWhatHasArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newTestEdge()
		running := clock.Process()
		var skipped atomic.Int64
		e.now = func() time.Duration { return running() + time.Duration(skipped.Load()) }
		e.meter = overload.NewMeter(e.now)
		e.settings.GracePeriod = 8 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go e.meter.Run(ctx, nil, nil)
		callers, send := openListener(t, e.now)
		e.logger = zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
			if message == "accepts no more requests" {
				skipped.Add(int64(300 * time.Millisecond))
				time.AfterFunc(200*time.Millisecond, send)
			}
		}))
		e.drain(callers)
		if callers.Busy() == 0 {
			t.Error("the stop has ended before the request was read")
		}
	})
}

// TestRequestReadWhileTheServerClosesIsAnswered guards against connections that end without a response because the handler
// of a request that was read at the end of a stop is late.
func TestRequestReadWhileTheServerClosesIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newTestEdge()
		e.now = clock.Process()
		inner := newPipeListener()
		callers := gateway.NewListener(inner, e.now)
		began, ended := make(chan struct{}), make(chan struct{})
		server := netconn.Track(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			defer close(ended)
			close(began)
			time.Sleep(time.Second)
		})})
		go func() { _ = server.Serve(callers) }()
		caller, accepted := net.Pipe()
		defer caller.Close()
		inner.conns <- accepted
		go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
		<-began
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			gateway.Close(server, callers, 2*time.Second)
		}()
		if _, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil {
			t.Error(err)
		}
		<-ended
		<-closed
		if now := e.now(); now > 1500*time.Millisecond {
			t.Errorf("closes after %v, when nothing is left to be answered", now)
		}
	})
}

// stoppedAccepting returns the time after the beginning of the stop that the log names.
func stoppedAccepting(t *testing.T, log *bytes.Buffer) (after time.Duration, ok bool) {
	t.Helper()
	for decoder := json.NewDecoder(log); decoder.More(); {
		var line struct {
			Message string  `json:"message"`
			After   float64 `json:"after_ms"`
		}
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		if line.Message == "accepts no more requests" {
			return time.Duration(line.After * float64(time.Millisecond)), true
		}
	}
	return 0, false
}
