package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// exchangeWith sends a request to an upstream that responds as given, and reads the
// response.
func exchangeWith(t *testing.T, alarm *Alarm, respond func(conn net.Conn)) (string, error) {
	t.Helper()
	address := httpfakes.ListenRaw(t, func(conn net.Conn, _ *http.Request, _ []byte) { respond(conn) })
	response, err := Do(t.Context(), &Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", DialTimeout: time.Minute, Alarm: alarm})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const alarmHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

func TestAlarmRingsWhileUpstreamIsSilent(t *testing.T) {
	rung := make(chan struct{}, 2)
	alarm := NewAlarm(func() error {
		rung <- struct{}{}
		return nil
	})
	alarm.Set(time.Now().Add(time.Millisecond))
	body, err := exchangeWith(t, alarm, func(conn net.Conn) {
		<-rung
		_, _ = io.WriteString(conn, alarmHead+"ab")
		alarm.Wake()
		<-rung
		_, _ = io.WriteString(conn, "cd")
	})
	if err != nil || body != "abcd" {
		t.Errorf("got %q, %v", body, err)
	}
}

func TestAlarmEndsExchange(t *testing.T) {
	cause := errors.New("enough")
	alarm := NewAlarm(func() error { return cause })
	alarm.Wake()
	done := make(chan struct{})
	defer close(done)
	if _, err := exchangeWith(t, alarm, func(net.Conn) { <-done }); !errors.Is(err, cause) {
		t.Errorf("got %v", err)
	}
}

// arrivedConn is a connection whose bytes have arrived, but whose reads time out once the
// deadline has passed, as those of net.TCPConn do.
type arrivedConn struct {
	net.Conn
	reader   io.Reader
	deadline time.Time
}

func (c *arrivedConn) SetReadDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *arrivedConn) Read(b []byte) (int, error) {
	if !c.deadline.IsZero() && time.Now().After(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.reader.Read(b)
}

func TestAlarmDoesNotRingIfBytesHaveArrived(t *testing.T) {
	rang := false
	alarm := NewAlarm(func() error { rang = true; return io.ErrUnexpectedEOF })
	conn := alarm.watch(&arrivedConn{reader: strings.NewReader("ab")})
	alarm.Set(time.Now().Add(-time.Second))
	if body, err := io.ReadAll(conn); err != nil || string(body) != "ab" || rang {
		t.Errorf("got %q, %v, rang: %v", body, err, rang)
	}
}
