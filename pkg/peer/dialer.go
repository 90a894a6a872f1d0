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

// Dialer sends messages to other instances over one connection per address,
// which it opens when needed. It is safe for concurrent use.
type Dialer struct {
	options     Options
	codec       boundedCodec
	credentials *credentials
	invalid     error

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	links  map[string]*link
}

var _ Caller = (*Dialer)(nil)

// link is the connection to one address, with the outcome of the last dial.
type link struct {
	// dialing admits one dial at a time.
	dialing  sync.Mutex
	mu       sync.Mutex
	rpc      *jsonrpc2.Conn
	failedAt time.Time
	failure  error
}

// NewDialer returns a Dialer without connections.
func NewDialer(o Options) *Dialer {
	o = o.withDefaults()
	d := &Dialer{options: o, codec: boundedCodec{limit: o.MaxMessage}, links: map[string]*link{}}
	d.credentials, d.invalid = newCredentials(o.Secret)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close closes all connections. Calls that wait end with PeerUnavailable.
func (d *Dialer) Close() { d.cancel() }

// Call sends a request and decodes the answer into result.
func (d *Dialer) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.options.CallTimeout)
		defer cancel()
	}
	data, err := d.codec.checkSize(params)
	if err != nil {
		return err
	}
	rpc, err := d.connection(ctx, address)
	if err != nil {
		return err
	}
	return unavailable(address, rpc.Call(ctx, method, data, result))
}

// Notify sends a message that has no answer.
func (d *Dialer) Notify(ctx context.Context, address, method string, params any) error {
	data, err := d.codec.checkSize(params)
	if err != nil {
		return err
	}
	rpc, err := d.connection(ctx, address)
	if err != nil {
		return err
	}
	return unavailable(address, rpc.Notify(ctx, method, data))
}

// unavailable types the failure of a call.
func unavailable(address string, err error) error {
	if err == nil {
		return nil
	}
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		return decodeFault(wire)
	}
	return fault.Wrap(fault.PeerUnavailable, err, "no answer from "+address)
}

// connection returns the open connection to the address, or opens one.
func (d *Dialer) connection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if d.invalid != nil {
		return nil, d.invalid
	}
	l := d.link(address)
	if rpc := l.open(); rpc != nil {
		return rpc, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if rpc := l.open(); rpc != nil {
		return rpc, nil
	}
	if err := l.recentFailure(d.options.RedialBackoff); err != nil {
		return nil, err
	}
	rpc, err := d.dial(ctx, address)
	l.store(rpc, err)
	return rpc, err
}

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

// open returns the connection while it is up, else nil.
func (l *link) open() *jsonrpc2.Conn {
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

// recentFailure returns the failure of a dial less than pause ago.
func (l *link) recentFailure(pause time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil || time.Since(l.failedAt) >= pause {
		return nil
	}
	return l.failure
}

func (l *link) store(rpc *jsonrpc2.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rpc, l.failure = rpc, err
	if err != nil {
		l.failedAt = time.Now()
	}
}

// dial connects, authenticates both sides and exchanges identities.
func (d *Dialer) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.options.DialTimeout)
	defer cancel()
	raw, err := netconn.Dialer(d.options.DialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "cannot connect to "+address)
	}
	d.options.Meter.dials.Add(1)
	process.dials.Add(1)
	conn := tls.Client(&meteredConn{raw, d.options.Meter}, d.credentials.clientConfig())
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fault.Wrap(fault.PeerUnavailable, err, "cannot authenticate "+address)
	}
	rpc := jsonrpc2.NewConn(d.ctx, newStream(conn, d.options), silent{}, quiet(d.options.Logger))
	var peer Identity
	if err := rpc.Call(ctx, helloMethod, d.options.Identity, &peer); err != nil {
		_ = rpc.Close()
		return nil, fault.Wrap(fault.PeerUnavailable, err, "no greeting from "+address)
	}
	return rpc, nil
}

// silent ignores requests on connections that this instance opened: each
// direction uses the connection of its own sender.
type silent struct{}

// Handle drops the request.
func (silent) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
