// Package httpfakes holds in-memory stand-ins of upstreams for tests. They speak
// real HTTP over pipes, so that net/http's own behaviour is part of each test,
// and they run inside a testing/synctest bubble.
package httpfakes

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// Network connects transports with the servers that listen on it by host name.
// It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	servers   map[string]*http.Server
	clients   []*http.Transport
	conns     []clientConn
	// cut holds the pairs of hosts that cannot reach each other.
	cut map[[2]string]bool
	// dead holds the lives that were killed.
	dead map[string]bool
}

// clientConn is a connection with the life that made it.
type clientConn struct {
	life string
	conn net.Conn
}

// NewNetwork returns a network without servers.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		servers:   make(map[string]*http.Server),
		cut:       make(map[[2]string]bool),
		dead:      make(map[string]bool),
	}
}

// Serve serves the handler on the host until Close. dial, if not nil, is asked
// at every dial what shall befall the new connection.
func (n *Network) Serve(host string, handler http.Handler, dial func() Fault) {
	l := &listener{host: host, conns: make(chan net.Conn), closed: make(chan struct{}), dial: dial}
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	n.mu.Lock()
	n.listeners[host] = l
	n.servers[host] = server
	n.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// Kill ends a process as far as others can see: the server of the host, and all
// connections that the life has made or would make.
func (n *Network) Kill(host, life string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[life] = true
	_ = n.servers[host].Close()
	for _, made := range n.conns {
		if made.life == life {
			_ = made.conn.Close()
		}
	}
}

// SetPartitioned sets whether the two hosts are kept from making connections.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// Transport returns a transport with the product's settings, for a process on
// the host. The life tells processes apart that follow each other on one host.
func (n *Network) Transport(host, life string, once bool) *http.Transport {
	transport := upstream.NewTransport(upstream.DefaultTransportSettings())
	if once {
		transport = upstream.NewOnceTransport(upstream.DefaultTransportSettings())
	}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, life, address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients = append(n.clients, transport)
	return transport
}

// Close ends all servers and connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, transport := range n.clients {
		transport.CloseIdleConnections()
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
}

func (n *Network) dial(ctx context.Context, from, life, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	l := n.route(from, life, host)
	if l == nil {
		return nil, refused(address)
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[life] {
		_ = conn.Close()
		return nil, refused(address)
	}
	n.conns = append(n.conns, clientConn{life, conn})
	return conn, nil
}

// route returns the listener of the host, or nil when there is no way to it.
func (n *Network) route(from, life, host string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[life] || n.cut[[2]string{from, host}] {
		return nil
	}
	return n.listeners[host]
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "pipe", Addr: pipeAddress(address), Err: io.ErrClosedPipe}
}

// listener hands out one end of a pipe for each dial.
type listener struct {
	host   string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
	dial   func() Fault
}

func (l *listener) connect(ctx context.Context) (net.Conn, error) {
	fault := None
	if l.dial != nil {
		fault = l.dial()
	}
	if fault == DialFailure {
		return nil, refused(l.host)
	}
	client, server := net.Pipe()
	if fault == ResetBeforeRead {
		_ = server.Close()
		return client, nil
	}
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused(l.host)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return pipeAddress(l.host) }

// pipeAddress names one end of a pipe.
type pipeAddress string

// Network implements net.Addr.
func (pipeAddress) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddress) String() string { return string(a) }
