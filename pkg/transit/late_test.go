package transit

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/reach"
)

// dialer is a Dial of Options that fails like a dialer of package net.
type dialer func(ctx context.Context) error

func (d dialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := d(ctx); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	near, _ := net.Pipe()
	return near, nil
}

// TestTimeoutOfLateInstanceIsNoEvidence guards against an instance that takes its own delay for a
// failure of its upstreams or of the path to them.
func TestTimeoutOfLateInstanceIsNoEvidence(t *testing.T) {
	timesOut := func(ctx context.Context) error { <-ctx.Done(); return os.ErrDeadlineExceeded }
	refuses := func(context.Context) error { return os.NewSyscallError("connect", syscall.ECONNREFUSED) }
	takes := func(duration time.Duration) dialer {
		return func(ctx context.Context) error {
			select {
			case <-time.After(duration):
				return nil
			case <-ctx.Done():
				return os.ErrDeadlineExceeded
			}
		}
	}
	for name, c := range map[string]struct {
		dial       dialer
		late       time.Duration
		lost       bool
		isLate     bool
		noFailures bool
	}{
		"times out on time":                  {dial: timesOut, lost: true},
		"times out within the usual delay":   {dial: timesOut, late: MaxLate, lost: true},
		"times out while late":               {dial: timesOut, late: 300 * time.Millisecond, isLate: true},
		"refuses while late":                 {dial: refuses, late: 300 * time.Millisecond, lost: true},
		"takes as much longer as it is late": {dial: takes(400 * time.Millisecond), late: 300 * time.Millisecond, noFailures: true},
		"takes too long":                     {dial: takes(400 * time.Millisecond), late: 0, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstreams := upstreamsAt(func() string { return "h:1" })
				transit := New(Options{Upstreams: upstreams, Peers: func() []reach.Peer { return nil }, Dial: c.dial.dial, DialTimeout: 150 * time.Millisecond,
					Clock: clock.Process(), Late: func() time.Duration { return c.late }, Logger: zerolog.Nop()})
				for _, to := range upstreams {
					conn, err := transit.Dial(t.Context(), to, Request{ID: "r", Silence: time.Second})
					if (err == nil) != c.noFailures || errors.Is(err, ErrLate) != c.isLate {
						t.Errorf("%v, late %v", err, errors.Is(err, ErrLate))
					}
					if err == nil {
						conn.recordResponse()
						_ = conn.Close()
					}
				}
				if lost := !transit.reaches("s"); lost != c.lost {
					t.Errorf("the path counts as lost: %v", lost)
				}
			})
		})
	}
}

// TestSilenceWhileLateIsNoEvidence guards against a path that counts as lost because the instance
// has not read the responses yet.
func TestSilenceWhileLateIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstreams := upstreamsAt(func() string { return "h:1" })
		late := &atomic.Int64{}
		late.Store(int64(2 * time.Second))
		transit := New(Options{Upstreams: upstreams, Peers: func() []reach.Peer { return nil }, Dial: dialer(func(context.Context) error { return nil }).dial,
			DialTimeout: 150 * time.Millisecond, Clock: clock.Process(), Late: func() time.Duration { return time.Duration(late.Load()) }, Logger: zerolog.Nop()})
		for _, to := range upstreams {
			conn, err := transit.Dial(t.Context(), to, Request{ID: "r", Silence: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
		}
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if !transit.reaches("s") {
			t.Error("the path counts as lost while the instance is late")
		}
		late.Store(0)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if transit.reaches("s") {
			t.Error("the path does not count as lost although no upstream has responded")
		}
	})
}
