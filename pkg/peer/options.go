package peer

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of the Options.
const (
	// DefaultMaxMessage bounds one message, in bytes.
	DefaultMaxMessage = 2 << 20
	// DefaultMaxConnections bounds the connections that a server accepts.
	DefaultMaxConnections = 1024
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 5 * time.Second
	// DefaultDialTimeout bounds connecting and authenticating.
	DefaultDialTimeout = time.Second
	// DefaultWriteTimeout bounds one write to a peer that does not read.
	DefaultWriteTimeout = 2 * time.Second
	// DefaultIdleTimeout closes a connection over which nothing came or went.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultRedialBackoff is how long calls fail at once after a failed dial.
	DefaultRedialBackoff = 100 * time.Millisecond
)

// Options configure a Server or a Dialer. Zero values of the limits and
// timeouts mean the defaults.
type Options struct {
	// Identity is what this instance presents to its peers.
	Identity Identity
	// Secret is shared by all instances; both ends must hold it.
	Secret string
	// Address is the host:port at which a Server listens.
	Address string
	Logger  zerolog.Logger
	// Meter counts the traffic. Nil means that only the process's metrics do.
	Meter *Meter

	MaxMessage     int
	MaxConnections int
	CallTimeout    time.Duration
	DialTimeout    time.Duration
	WriteTimeout   time.Duration
	IdleTimeout    time.Duration
	RedialBackoff  time.Duration
}

// withDefaults returns a copy in which zero limits are replaced.
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
