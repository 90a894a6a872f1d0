package netconn

import (
	"math"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes is how much the kernel may hold in each direction of a connection to a caller or
// an upstream. By default the buffers of a side that does not read grow to several megabytes, for
// each of hundreds of connections. At a round trip of 12 ms, 5 MB a second remain.
const socketBufferBytes = 64 << 10

// The sizes of the receive buffers of connections to callers. The kernel holds up to twice as much.
const (
	idleBufferBytes = 16 << 10
	// largeBufferBytes is that of a connection on which a body of largeBodyBytes arrives, and
	// grownBufferBytes what the kernel may hold of it.
	largeBufferBytes = 32 << 10
	grownBufferBytes = 64 << 10
	largeBodyBytes   = 64 << 10
)

// BoundDialer bounds the socket buffers of the connections of a dialer, and returns it.
func BoundDialer(config *net.Dialer) *net.Dialer {
	config.Control = withBoundedBuffers(config.Control, socketBufferBytes)
	return config
}

// BoundListeners bounds the socket buffers of the connections of listeners, and returns their
// configuration.
func BoundListeners(config *net.ListenConfig) *net.ListenConfig {
	config.Control = withBoundedBuffers(config.Control, idleBufferBytes)
	return config
}

func withBoundedBuffers(control func(network, address string, raw syscall.RawConn) error, receive int) func(network, address string, raw syscall.RawConn) error {
	return func(network, address string, raw syscall.RawConn) error {
		if control != nil {
			if err := control(network, address, raw); err != nil {
				return err
			}
		}
		return raw.Control(func(fd uintptr) {
			// A kernel that refuses keeps its own bounds.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
		})
	}
}

// setReceiveBuffer sets how much the kernel may hold of what a caller sends. More than idleBufferBytes lets a
// large body arrive in fewer round trips.
func setReceiveBuffer(conn net.Conn, size int) {
	raw, ok := rawConn(conn)
	if !ok {
		return
	}
	// A kernel that refuses keeps the buffer.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, 2*size)
	})
}

// DescriptorLimit returns the number of descriptors that the process may open, or zero if that is not known.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
