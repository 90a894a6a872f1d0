package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

const (
	// helloMethod is the first call on each connection. It exchanges identities.
	helloMethod = "peer.hello"
	// maxConcurrentCalls is the maximum number of concurrent calls per connection.
	maxConcurrentCalls = 128
)

// Server accepts connections from other instances and serves the registered methods.
// Handle must not be called after Serve.
type Server struct {
	options  Options
	handlers map[string]Handler
	// streams handles byte streams, unless it is nil. handover is the listener of their
	// connections while the server runs.
	streams  http.Handler
	handover *handoverListener

	mu        sync.Mutex
	listener  net.Listener
	tls       *tls.Config
	conns     map[*jsonrpc2.Conn]*serverConn
	connSlots chan struct{}
	active    sync.WaitGroup
}

var _ Registrar = (*Server)(nil)

// NewServer returns a Server that does not listen yet.
func NewServer(o Options) *Server {
	o = o.withDefaults()
	return &Server{
		options:   o,
		handlers:  map[string]Handler{},
		conns:     map[*jsonrpc2.Conn]*serverConn{},
		connSlots: make(chan struct{}, o.MaxConnections),
	}
}

// Handle implements Registrar.
func (s *Server) Handle(method string, handler Handler) {
	s.handlers[method] = handler
}

// Listen opens the listening socket, unless it is open. Serve calls it if needed.
func (s *Server) Listen(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	credentials, err := newCredentials(s.options.Secret)
	if err != nil {
		return err
	}
	listener, err := netconn.Listen(ctx, &net.ListenConfig{}, s.options.Address, s.options.Logger)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot listen on "+s.options.Address)
	}
	s.listener, s.tls = listener, credentials.serverConfig()
	if s.streams != nil {
		s.tls.NextProtos = []string{streamProtocol}
		s.handover = newHandoverListener(listener.Addr())
	}
	return nil
}

// Address returns the bound address, or the empty string before Listen.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Serve accepts connections until ctx is done, then closes them and waits for the
// handlers. It returns nil if it stopped because ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	if err := s.Listen(ctx); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	if s.handover != nil {
		s.active.Go(func() { s.serveStreams(ctx, s.handover) })
	}
	err := s.accept(ctx)
	s.closeConnections()
	s.active.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// accept accepts connections until the listener is closed. Connections above
// MaxConnections are closed immediately.
func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := netconn.Accept(s.listener, s.options.Logger)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "the peer listener was closed")
		}
		select {
		case s.connSlots <- struct{}{}:
		default:
			s.options.Logger.Warn().Msg("connection limit reached; rejecting peer connection")
			_ = conn.Close()
			continue
		}
		s.active.Go(func() {
			defer func() { <-s.connSlots }()
			s.serveConn(ctx, conn)
		})
	}
}

// serveConn authenticates one connection and serves it until it is closed.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	notifying := &notifyingConn{Conn: &meteredConn{raw, s.options.Meter}, closed: make(chan struct{})}
	conn := tls.Server(notifying, s.tls)
	defer conn.Close()
	handshake, cancel := context.WithTimeout(ctx, s.options.DialTimeout)
	err := conn.HandshakeContext(handshake)
	cancel()
	if err != nil {
		s.options.Logger.Debug().Err(err).Msg("TLS handshake with peer failed")
		return
	}
	if conn.ConnectionState().NegotiatedProtocol == streamProtocol {
		s.handover.serve(conn, notifying.closed)
		return
	}
	serving := &serverConn{server: s, callSlots: make(chan struct{}, maxConcurrentCalls)}
	rpc := jsonrpc2.NewConn(ctx, newStream(conn, s.options), serving, withDebugLogger(s.options.Logger))
	s.track(rpc, serving)
	<-rpc.DisconnectNotify()
	s.track(rpc, nil)
	serving.closeCalls()
}

// track adds the connection to the open connections, or removes it if serving is nil.
func (s *Server) track(rpc *jsonrpc2.Conn, serving *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if serving != nil {
		s.conns[rpc] = serving
	} else {
		delete(s.conns, rpc)
	}
}

// DropConnections closes the open connections without handling further messages of them, so
// that none is read that was sent before. It is for an instance that was suspended. A connection
// that is accepted later carries no older messages, since its handshake needs this side.
func (s *Server) DropConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rpc, serving := range s.conns {
		serving.dropped.Store(true)
		go rpc.Close()
	}
}

// closeConnections closes all open connections in the background.
func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rpc := range s.conns {
		go rpc.Close()
	}
}

// serverConn serves one connection. Handle runs on the goroutine that reads it.
type serverConn struct {
	server     *Server
	from       Identity
	identified bool
	callSlots  chan struct{}
	active     sync.WaitGroup
	// dropped is set if further messages are not handled.
	dropped atomic.Bool
	// mu guards closed. After this side closes the connection, it may still read a
	// call, which must not start while the server waits for the running calls.
	mu     sync.Mutex
	closed bool
}

// startCall runs call in a new goroutine, unless closeCalls was called.
func (c *serverConn) startCall(call func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.active.Go(call)
}

// closeCalls prevents further calls from starting and waits for the running calls.
func (c *serverConn) closeCalls() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.active.Wait()
}

// Handle implements jsonrpc2.Handler. It runs notifications synchronously to keep
// their order, and calls concurrently.
func (c *serverConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if c.dropped.Load() {
		return
	}
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	if request.Method == helloMethod {
		c.hello(ctx, rpc, request, params)
		return
	}
	handler, ok := c.server.handlers[request.Method]
	if !ok || !c.identified {
		c.reject(ctx, rpc, request)
		return
	}
	if request.Notif {
		if _, err := c.invoke(ctx, handler, c.from, request.Method, params); err != nil {
			c.server.options.Logger.Debug().Err(err).Str("method", request.Method).Msg("notification handler failed")
		}
		return
	}
	c.callSlots <- struct{}{}
	from := c.from
	c.startCall(func() {
		defer func() { <-c.callSlots }()
		result, err := c.invoke(ctx, handler, from, request.Method, params)
		c.reply(ctx, rpc, request.ID, result, err)
	})
}

// invoke calls a handler. A panic is logged and returned as an error, so that one message
// cannot end the process.
func (c *serverConn) invoke(ctx context.Context, handler Handler, from Identity, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if value := recover(); value != nil {
			c.server.options.Logger.Error().Str("method", method).Str("peer", string(from.Instance)).Interface("panic", value).Bytes("stack", debug.Stack()).Msg("handler panicked")
			result, err = nil, fault.New(fault.Internal, "the handler of the message failed")
		}
	}()
	return handler(ctx, from, params)
}

// hello stores the identity of the peer and replies with that of this instance.
func (c *serverConn) hello(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	var from Identity
	if err := json.Unmarshal(params, &from); err != nil || from.Incarnation == "" {
		c.reply(ctx, rpc, request.ID, nil, fault.New(fault.PeerRejected, "the peer sent no valid identity"))
		return
	}
	c.from, c.identified = from, true
	c.reply(ctx, rpc, request.ID, c.server.options.Identity, nil)
}

// reject replies to a call with PeerRejected. Notifications get no reply.
func (c *serverConn) reject(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	c.reply(ctx, rpc, request.ID, nil, fault.New(fault.PeerRejected, "unknown method: "+request.Method))
}

// reply sends the result of a call, or its error.
func (c *serverConn) reply(ctx context.Context, rpc *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	if err != nil {
		_ = rpc.ReplyWithError(ctx, id, encodeFault(err))
		return
	}
	if err := rpc.Reply(ctx, id, result); err != nil {
		c.server.options.Logger.Debug().Err(err).Msg("cannot send response to peer")
	}
}

// withDebugLogger writes the messages of the jsonrpc2 library to the debug log.
func withDebugLogger(logger zerolog.Logger) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(debugLogger{logger})
}

// debugLogger implements jsonrpc2.Logger.
type debugLogger struct{ logger zerolog.Logger }

// Printf implements jsonrpc2.Logger.
func (l debugLogger) Printf(format string, v ...any) {
	l.logger.Debug().Msgf(format, v...)
}
