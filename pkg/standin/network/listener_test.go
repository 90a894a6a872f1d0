package network

import (
	"io"
	"net"
	"testing"
)

func TestResetBreaksOpenConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := Wrap(inner)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := listener.Accept(); err != nil {
		t.Fatal(err)
	}
	listener.Reset()
	if _, err := client.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("read after reset: %v, want a reset", err)
	}
	if _, err := listener.Accept(); err == nil {
		t.Error("accept after reset must fail")
	}
}
