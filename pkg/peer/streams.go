package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// streamProtocol is the protocol, negotiated by TLS, of connections that carry byte streams
// instead of JSON-RPC: HTTP/2, which has flow control for each of them.
const streamProtocol = "h2"

const (
	// pingInterval and pingTimeout bound the time after which the streams to a peer fail
	// whose process stands still while its kernel acknowledges what it receives.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// streamBufferBytes and connectionBufferBytes bound what a side that does not read has in
	// memory. At a round trip of 3 ms, a stream carries 20 MB a second.
	streamBufferBytes     = 64 << 10
	connectionBufferBytes = 8 << 20
	// frameBytes is the largest frame that a side receives. net/http holds a buffer of this size,
	// up to 512 kB, for each stream whose request body is open.
	frameBytes = 16 << 10
	// endTimeout bounds the wait of a server that stops for the ends of streams whose handlers have returned, which are
	// sent after that.
	endTimeout = 100 * time.Millisecond
)

func streamProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	return protocols
}

// StreamSettings returns the settings of the connections for byte streams.
func StreamSettings() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout, MaxReceiveBufferPerStream: streamBufferBytes, MaxReceiveBufferPerConnection: connectionBufferBytes, MaxReadFrameSize: frameBytes}
}

// HandleStreams registers the handler of byte streams: HTTP requests whose body and response
// are sent at the same time. It must not be called after Serve.
func (s *Server) HandleStreams(handler http.Handler) { s.streams = handler }

// serveStreams serves the connections of streams that serveConn passes to the listener.
func (s *Server) serveStreams(ctx context.Context, listener *handoverListener) {
	// The handler logs the streams; what the library logs are connections that broke off.
	server := &http.Server{Handler: s.streams, Protocols: streamProtocols(), HTTP2: StreamSettings(), ErrorLog: log.New(io.Discard, "", 0)}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		limited, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		// An error means that endTimeout has passed. Close ends what is left.
		_ = server.Shutdown(limited)
		_ = server.Close()
	})
	_ = server.Serve(listener)
	if !stop() {
		<-closed
	}
}

// StreamTransport returns the transport for byte streams to other instances. It opens one
// connection per address on demand, with the same credentials as for calls.
func (d *Dialer) StreamTransport() (*http.Transport, error) {
	if d.credentialsErr != nil {
		return nil, d.credentialsErr
	}
	config := d.credentials.clientConfig()
	config.NextProtos = []string{streamProtocol}
	transport := &http.Transport{
		TLSClientConfig:     config,
		TLSHandshakeTimeout: d.options.DialTimeout,
		IdleConnTimeout:     d.options.IdleTimeout,
		Protocols:           streamProtocols(),
		HTTP2:               StreamSettings(),
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := netconn.Dialer(d.options.DialTimeout).DialContext(ctx, network, address)
			if err != nil {
				return nil, fault.Wrap(fault.PeerUnavailable, err, "cannot connect to "+address)
			}
			d.options.Meter.dials.Add(1)
			processMeter.dials.Add(1)
			return &meteredConn{raw, d.options.Meter}, nil
		},
	}
	context.AfterFunc(d.ctx, transport.CloseIdleConnections)
	return transport, nil
}

// handoverListener accepts connections that were authenticated elsewhere.
type handoverListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

func newHandoverListener(addr net.Addr) *handoverListener {
	return &handoverListener{conns: make(chan net.Conn), closed: make(chan struct{}), addr: addr}
}

// Accept implements net.Listener.
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handoverListener) Addr() net.Addr { return l.addr }

// serve passes a connection to the listener and waits until it is closed.
func (l *handoverListener) serve(conn *tls.Conn, closed <-chan struct{}) {
	select {
	case l.conns <- conn:
		<-closed
	case <-l.closed:
	}
}

// notifyingConn closes a channel when the connection is closed.
type notifyingConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

// Close implements net.Conn.
func (c *notifyingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
