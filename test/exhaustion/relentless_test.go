package exhaustion

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// relentlessCrowdSize is the size of a crowd whose clients connect anew whenever their connection is closed.
const relentlessCrowdSize = 300

// siegeTime is how long such a crowd sends before an ordinary request is sent.
const siegeTime = 2 * time.Second

// besiege lets a crowd connect and send again and again. The returned function ends that.
func besiege(a abuse, e endpoint) (end func()) {
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for client := range relentlessCrowdSize {
		clients.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				if !sendOnce(a, e, client, ended) {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
	}
}

// sendOnce connects, sends and waits until the connection is closed, or until the crowd ends. It reports whether it
// was connected.
func sendOnce(a abuse, e endpoint, client int, ended <-chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", e.address, attemptTimeout)
	if err != nil {
		return false
	}
	closed := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() {
		select {
		case <-ended:
		case <-closed:
		}
		_ = conn.Close()
	})
	closing.Go(func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	})
	// An error means that the system has closed the connection.
	_ = a.send(conn, e, client)
	closing.Wait()
	return true
}

// relentless are what a crowd sends that takes the most time of the processor.
func relentless() []abuse {
	return append(stalling(), []abuse{
		{"body/chunks of one byte without end", 0, func(to io.Writer, e endpoint, client int) error {
			return endless(to, e.start(client)+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n")
		}},
		{"requests without waiting", 0, func(to io.Writer, e endpoint, client int) error {
			return endless(to, "", e.start(client)+"Content-Length: 0\r\n\r\n")
		}},
		{"unknown paths without waiting", 0, func(to io.Writer, e endpoint, client int) error {
			return endless(to, "", strings.Replace(e.start(client), e.target, "/none", 1)+"Content-Length: 0\r\n\r\n")
		}},
	}...)
}

// TestRelentlessCallersOfJoin lets a crowd that never gives up abuse the port for callers.
func TestRelentlessCallersOfJoin(t *testing.T) {
	for _, a := range relentless() {
		t.Run(a.name, func(t *testing.T) {
			f := startFleet(t, 1)
			callers := callersOf(f.instances[0])
			end := besiege(a, callers)
			time.Sleep(siegeTime)
			checkBeside(t, end, func() error { return ordinary(callers) }, f.instances...)
		})
	}
}
