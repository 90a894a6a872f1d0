package config

import (
	"net"
	"net/url"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Address returns the host and port at which the upstream accepts connections.
func (u Upstream) Address() (string, error) {
	parsed, err := url.Parse(u.URL)
	if err != nil {
		return "", fault.Wrap(fault.InvalidConfiguration, err, "malformed URL of an upstream")
	}
	if parsed.Port() != "" {
		return parsed.Host, nil
	}
	if parsed.Scheme == "https" {
		return net.JoinHostPort(parsed.Hostname(), "443"), nil
	}
	return net.JoinHostPort(parsed.Hostname(), "80"), nil
}
