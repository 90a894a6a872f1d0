package upstream

import (
	"net"
	"net/http"
	"time"
)

// TransportSettings bounds the connections to upstreams.
type TransportSettings struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// ConnsPerUpstream bounds the connections to one upstream.
	ConnsPerUpstream int
	// MaxHeaderBytes bounds the headers of a response.
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

// NewTransport returns the transport for calls to upstreams. It speaks HTTP/1.1
// and makes a connection for every call: on a used one, a late duplicate of an
// earlier answer would be taken for the answer to the next call.
func NewTransport(settings TransportSettings) *http.Transport {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialer.DialContext,
		Protocols:              protocols,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxConnsPerHost:        settings.ConnsPerUpstream,
		MaxResponseHeaderBytes: settings.MaxHeaderBytes,
	}
}

// NewOnceTransport returns the transport for calls that are not repeatable.
// http.Transport replays requests on used connections, which it has none of.
func NewOnceTransport(settings TransportSettings) *http.Transport {
	return NewTransport(settings)
}
