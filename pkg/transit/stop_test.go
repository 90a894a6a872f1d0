package transit

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
)

// TestStopSparesEndOfCarriedResponse guards against responses that are cut off because their connection counts as ended
// before its end has been sent.
func TestStopSparesEndOfCarriedResponse(t *testing.T) {
	response := bytes.Repeat([]byte("response "), 1000)
	for range 20 {
		f := newFleet(t)
		answer := make(chan struct{})
		helper := f.add("helper", "x", serving(t, func(conn *net.TCPConn) {
			defer conn.Close()
			<-answer
			_, _ = conn.Write(response)
		}))
		conn, err := f.add("cut", "x", refusing(t)).connect(t)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for helper.Carried() > 0 {
				runtime.Gosched()
			}
			f.cancel["helper"]()
		}()
		close(answer)
		if got, err := io.ReadAll(conn); err != nil || !bytes.Equal(got, response) {
			t.Fatalf("received %d of %d bytes and %v", len(got), len(response), err)
		}
	}
}
