package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// peekBytes holds the length prefix of any message within the limits; every
// JSON-RPC message is longer than this.
const peekBytes = 5

// boundedCodec is the length-prefixed codec of jsonrpc2 with a limit on the
// length of a message in both directions.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	limit int
}

// ReadObject refuses a message above the limit before it reads the body.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	prefix, err := stream.Peek(peekBytes)
	if err != nil {
		return err
	}
	length, n := binary.Uvarint(prefix)
	if n <= 0 || length > uint64(c.limit) {
		return fault.New(fault.BodyTooLarge, "a peer sent a message above the limit")
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// checkSize encodes the parameters once and refuses those above the limit, so
// that one large message does not cost the connection.
func (c boundedCodec) checkSize(params any) (json.RawMessage, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "a message cannot be encoded")
	}
	if len(data) > c.limit-envelopeBytes {
		return nil, fault.New(fault.BodyTooLarge, "a message to a peer is above the limit")
	}
	return data, nil
}

// envelopeBytes bounds what JSON-RPC adds around the parameters.
const envelopeBytes = 256

// timedConn gives each write and read its own time limit, and so closes
// connections to peers that do not read and connections that are idle.
type timedConn struct {
	net.Conn
	writeTimeout time.Duration
	idleTimeout  time.Duration
}

// Write sends b within the write timeout.
func (c *timedConn) Write(b []byte) (int, error) {
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(now.Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read waits for data up to the idle timeout.
func (c *timedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// newStream wraps a connection for jsonrpc2.
func newStream(conn net.Conn, o Options) jsonrpc2.ObjectStream {
	timed := &timedConn{Conn: conn, writeTimeout: o.WriteTimeout, idleTimeout: o.IdleTimeout}
	var closer io.ReadWriteCloser = timed
	return jsonrpc2.NewBufferedStream(closer, boundedCodec{limit: o.MaxMessage})
}

// errorCode is the JSON-RPC code of every typed failure; the fault's own code
// is in the data.
const errorCode = -32000

// encodeFault turns a handler's failure into a JSON-RPC error.
func encodeFault(err error) *jsonrpc2.Error {
	failure := fault.From(err)
	wire := &jsonrpc2.Error{Code: errorCode, Message: failure.Message}
	wire.SetError(failure.Response())
	return wire
}

// decodeFault turns a JSON-RPC error into the peer's typed failure.
func decodeFault(wire *jsonrpc2.Error) error {
	var response fault.Response
	if wire.Data == nil || json.Unmarshal(*wire.Data, &response) != nil || response.Error.Code == "" {
		return fault.New(fault.PeerRejected, wire.Message)
	}
	return fault.FromResponse(response)
}
