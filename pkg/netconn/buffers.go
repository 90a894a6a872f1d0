package netconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes is how much the kernel may hold in each direction of a connection to a caller or
// an upstream. By default the buffers of a side that does not read grow to several megabytes, for
// each of hundreds of connections. At a round trip of 12 ms, 5 MB a second remain.
const socketBufferBytes = 64 << 10

// BoundDialer bounds the socket buffers of the connections of a dialer, and returns it.
func BoundDialer(config *net.Dialer) *net.Dialer {
	config.Control = withBoundedBuffers(config.Control)
	return config
}

// BoundListeners bounds the socket buffers of the connections of listeners, and returns their
// configuration.
func BoundListeners(config *net.ListenConfig) *net.ListenConfig {
	config.Control = withBoundedBuffers(config.Control)
	return config
}

func withBoundedBuffers(control func(network, address string, raw syscall.RawConn) error) func(network, address string, raw syscall.RawConn) error {
	return func(network, address string, raw syscall.RawConn) error {
		if control != nil {
			if err := control(network, address, raw); err != nil {
				return err
			}
		}
		return raw.Control(func(fd uintptr) {
			// A kernel that refuses keeps its own bounds.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
		})
	}
}
