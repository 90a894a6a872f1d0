package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/transit"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// maxSilence is the time without a response after which an upstream counts as not reached.
// An engine may queue a request for some seconds before its first token.
const maxSilence = 10 * time.Second

// paths connects the roles of an instance to the configured upstreams, directly or through a
// peer.
type paths struct {
	store   *config.Store
	transit *transit.Transit
	// dial connects to an address that is not that of a configured upstream.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// snapshot is the configuration that byAddress was built from.
	snapshot  *config.Snapshot
	byAddress map[string]transit.Destination
}

// newPaths returns the paths of the instance self over the given connections to upstreams and to
// the live peers.
func newPaths(self types.Instance, store *config.Store, live func() []types.Instance, late func() time.Duration, dependencies Dependencies, logger zerolog.Logger) *paths {
	p := &paths{store: store, dial: dependencies.Dial}
	if p.dial == nil {
		p.dial = netconn.BoundDialer(netconn.Dialer(upstream.DefaultTransportSettings().DialTimeout)).DialContext
	}
	p.transit = transit.New(transit.Options{
		Instance:    self.ID,
		DataCentre:  self.DataCentre,
		Upstreams:   p,
		Transport:   dependencies.Streams,
		Dial:        dependencies.Dial,
		DialTimeout: upstream.DefaultTransportSettings().DialTimeout,
		Clock:       dependencies.clock(),
		Memory:      dependencies.Intake,
		Late:        late,
		Logger:      logger,
		Peers: func() []reach.Peer {
			var peers []reach.Peer
			for _, instance := range live() {
				if instance.ID != self.ID {
					peers = append(peers, reach.Peer{ID: instance.ID, Address: instance.PeerAddress, DataCentre: instance.DataCentre})
				}
			}
			return peers
		},
	})
	return p
}

// Upstreams implements transit.Upstreams.
func (p *paths) Upstreams(target types.TargetName) []transit.Destination {
	snapshot := p.store.Current()
	if snapshot == nil {
		return nil
	}
	var list []transit.Destination
	for _, pool := range snapshot.Pools(target) {
		for _, configured := range snapshot.PoolUpstreams(pool) {
			if to, ok := destinationOf(configured); ok {
				list = append(list, to)
			}
		}
	}
	return list
}

// Upstream implements transit.Upstreams.
func (p *paths) Upstream(id types.UpstreamID) (transit.Destination, bool) {
	snapshot := p.store.Current()
	if snapshot == nil {
		return transit.Destination{}, false
	}
	configured, ok := snapshot.Upstream(id)
	if !ok {
		return transit.Destination{}, false
	}
	return destinationOf(configured)
}

func destinationOf(configured config.Upstream) (transit.Destination, bool) {
	address, err := configured.Address()
	return transit.Destination{Target: configured.Target, Upstream: configured.ID, Address: address}, err == nil
}

// at returns the configured upstream at an address.
func (p *paths) at(address string) (transit.Destination, bool) {
	snapshot := p.store.Current()
	if snapshot == nil {
		return transit.Destination{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != snapshot {
		p.snapshot, p.byAddress = snapshot, make(map[string]transit.Destination)
		for _, target := range snapshot.Targets() {
			for _, to := range p.Upstreams(target.Name) {
				p.byAddress[to.Address] = to
			}
		}
	}
	to, ok := p.byAddress[address]
	return to, ok
}

// dialer returns the function that connects to upstreams for requests that may, or may not,
// run more than once.
func (p *paths) dialer(repeatable bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, ok := p.at(address)
		if !ok {
			return p.dial(ctx, network, address)
		}
		conn, err := p.transit.Dial(ctx, to, transit.Request{Repeatable: repeatable, Silence: maxSilence})
		if err != nil {
			return nil, err
		}
		return transit.Recording(conn), nil
	}
}

// probe returns nil if this instance or a peer can connect to the address of an upstream.
func (p *paths) probe(_ context.Context, address string) error {
	to, ok := p.at(address)
	if !ok {
		to = transit.Destination{Address: address}
	}
	return p.transit.Probe(to, "", quarantine.ProbeTimeout)
}
