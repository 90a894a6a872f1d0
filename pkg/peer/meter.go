package peer

import (
	"expvar"
	"net"
	"sync/atomic"
)

// Meter counts the traffic of the connections of a Server or Dialer, below TLS. It
// is safe for concurrent use.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
	writes   atomic.Int64
	dials    atomic.Int64
}

// Traffic is a snapshot of the counters of a Meter.
type Traffic struct {
	// BytesSent and BytesReceived are bytes of TCP payload.
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
	// Writes counts the writes to sockets. Each write sends at least one TCP segment.
	Writes int64 `json:"writes"`
	// Dials counts the outgoing connections that were opened.
	Dials int64 `json:"dials"`
}

// Traffic returns the current counters.
func (m *Meter) Traffic() Traffic {
	return Traffic{
		BytesSent:     m.sent.Load(),
		BytesReceived: m.received.Load(),
		Writes:        m.writes.Load(),
		Dials:         m.dials.Load(),
	}
}

// processMeter counts the traffic of all Servers and Dialers in the process.
var processMeter Meter

func init() {
	expvar.Publish("peer_traffic", expvar.Func(func() any { return processMeter.Traffic() }))
}

// meteredConn counts the traffic of one connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	processMeter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	c.meter.writes.Add(1)
	processMeter.sent.Add(int64(n))
	processMeter.writes.Add(1)
	return n, err
}
