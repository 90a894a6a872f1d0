package exchange

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// arrivedTimeout is how long a read that is interrupted waits for bytes that have arrived
// already, as after a pause of this process.
const arrivedTimeout = time.Millisecond

// Alarm lets the goroutine that waits for a response act while the upstream is silent,
// without a second goroutine that shares its state. It rings in that goroutine, inside a
// read from the connection, at the time that Set sets or after Wake.
type Alarm struct {
	ring func() error

	mu    sync.Mutex
	conn  net.Conn
	at    time.Time
	woken bool
}

// NewAlarm returns an Alarm that calls ring. If ring returns an error, reading the
// response fails with it; otherwise the read goes on.
func NewAlarm(ring func() error) *Alarm { return &Alarm{ring: ring} }

// Set sets the time of the next ring. The zero time means that there is none unless Wake
// is called.
func (a *Alarm) Set(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at.IsZero() && at.IsZero() {
		return
	}
	a.at = at
	a.apply()
}

// Wake makes the alarm ring as soon as the goroutine waits for the response. It may be
// called by any goroutine.
func (a *Alarm) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.woken = true
	a.apply()
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// apply sets the read deadline of the connection. a.mu must be held.
func (a *Alarm) apply() {
	if a.conn == nil {
		return
	}
	deadline := a.at
	if a.woken {
		deadline = past
	}
	// An error means that the connection is closed, which reads report.
	_ = a.conn.SetReadDeadline(deadline)
}

// watch returns the connection with reads during which the alarm rings. Without an alarm
// it returns the connection itself.
func (a *Alarm) watch(conn net.Conn) net.Conn {
	if a == nil {
		return conn
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.apply()
	return alarmedConn{Conn: conn, alarm: a}
}

// fire resets the alarm and calls ring.
func (a *Alarm) fire() error {
	a.mu.Lock()
	a.woken, a.at = false, time.Time{}
	a.apply()
	a.mu.Unlock()
	return a.ring()
}

// alarmedConn is a connection whose reads are interrupted by an Alarm.
type alarmedConn struct {
	net.Conn
	alarm *Alarm
}

// Read implements net.Conn.
func (c alarmedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if isTimeout(n, err) {
			n, err = c.readArrived(b)
		}
		if !isTimeout(n, err) {
			return n, err
		}
		if err := c.alarm.fire(); err != nil {
			return 0, err
		}
	}
}

// readArrived reads bytes that have arrived although the alarm is due.
func (c alarmedConn) readArrived(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(arrivedTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.alarm.mu.Lock()
	defer c.alarm.mu.Unlock()
	c.alarm.apply()
	return n, err
}

func isTimeout(n int, err error) bool { return n == 0 && errors.Is(err, os.ErrDeadlineExceeded) }
