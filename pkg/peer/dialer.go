package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// Dialer sends messages to other instances. It opens one connection per address on
// demand. It is safe for concurrent use.
type Dialer struct {
	options        Options
	codec          boundedCodec
	credentials    *credentials
	credentialsErr error

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	links  map[string]*link
}

var _ Caller = (*Dialer)(nil)

// link holds the connection to one address and the result of the last dial.
type link struct {
	// dialing is held during a dial, so that there is one dial at a time.
	dialing      sync.Mutex
	mu           sync.Mutex
	rpc          *jsonrpc2.Conn
	dialFailedAt time.Time
	dialErr      error
}

// NewDialer returns a Dialer without connections.
func NewDialer(o Options) *Dialer {
	o = o.withDefaults()
	d := &Dialer{options: o, codec: boundedCodec{maxBytes: o.MaxMessage}, links: map[string]*link{}}
	d.credentials, d.credentialsErr = newCredentials(o.Secret)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close closes all connections. Pending calls return PeerUnavailable.
func (d *Dialer) Close() { d.cancel() }

// Call implements Caller. Without a deadline in ctx, CallTimeout applies.
func (d *Dialer) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.options.CallTimeout)
		defer cancel()
	}
	data, err := d.codec.marshalParams(params)
	if err != nil {
		return err
	}
	rpc, err := d.connection(ctx, address)
	if err != nil {
		return err
	}
	return d.callError(address, rpc, rpc.Call(ctx, method, data, result))
}

// Notify implements Caller.
func (d *Dialer) Notify(ctx context.Context, address, method string, params any) error {
	data, err := d.codec.marshalParams(params)
	if err != nil {
		return err
	}
	rpc, err := d.connection(ctx, address)
	if err != nil {
		return err
	}
	return d.callError(address, rpc, rpc.Notify(ctx, method, data))
}

// callError converts the error of a call on a connection to a fault. If the connection has
// failed, the next call opens another one.
func (d *Dialer) callError(address string, rpc *jsonrpc2.Conn, err error) error {
	if err == nil {
		return nil
	}
	if connectionFailed(err) {
		d.link(address).drop(rpc)
	}
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		return decodeFault(wire)
	}
	return fault.Wrap(fault.PeerUnavailable, err, "no response from "+address)
}

// connectionFailed reports whether the error of a call means that its connection is unusable.
func connectionFailed(err error) bool {
	var write *writeError
	return errors.Is(err, jsonrpc2.ErrClosed) || errors.As(err, &write)
}

// connection returns the open connection to address, or dials one. After a failed
// dial it returns the same error until RedialBackoff has passed.
func (d *Dialer) connection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if d.credentialsErr != nil {
		return nil, d.credentialsErr
	}
	l := d.link(address)
	if rpc := l.openConn(); rpc != nil {
		return rpc, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if rpc := l.openConn(); rpc != nil {
		return rpc, nil
	}
	if err := l.recentDialError(d.options.RedialBackoff); err != nil {
		return nil, err
	}
	rpc, err := d.dial(ctx, address)
	l.setDialResult(rpc, err)
	return rpc, err
}

// link returns the link to address, which it creates on first use.
func (d *Dialer) link(address string) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[address]
	if !ok {
		l = &link{}
		d.links[address] = l
	}
	return l
}

// openConn returns the connection if it is open, otherwise nil.
func (l *link) openConn() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc == nil {
		return nil
	}
	select {
	case <-l.rpc.DisconnectNotify():
		l.rpc = nil
		return nil
	default:
		return l.rpc
	}
}

// drop closes a failed connection and removes it. DisconnectNotify does not suffice: it reports
// a closed connection only after the pending calls have failed, and a failed write not at all.
func (l *link) drop(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc == rpc {
		l.rpc = nil
	}
	// Close may wait for the peer to read the end of the TLS connection.
	go rpc.Close()
}

// recentDialError returns the error of the last dial if it failed less than backoff
// ago, otherwise nil.
func (l *link) recentDialError(backoff time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialErr == nil || time.Since(l.dialFailedAt) >= backoff {
		return nil
	}
	return l.dialErr
}

// setDialResult stores the result of a dial.
func (l *link) setDialResult(rpc *jsonrpc2.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rpc, l.dialErr = rpc, err
	if err != nil {
		l.dialFailedAt = time.Now()
	}
}

// dial opens a connection, authenticates both sides and exchanges identities.
func (d *Dialer) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.options.DialTimeout)
	defer cancel()
	raw, err := netconn.Dialer(d.options.DialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "cannot connect to "+address)
	}
	d.options.Meter.dials.Add(1)
	processMeter.dials.Add(1)
	conn := tls.Client(&meteredConn{raw, d.options.Meter}, d.credentials.clientConfig())
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fault.Wrap(fault.PeerUnavailable, err, "failed TLS handshake with "+address)
	}
	rpc := jsonrpc2.NewConn(d.ctx, newStream(conn, d.options), noopHandler{}, withDebugLogger(d.options.Logger))
	var peer Identity
	if err := rpc.Call(ctx, helloMethod, d.options.Identity, &peer); err != nil {
		_ = rpc.Close()
		return nil, fault.Wrap(fault.PeerUnavailable, err, "failed identity exchange with "+address)
	}
	return rpc, nil
}

// noopHandler ignores requests on outgoing connections. An instance sends requests
// only on connections that it opened itself.
type noopHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
