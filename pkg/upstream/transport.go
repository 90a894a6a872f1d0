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
	// IdleTimeout closes a kept connection that is not used.
	IdleTimeout time.Duration
	// ConnsPerUpstream bounds the connections to one upstream.
	ConnsPerUpstream int
	// MaxHeaderBytes bounds the headers of a response.
	MaxHeaderBytes int64
}

// DefaultTransportSettings returns the settings for a local network.
func DefaultTransportSettings() TransportSettings {
	return TransportSettings{
		DialTimeout:      time.Second,
		IdleTimeout:      30 * time.Second,
		ConnsPerUpstream: 512,
		MaxHeaderBytes:   64 << 10,
	}
}

// NewTransport returns the transport for repeatable calls. It keeps connections
// and speaks HTTP/1.1 only, so that one connection carries one call.
func NewTransport(settings TransportSettings) *http.Transport {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialer.DialContext,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        settings.IdleTimeout,
		MaxConnsPerHost:        settings.ConnsPerUpstream,
		MaxIdleConnsPerHost:    settings.ConnsPerUpstream,
		MaxResponseHeaderBytes: settings.MaxHeaderBytes,
	}
}

// NewOnceTransport returns the transport for calls that are not repeatable. It
// makes a fresh connection for every call, because http.Transport replays
// requests on reused ones.
func NewOnceTransport(settings TransportSettings) *http.Transport {
	transport := NewTransport(settings)
	transport.DisableKeepAlives = true
	return transport
}
