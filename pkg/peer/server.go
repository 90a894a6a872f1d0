package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// helloMethod is the first call on each connection; it presents identities.
	helloMethod = "peer.hello"
	// maxConcurrentCalls bounds the calls served at once for one connection.
	maxConcurrentCalls = 128
)

// Server accepts connections from other instances and serves the registered
// methods. Handle must not be called after Serve.
type Server struct {
	options  Options
	handlers map[string]Handler

	mu       sync.Mutex
	listener net.Listener
	tls      *tls.Config
	conns    map[*jsonrpc2.Conn]struct{}
	slots    chan struct{}
	active   sync.WaitGroup
}

var _ Registrar = (*Server)(nil)

// NewServer returns a Server that has not begun to listen.
func NewServer(o Options) *Server {
	o = o.withDefaults()
	return &Server{
		options:  o,
		handlers: map[string]Handler{},
		conns:    map[*jsonrpc2.Conn]struct{}{},
		slots:    make(chan struct{}, o.MaxConnections),
	}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, handler Handler) {
	s.handlers[method] = handler
}

// Listen opens the listening socket. Serve calls it when it has not been
// called before.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	credentials, err := newCredentials(s.options.Secret)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot listen for peers at "+s.options.Address)
	}
	s.listener, s.tls = listener, credentials.serverConfig()
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

// Serve accepts connections until ctx ends, then closes them and waits for the
// handlers. It returns nil on an orderly end.
func (s *Server) Serve(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	err := s.accept(ctx)
	s.closeConnections()
	s.active.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return fault.Wrap(fault.Internal, err, "the peer listener failed")
		}
		select {
		case s.slots <- struct{}{}:
		default:
			s.options.Logger.Warn().Msg("too many peer connections; one is refused")
			_ = conn.Close()
			continue
		}
		s.active.Go(func() {
			defer func() { <-s.slots }()
			s.serveConn(ctx, conn)
		})
	}
}

// serveConn authenticates one connection and serves it to its end.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	conn := tls.Server(&meteredConn{raw, s.options.Meter}, s.tls)
	defer conn.Close()
	handshake, cancel := context.WithTimeout(ctx, s.options.DialTimeout)
	err := conn.HandshakeContext(handshake)
	cancel()
	if err != nil {
		s.options.Logger.Debug().Err(err).Msg("peer handshake failed")
		return
	}
	serving := &serverConn{server: s, calls: make(chan struct{}, maxConcurrentCalls)}
	rpc := jsonrpc2.NewConn(ctx, newStream(conn, s.options), serving, quiet(s.options.Logger))
	s.track(rpc, true)
	<-rpc.DisconnectNotify()
	s.track(rpc, false)
	serving.end()
}

func (s *Server) track(rpc *jsonrpc2.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[rpc] = struct{}{}
	} else {
		delete(s.conns, rpc)
	}
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rpc := range s.conns {
		go rpc.Close()
	}
}

// serverConn serves one connection. Handle runs on the reading goroutine.
type serverConn struct {
	server *Server
	from   Identity
	known  bool
	calls  chan struct{}
	active sync.WaitGroup
	// mu guards ended. A connection that this side closes may still be reading,
	// so that a call could begin while the server waits for those that run.
	mu    sync.Mutex
	ended bool
}

// begin runs the call beside the reading, unless the connection has ended.
func (c *serverConn) begin(call func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.active.Go(call)
}

// end lets no further call begin and waits for those that run.
func (c *serverConn) end() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.active.Wait()
}

// Handle runs notifications in place, so that they keep their order, and calls
// concurrently.
func (c *serverConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	if request.Method == helloMethod {
		c.hello(ctx, rpc, request, params)
		return
	}
	handler, ok := c.server.handlers[request.Method]
	if !ok || !c.known {
		c.reject(ctx, rpc, request)
		return
	}
	if request.Notif {
		if _, err := handler(ctx, c.from, params); err != nil {
			c.server.options.Logger.Debug().Err(err).Str("method", request.Method).Msg("notification failed")
		}
		return
	}
	c.calls <- struct{}{}
	from := c.from
	c.begin(func() {
		defer func() { <-c.calls }()
		result, err := handler(ctx, from, params)
		c.reply(ctx, rpc, request.ID, result, err)
	})
}

// hello takes the peer's identity and answers with this instance's own.
func (c *serverConn) hello(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	var from Identity
	if err := json.Unmarshal(params, &from); err != nil || from.Incarnation == "" {
		c.reply(ctx, rpc, request.ID, nil, fault.New(fault.PeerRejected, "the peer did not present itself"))
		return
	}
	c.from, c.known = from, true
	c.reply(ctx, rpc, request.ID, c.server.options.Identity, nil)
}

func (c *serverConn) reject(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	c.reply(ctx, rpc, request.ID, nil, fault.New(fault.PeerRejected, "no such method: "+request.Method))
}

func (c *serverConn) reply(ctx context.Context, rpc *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	if err != nil {
		_ = rpc.ReplyWithError(ctx, id, encodeFault(err))
		return
	}
	if err := rpc.Reply(ctx, id, result); err != nil {
		c.server.options.Logger.Debug().Err(err).Msg("reply to peer failed")
	}
}

// quiet sends the library's own messages to the debug log.
func quiet(logger zerolog.Logger) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(debugLogger{logger})
}

type debugLogger struct{ logger zerolog.Logger }

// Printf logs a message of the jsonrpc2 library.
func (l debugLogger) Printf(format string, v ...any) {
	l.logger.Debug().Msgf(format, v...)
}
