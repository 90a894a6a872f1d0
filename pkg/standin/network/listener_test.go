package network

import (
	"io"
	"net"
	"testing"
)

func TestListenerReset(t *testing.T) {
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
		t.Errorf("read after Reset: %v, want a connection reset", err)
	}
	if _, err := listener.Accept(); err == nil {
		t.Error("Accept after Reset returned no error")
	}
}
