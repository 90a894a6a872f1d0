// Package dispatch transports the events and actions of pools between the
// entries, which hold the requests, and the dispatchers, which decide when they
// start. It locates the dispatcher of a pool, fails over to another one, and
// rebuilds the state of a new dispatcher from the entries.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options configures a Dispatch.
type Options struct {
	// Self describes this instance.
	Self        types.Instance
	Incarnation types.Incarnation
	View        membership.View
	Caller      peer.Caller
	Store       *config.Store
	// NewPolicy returns an empty policy for the pool.
	NewPolicy func(types.PoolID) pool.Policy
	// Loads reads the load reports of upstreams. If nil, they are read over
	// HTTP.
	Loads    LoadReader
	Recorder timeline.Recorder
	Logger   zerolog.Logger
	Settings Settings
}

// Dispatch implements both sides of dispatching in one instance: the entry
// side, which implements Granter, and the dispatchers of the pools assigned to
// this instance. It is safe for concurrent use. Acquire works only while Run is
// running.
type Dispatch struct {
	options Options
	start   time.Time
	entry   *entrySide
	pools   *dispatcherSide
	// upstreamChart is the state chart of upstreams; chartErr is the error from
	// loading it.
	upstreamChart *statechart.Chart
	chartErr      error
	// random is seeded with the incarnation and guarded by randomMu.
	random   *rand.Rand
	randomMu sync.Mutex
	// ctx is cancelled when Run returns. It is the parent of the contexts of
	// all streams and dispatchers.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// spawnMu prevents spawn from adding to goroutines after Run has ended.
	spawnMu sync.Mutex
}

var _ Granter = (*Dispatch)(nil)

// New returns a Dispatch without streams or dispatchers.
func New(o Options) *Dispatch {
	o.Settings = o.Settings.withDefaults()
	if o.Loads == nil {
		o.Loads = NewHTTPLoadReader(nil)
	}
	d := &Dispatch{options: o, start: time.Now()}
	d.upstreamChart, d.chartErr = statechart.Load(chartUpstream)
	d.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(o.Incarnation)), 1))
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.entry = newEntrySide(d)
	d.pools = newDispatcherSide(d)
	return d
}

// Register registers the handlers for calls from peers.
func (d *Dispatch) Register(r peer.Registrar) {
	r.Handle(eventsMethod, d.pools.handleEvents)
	r.Handle(actionsMethod, d.entry.handleActions)
	r.Handle(probeMethod, d.pools.handleProbe)
	r.Handle(echoMethod, d.pools.handleEcho)
	r.Handle(summaryMethod, d.pools.handleSummary)
}

// Run applies changes of the membership view and of the configuration until ctx is
// done, then stops all streams and dispatchers. It returns an error only if the
// state chart of upstreams cannot be loaded.
func (d *Dispatch) Run(ctx context.Context) error {
	if d.chartErr != nil {
		return d.chartErr
	}
	defer d.goroutines.Wait()
	defer d.stop()
	ticker := time.NewTicker(d.options.Settings.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		viewChanged := d.options.View.Changed()
		configChanged := d.options.Store.Changed()
		d.entry.reselectAll()
		d.pools.configure()
		select {
		case <-ctx.Done():
			return nil
		case <-viewChanged:
		case <-configChanged:
		case <-ticker.C:
			d.entry.tick()
			d.pools.tick()
		}
	}
}

// Drain hands the pools dispatched by this instance over to other instances. It
// returns when no other instance has a stream to this one, or when ctx is done.
// Acquire continues to work.
func (d *Dispatch) Drain(ctx context.Context) {
	d.pools.drain(ctx)
}

// spawn runs work in a goroutine whose context is cancelled when Run returns.
// It does nothing after Run has ended.
func (d *Dispatch) spawn(work func(ctx context.Context)) {
	d.spawnMu.Lock()
	defer d.spawnMu.Unlock()
	if d.ctx.Err() == nil {
		d.goroutines.Go(func() { work(d.ctx) })
	}
}

// stop cancels the context of all goroutines.
func (d *Dispatch) stop() {
	d.spawnMu.Lock()
	defer d.spawnMu.Unlock()
	d.cancel()
}

// randomFloat returns a random number in [0, 1).
func (d *Dispatch) randomFloat() float64 {
	d.randomMu.Lock()
	defer d.randomMu.Unlock()
	return d.random.Float64()
}

// record sends an event to the time line, if a recorder is set.
func (d *Dispatch) record(event timeline.Event) {
	if d.options.Recorder != nil {
		d.options.Recorder.Record(event)
	}
}

// send sends a batch to the instance at the address.
func (d *Dispatch) send(ctx context.Context, address, method string, batch any) error {
	packed, err := peer.Pack(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Settings.SendTimeout)
	defer cancel()
	return d.options.Caller.Notify(ctx, address, method, packed)
}

// identity returns the identity of this instance in calls to peers.
func (d *Dispatch) identity() peer.Identity {
	return peer.Identity{
		Instance:    d.options.Self.ID,
		Incarnation: d.options.Incarnation,
		DataCentre:  d.options.Self.DataCentre,
	}
}
