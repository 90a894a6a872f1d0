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

// lengthPrefixBytes is the number of bytes read ahead for the varint length prefix.
// It covers every length within the limits, and every JSON-RPC message is longer.
const lengthPrefixBytes = 5

// boundedCodec is the length-prefixed codec of jsonrpc2 with a maximum message
// length for both directions.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	maxBytes int
}

// ReadObject rejects a message longer than maxBytes before it reads the body.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	prefix, err := stream.Peek(lengthPrefixBytes)
	if err != nil {
		return err
	}
	length, n := binary.Uvarint(prefix)
	if n <= 0 || length > uint64(c.maxBytes) {
		return fault.New(fault.BodyTooLarge, "message from peer exceeds the size limit")
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// marshalParams encodes the parameters of a call. It rejects parameters above the
// limit, because the receiver closes the connection on a message that is too long.
func (c boundedCodec) marshalParams(params any) (json.RawMessage, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot encode message")
	}
	if len(data) > c.maxBytes-maxEnvelopeBytes {
		return nil, fault.New(fault.BodyTooLarge, "message to peer exceeds the size limit")
	}
	return data, nil
}

// maxEnvelopeBytes is the maximum overhead that JSON-RPC adds to the parameters.
const maxEnvelopeBytes = 256

// deadlineConn sets a deadline for each read and write. This ends connections to
// peers that do not read and connections that are idle.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
	idleTimeout  time.Duration
}

// writeError is the error of a failed write. Part of a message may have been sent, so the
// connection is unusable.
type writeError struct{ err error }

// Error implements error.
func (e *writeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.err }

// Write implements net.Conn with the write timeout. It extends the read deadline,
// since a connection with outgoing traffic is not idle.
func (c *deadlineConn) Write(b []byte) (int, error) {
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(c.writeTimeout)); err != nil {
		return 0, &writeError{err}
	}
	if err := c.SetReadDeadline(now.Add(c.idleTimeout)); err != nil {
		return 0, &writeError{err}
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, &writeError{err}
	}
	return n, nil
}

// Read implements net.Conn with the idle timeout.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// newStream returns a jsonrpc2 stream over conn.
func newStream(conn net.Conn, o Options) jsonrpc2.ObjectStream {
	timed := &deadlineConn{Conn: conn, writeTimeout: o.WriteTimeout, idleTimeout: o.IdleTimeout}
	var rwc io.ReadWriteCloser = timed
	return jsonrpc2.NewBufferedStream(rwc, boundedCodec{maxBytes: o.MaxMessage})
}

// rpcErrorCode is the JSON-RPC error code of all faults. The code of the fault is in
// the data of the error.
const rpcErrorCode = -32000

// encodeFault converts the error of a handler to a JSON-RPC error.
func encodeFault(err error) *jsonrpc2.Error {
	failure := fault.From(err)
	wire := &jsonrpc2.Error{Code: rpcErrorCode, Message: failure.Message}
	wire.SetError(failure.Response())
	return wire
}

// decodeFault converts a JSON-RPC error to the fault that the peer returned.
func decodeFault(wire *jsonrpc2.Error) error {
	var response fault.Response
	if wire.Data == nil || json.Unmarshal(*wire.Data, &response) != nil || response.Error.Code == "" {
		return fault.New(fault.PeerRejected, wire.Message)
	}
	return fault.FromResponse(response)
}
