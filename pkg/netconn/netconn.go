// Package netconn opens TCP connections that notice a silent peer: a cut link
// often resets nothing, and only probes and acknowledgement timeouts show it.
package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes are the smallest that
	// the kernel's whole seconds allow: a silent peer is noticed in 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unacknowledged is how long sent bytes may stay unacknowledged; it is the
	// same 3 s.
	unacknowledged = 3 * time.Second
)

// Dialer returns a dialer whose connections fail when the peer is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

// ListenConfig returns the settings of a listener whose connections fail when
// the peer is silent.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

func setUserTimeout(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
