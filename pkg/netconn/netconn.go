// Package netconn opens TCP connections that fail quickly when the peer becomes
// unreachable. A broken network link often causes no reset; only keep-alive probes
// and acknowledgement timeouts detect it.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	// keepAliveIdle and keepAliveInterval are the smallest values that the kernel
	// allows, since it counts whole seconds. With two probes, an unreachable peer is
	// detected within 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// userTimeout is how long sent data may remain unacknowledged. It equals the
	// detection time of the keep-alive probes.
	userTimeout = 3 * time.Second
)

// Dialer returns a dialer whose connections fail when the peer is unreachable.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

// ListenConfig returns the configuration of a listener whose connections fail when
// the peer is unreachable.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

const (
	// maxAddressWait is how long a process that starts waits for an address that is in use. The process
	// before it may still be stopping, for which platforms allow some 10 s.
	maxAddressWait = 20 * time.Second
	// addressRetryDelay is the time between two attempts to listen.
	addressRetryDelay = 50 * time.Millisecond
)

// Listen listens on an address. While the process that had it before is ending, it waits.
func Listen(ctx context.Context, config *net.ListenConfig, address string, logger zerolog.Logger) (net.Listener, error) {
	began := clock.Boot()
	waiting := false
	for {
		listener, err := config.Listen(ctx, "tcp", address)
		waited := clock.Boot() - began
		if err == nil && waiting {
			logger.Info().Str("address", address).Dur("waited_ms", waited).Msg("address is free")
		}
		if !errors.Is(err, syscall.EADDRINUSE) || waited >= maxAddressWait {
			return listener, err
		}
		if !waiting {
			logger.Error().Err(err).Str("address", address).Dur("limit_ms", maxAddressWait).Msg("address is in use, waiting for it")
			waiting = true
		}
		if !wait.For(ctx, addressRetryDelay) {
			return nil, err
		}
	}
}

// acceptRetryDelay is the delay after an error of a listener.
const acceptRetryDelay = 50 * time.Millisecond

// Accept accepts a connection. It retries after all errors except that of a closed listener:
// descriptors may run out for a while, and on Linux the network errors of a connection that
// failed before it was accepted are errors of the listener.
func Accept(listener net.Listener, logger zerolog.Logger) (net.Conn, error) {
	for {
		conn, err := listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		logger.Error().Err(err).Str("address", listener.Addr().String()).Dur("retry_ms", acceptRetryDelay).Msg("cannot accept a connection")
		time.Sleep(acceptRetryDelay)
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// setUserTimeout sets the TCP_USER_TIMEOUT socket option.
func setUserTimeout(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
