package peer

import (
	"expvar"
	"net"
	"sync/atomic"
)

// Meter counts what the connections of a Server or Dialer carry, below TLS. It
// is safe for concurrent use.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
	writes   atomic.Int64
	dials    atomic.Int64
}

// Traffic is a reading of a Meter.
type Traffic struct {
	// BytesSent and BytesReceived are bytes of TCP payload.
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
	// Writes counts the writes to sockets, each of which is a segment or more.
	Writes int64 `json:"writes"`
	// Dials counts the connections opened.
	Dials int64 `json:"dials"`
}

// Traffic returns the counts so far.
func (m *Meter) Traffic() Traffic {
	return Traffic{
		BytesSent:     m.sent.Load(),
		BytesReceived: m.received.Load(),
		Writes:        m.writes.Load(),
		Dials:         m.dials.Load(),
	}
}

// process counts the traffic of all Servers and Dialers of the process.
var process Meter

func init() {
	expvar.Publish("peer_traffic", expvar.Func(func() any { return process.Traffic() }))
}

// meteredConn counts the bytes of one connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	process.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	c.meter.writes.Add(1)
	process.sent.Add(int64(n))
	process.writes.Add(1)
	return n, err
}
