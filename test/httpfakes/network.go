// Package httpfakes provides in-memory fakes of upstreams for tests. They speak
// real HTTP over pipes, so that each test includes the behaviour of net/http, and
// they run inside a testing/synctest bubble.
package httpfakes

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// Network connects HTTP transports to the servers that listen on it by host name.
// It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	servers   map[string]*http.Server
	clients   []*http.Transport
	conns     []clientConn
	// partitioned holds the pairs of hosts that cannot connect to each other, in
	// both orders.
	partitioned map[[2]string]bool
	// killed holds the processes that were killed.
	killed map[string]bool
}

// clientConn is a connection with the process that opened it.
type clientConn struct {
	process string
	conn    net.Conn
}

// NewNetwork returns a network without servers.
func NewNetwork() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		servers:     make(map[string]*http.Server),
		partitioned: make(map[[2]string]bool),
		killed:      make(map[string]bool),
	}
}

// Serve serves the handler on the host until Close. If dialFault is not nil, it is
// called at each dial and returns the fault of the new connection.
func (n *Network) Serve(host string, handler http.Handler, dialFault func() Fault) {
	l := n.listen(host, dialFault)
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	n.mu.Lock()
	n.servers[host] = server
	n.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// Listen returns a listener for the connections to the host. The caller closes it.
func (n *Network) Listen(host string) net.Listener { return n.listen(host, nil) }

func (n *Network) listen(host string, dialFault func() Fault) *listener {
	l := &listener{host: host, conns: make(chan net.Conn), closed: make(chan struct{}), dialFault: dialFault}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

// Dialer returns a function that connects a process on the host to an address.
func (n *Network) Dialer(host, process string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, process, address)
	}
}

// Kill simulates the crash of a process. It closes the server of the host and all
// connections that the process has opened, and refuses its later dials.
func (n *Network) Kill(host, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed[process] = true
	_ = n.servers[host].Close()
	for _, opened := range n.conns {
		if opened.process == process {
			_ = opened.conn.Close()
		}
	}
}

// SetPartitioned sets whether new connections between the two hosts are refused.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
}

// Transport returns a transport with the router's settings for a process on the
// host. The process name distinguishes successive processes on one host.
// atMostOnce selects the transport for at-most-once requests.
func (n *Network) Transport(host, process string, atMostOnce bool) *http.Transport {
	transport := upstream.NewTransport(upstream.DefaultTransportSettings())
	if atMostOnce {
		transport = upstream.NewOnceTransport(upstream.DefaultTransportSettings())
	}
	transport.DialContext = n.Dialer(host, process)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients = append(n.clients, transport)
	return transport
}

// Probe returns a function that reports why a process on the host cannot connect to an
// address, or nil if it can.
func (n *Network) Probe(host, process string) func(ctx context.Context, address string) error {
	dial := n.Transport(host, process, true).DialContext
	return func(ctx context.Context, address string) error {
		conn, err := dial(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
}

// Close closes all servers with their connections, and the idle connections of all
// transports.
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

func (n *Network) dial(ctx context.Context, from, process, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	l := n.route(from, process, host)
	if l == nil {
		return nil, unreachable(address)
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed[process] {
		_ = conn.Close()
		return nil, unreachable(address)
	}
	n.conns = append(n.conns, clientConn{process, conn})
	return conn, nil
}

// route returns the listener of the host, or nil if the process cannot connect to
// it.
func (n *Network) route(from, process, host string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed[process] || n.partitioned[[2]string{from, host}] {
		return nil
	}
	return n.listeners[host]
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "pipe", Addr: pipeAddress(address), Err: syscall.ECONNREFUSED}
}

func unreachable(address string) error {
	return &net.OpError{Op: "dial", Net: "pipe", Addr: pipeAddress(address), Err: syscall.EHOSTUNREACH}
}

// listener creates a pipe for each dial and accepts its server end.
type listener struct {
	host      string
	conns     chan net.Conn
	once      sync.Once
	closed    chan struct{}
	dialFault func() Fault
}

func (l *listener) connect(ctx context.Context) (net.Conn, error) {
	fault := None
	if l.dialFault != nil {
		fault = l.dialFault()
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

// pipeAddress is the address of one end of a pipe.
type pipeAddress string

// Network implements net.Addr.
func (pipeAddress) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddress) String() string { return string(a) }
