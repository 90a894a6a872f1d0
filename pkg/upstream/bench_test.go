package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkCall measures one small call over loopback, with a new connection for
// each call and with keep-alive connections.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	transports := map[string]*http.Transport{"fresh": NewTransport(DefaultTransportSettings()), "kept": keepAliveTransport()}
	for name, transport := range transports {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			defer transport.CloseIdleConnections()
			for b.Loop() {
				response, err := Do(context.Background(), transport, newKeyedCall(server.URL, "x", false))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
