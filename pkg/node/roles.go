package node

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/entry"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/relay"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// Dependencies are a node's ways to everything outside it. Tests put fakes here.
type Dependencies struct {
	// Source reads the configuration service.
	Source configservice.Source
	// Caller sends messages to other instances.
	Caller peer.Caller
	// Registrar takes the methods that other instances call.
	Registrar peer.Registrar
	// Transport carries upstream calls that may be repeated.
	Transport http.RoundTripper
	// OnceTransport carries upstream calls that are not repeatable.
	OnceTransport http.RoundTripper
	// Loads reads the load reports of upstreams; nil means HTTP.
	Loads dispatch.LoadReader
}

// Roles are the roles of one instance, without its listeners. Their life is
// NewRoles, Run, and Leave before the context of Run ends.
type Roles struct {
	settings    Settings
	incarnation types.Incarnation
	logger      zerolog.Logger
	recorder    timeline.Recorder
	store       *config.Store
	members     *membership.Members
	relay       *relay.Relay
	dispatch    *dispatch.Dispatch
	entry       *entry.Entry
	directory   *directory.Directory
}

// NewRoles builds the roles of one incarnation and registers their peer
// methods. Failures are of code Internal.
func NewRoles(settings Settings, incarnation types.Incarnation, connections Dependencies,
	recorder timeline.Recorder, logger zerolog.Logger) (*Roles, error) {
	r := &Roles{
		settings:    settings,
		incarnation: incarnation,
		logger:      logger,
		recorder:    recorder,
		store:       config.NewStore(),
	}
	r.buildFleet(connections)
	r.buildDispatch(connections)
	if err := r.buildEntry(connections); err != nil {
		return nil, err
	}
	r.register(connections.Registrar)
	return r, nil
}

// buildFleet makes the membership and the relay.
func (r *Roles) buildFleet(connections Dependencies) {
	r.members = membership.New(membership.Options{
		Self:        r.settings.Self(),
		Incarnation: r.incarnation,
		Source:      connections.Source,
		Caller:      connections.Caller,
		Recorder:    r.recorder,
		Logger:      r.logger,
	})
	r.relay = relay.New(relay.Options{
		Settings: relay.DefaultSettings(),
		Source:   connections.Source,
		Caller:   connections.Caller,
		View:     r.members,
		Store:    r.store,
		Recorder: r.recorder,
		Logger:   r.logger,
	})
}

// buildDispatch makes both sides of dispatching.
func (r *Roles) buildDispatch(connections Dependencies) {
	r.dispatch = dispatch.New(dispatch.Options{
		Self:        r.settings.Self(),
		Incarnation: r.incarnation,
		View:        r.members,
		Caller:      connections.Caller,
		Store:       r.store,
		NewPolicy:   newPolicy,
		Loads:       connections.Loads,
		Recorder:    r.recorder,
		Logger:      r.logger,
	})
}

// newPolicy returns an empty policy for a pool.
func newPolicy(types.PoolID) pool.Policy {
	return pool.New(pool.DefaultSettings())
}

// buildEntry makes the entry and the directory that it shows to callers.
func (r *Roles) buildEntry(connections Dependencies) error {
	settings := entry.DefaultSettings()
	settings.MaxBodyBytes = r.settings.MaxBodyBytes
	settings.MaxRequests = r.settings.MaxRequests
	r.directory = directory.New(directory.Options{
		View:        r.members,
		Self:        r.settings.Self(),
		Incarnation: r.incarnation,
		Caller:      connections.Caller,
		Windows:     newWindowClock(settings.Idempotency.Windows),
		Settings:    directory.Settings{Lifetime: r.settings.AddressLifetime},
	})
	built, err := entry.New(entry.Options{
		Self:          r.settings.Self(),
		Incarnation:   r.incarnation,
		Store:         r.store,
		Granter:       r.dispatch,
		Caller:        connections.Caller,
		View:          r.members,
		Recorder:      r.recorder,
		Logger:        r.logger,
		Transport:     connections.Transport,
		OnceTransport: connections.OnceTransport,
		Addresses:     func() any { return r.directory.Answer() },
		Settings:      settings,
	})
	r.entry = built
	return err
}

// register adds the peer methods of every role.
func (r *Roles) register(registrar peer.Registrar) {
	r.members.Register(registrar)
	r.relay.Register(registrar)
	r.dispatch.Register(registrar)
	r.directory.Register(registrar)
	r.entry.Register(registrar)
}

// Run carries out the background work of every role until ctx ends or a role
// fails.
func (r *Roles) Run(ctx context.Context) error {
	group, running := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		r.members.Run, r.relay.Run, r.dispatch.Run, r.directory.Run, r.entry.Run,
	} {
		group.Go(func() error { return ended(ctx, run(running)) })
	}
	return group.Wait()
}

// Leave ends the service of callers in the order that cuts no request: others
// learn first, callers that keep the address are served for its lifetime, and
// then the requests in flight end. It returns when they have, or when ctx ends.
func (r *Roles) Leave(ctx context.Context) {
	r.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	r.logger.Info().Msg("leaving")
	r.members.Leave(ctx)
	r.dispatch.Drain(ctx)
	wait.For(ctx, r.settings.AddressLifetime+r.settings.DirectoryOverlap)
	if err := r.entry.Drain(ctx); err != nil {
		r.logger.Warn().Err(err).Msg("requests in flight did not end in time")
	}
}

// Handler returns the HTTP handler of the caller API.
func (r *Roles) Handler() http.Handler { return r.entry.Handler() }

// Ready is closed when a configuration is in force and callers may be served.
func (r *Roles) Ready() <-chan struct{} { return r.relay.Ready() }

// ended drops the failure of a role that was told to end.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
