package peer

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"
)

// Defaults for Options.
const (
	// DefaultMaxMessage is the maximum size of a message in bytes.
	DefaultMaxMessage = 2 << 20
	// DefaultMaxConnections is the maximum number of connections to a Server.
	DefaultMaxConnections = 1024
	// DefaultCallTimeout is the timeout for a call without a context deadline.
	DefaultCallTimeout = 5 * time.Second
	// DefaultDialTimeout is the timeout for connecting and authenticating.
	DefaultDialTimeout = time.Second
	// DefaultWriteTimeout is the timeout for one write, which applies when the
	// peer does not read.
	DefaultWriteTimeout = 2 * time.Second
	// DefaultIdleTimeout is the time after which a connection without traffic is
	// closed.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultRedialBackoff is how long calls fail immediately after a failed dial.
	DefaultRedialBackoff = 100 * time.Millisecond
)

// Options configures a Server or a Dialer. For limits and timeouts, zero means the
// default.
type Options struct {
	// Identity identifies this instance to its peers.
	Identity Identity
	// Secret is the secret shared by all instances.
	Secret string
	// Address is the host:port at which a Server listens.
	Address string
	Logger  zerolog.Logger
	// Meter counts the traffic. If nil, it is counted only in the process metrics.
	Meter *Meter

	MaxMessage     int
	MaxConnections int
	CallTimeout    time.Duration
	DialTimeout    time.Duration
	WriteTimeout   time.Duration
	IdleTimeout    time.Duration
	RedialBackoff  time.Duration
}

// withDefaults returns a copy with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.MaxMessage = cmp.Or(o.MaxMessage, DefaultMaxMessage)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.RedialBackoff = cmp.Or(o.RedialBackoff, DefaultRedialBackoff)
	if o.Meter == nil {
		o.Meter = &Meter{}
	}
	return o
}
