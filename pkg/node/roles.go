package node

import (
	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/entry"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/platform"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/relay"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// buildRoles makes the roles and registers their peer methods.
func (n *Node) buildRoles() error {
	row := n.settings.Row()
	source := platform.NewClient(n.settings.PlatformURL, nil)
	n.dialer = peer.NewDialer(n.peerOptions(n.settings.PeerAddress))
	n.members = membership.New(membership.Options{
		Self:        row,
		Incarnation: n.incarnation,
		Source:      source,
		Caller:      n.dialer,
		Recorder:    n.ring,
		Logger:      n.logger,
	})
	n.relay = relay.New(relay.Options{
		Settings: relay.DefaultSettings(),
		Source:   source,
		Caller:   n.dialer,
		View:     n.members,
		Store:    n.store,
		Recorder: n.ring,
		Logger:   n.logger,
	})
	n.dispatch = dispatch.New(dispatch.Options{
		Self:        row,
		Incarnation: n.incarnation,
		View:        n.members,
		Caller:      n.dialer,
		Store:       n.store,
		NewPolicy:   newPolicy,
		Recorder:    n.ring,
		Logger:      n.logger,
	})
	if err := n.buildEntry(row); err != nil {
		return err
	}
	n.register(n.peers)
	return nil
}

// newPolicy returns an empty policy for a pool.
func newPolicy(types.PoolID) pool.Policy {
	return pool.New(pool.DefaultSettings())
}

// buildEntry makes the entry and the directory that it shows to callers.
func (n *Node) buildEntry(row types.Instance) error {
	settings := entry.DefaultSettings()
	settings.MaxBodyBytes = n.settings.MaxBodyBytes
	settings.MaxRequests = n.settings.MaxRequests
	n.directory = directory.New(directory.Options{
		View:        n.members,
		Self:        row,
		Incarnation: n.incarnation,
		Windows:     newWindowClock(settings.Idempotency.Windows),
		Settings:    directory.Settings{Lifetime: n.settings.AddressLifetime},
	})
	transport := upstream.DefaultTransportSettings()
	built, err := entry.New(entry.Options{
		Self:          row,
		Incarnation:   n.incarnation,
		Store:         storeView{n.store},
		Granter:       n.dispatch,
		View:          n.members,
		Recorder:      n.ring,
		Logger:        n.logger,
		Transport:     upstream.NewTransport(transport),
		OnceTransport: upstream.NewOnceTransport(transport),
		Addresses:     func() any { return n.directory.Answer() },
		Settings:      settings,
	})
	n.entry = built
	return err
}

// register adds the peer methods of every role.
func (n *Node) register(registrar peer.Registrar) {
	n.members.Register(registrar)
	n.relay.Register(registrar)
	n.dispatch.Register(registrar)
	n.entry.Register(registrar)
}
