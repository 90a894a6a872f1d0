// Package netconn opens TCP connections that fail quickly when the peer becomes
// unreachable. A broken network link often causes no reset; only keep-alive probes
// and acknowledgement timeouts detect it.
package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
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
