package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// TransportSettings configures the limits of connections to upstreams.
type TransportSettings struct {
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration
	// DialContext establishes connections. If it is nil, they are direct.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnsPerUpstream is the maximum number of connections to one upstream.
	ConnsPerUpstream int
	// MaxHeaderBytes is the maximum size of the response headers.
	MaxHeaderBytes int64
}

// DefaultTransportSettings returns the settings for a local network.
func DefaultTransportSettings() TransportSettings {
	return TransportSettings{
		DialTimeout:      time.Second,
		ConnsPerUpstream: 512,
		MaxHeaderBytes:   64 << 10,
	}
}

// NewTransport returns the transport for calls to upstreams. It uses HTTP/1.1 and
// opens a new connection for every call. On a reused connection, a late duplicate of
// an earlier answer would be mistaken for the answer to the next call.
func NewTransport(settings TransportSettings) *http.Transport {
	dial := settings.DialContext
	if dial == nil {
		dial = netconn.BoundDialer(&net.Dialer{Timeout: settings.DialTimeout}).DialContext
	}
	// Each connection serves a single request.
	limited := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return netconn.LimitResponseHead(conn), nil
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            limited,
		Protocols:              protocols,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxConnsPerHost:        settings.ConnsPerUpstream,
		MaxResponseHeaderBytes: settings.MaxHeaderBytes,
	}
}

// NewOnceTransport returns the transport for calls that are not repeatable. It does
// not reuse connections, because http.Transport may replay a request when a reused
// connection fails.
func NewOnceTransport(settings TransportSettings) *http.Transport {
	return NewTransport(settings)
}
