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

// Options configure Dispatch.
type Options struct {
	// Self is this instance's own row.
	Self        types.Instance
	Incarnation types.Incarnation
	View        membership.View
	Caller      peer.Caller
	Store       *config.Store
	// NewPolicy returns an empty policy for the pool.
	NewPolicy func(types.PoolID) pool.Policy
	// Loads reads the load reports of upstreams. Nil means HTTP.
	Loads    LoadReader
	Recorder timeline.Recorder
	Logger   zerolog.Logger
	Settings Settings
}

// Dispatch is both sides of dispatching in one instance: the entry side, which
// implements Granter, and the dispatchers of the pools that fall to this
// instance. It is safe for concurrent use. Acquire works while Run runs.
type Dispatch struct {
	options Options
	start   time.Time
	entry   *entrySide
	pools   *dispatcherSide
	// upstreamChart is the life cycle of upstreams; invalid says why there is
	// none.
	upstreamChart *statechart.Chart
	invalid       error
	// random is seeded by the incarnation and guarded by drawing.
	random  *rand.Rand
	drawing sync.Mutex
	// ctx ends with Run; goroutines of streams and dispatchers belong to it.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// ending guards workers against additions after Run has ended.
	ending sync.Mutex
}

var _ Granter = (*Dispatch)(nil)

// New returns a Dispatch without streams or dispatchers.
func New(o Options) *Dispatch {
	o.Settings = o.Settings.withDefaults()
	if o.Loads == nil {
		o.Loads = newHTTPLoads()
	}
	d := &Dispatch{options: o, start: time.Now()}
	d.upstreamChart, d.invalid = statechart.Load(chartUpstream)
	d.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(o.Incarnation)), 1))
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.entry = newEntrySide(d)
	d.pools = newDispatcherSide(d)
	return d
}

// Register adds the methods that peers call.
func (d *Dispatch) Register(r peer.Registrar) {
	r.Handle(eventsMethod, d.pools.handleEvents)
	r.Handle(actionsMethod, d.entry.handleActions)
	r.Handle(probeMethod, d.pools.handleProbe)
	r.Handle(echoMethod, d.pools.handleEcho)
	r.Handle(summaryMethod, d.pools.handleSummary)
}

// Run follows the view and the configuration until ctx ends, then ends all
// streams and dispatchers. It returns a failure only when the life cycle of
// upstreams cannot be loaded.
func (d *Dispatch) Run(ctx context.Context) error {
	if d.invalid != nil {
		return d.invalid
	}
	defer d.workers.Wait()
	defer d.end()
	ticker := time.NewTicker(d.options.Settings.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		viewed := d.options.View.Changed()
		configured := d.options.Store.Changed()
		d.entry.follow()
		d.pools.configure()
		select {
		case <-ctx.Done():
			return nil
		case <-viewed:
		case <-configured:
		case <-ticker.C:
			d.entry.tick()
			d.pools.tick()
		}
	}
}

// Drain hands the pools of this instance's dispatchers to the next ones. It
// returns when no entry has a stream here any more or ctx ends. Acquire goes on
// to work.
func (d *Dispatch) Drain(ctx context.Context) {
	d.pools.drain(ctx)
}

// spawn runs work that ends with Run, unless Run has ended.
func (d *Dispatch) spawn(work func(ctx context.Context)) {
	d.ending.Lock()
	defer d.ending.Unlock()
	if d.ctx.Err() == nil {
		d.workers.Go(func() { work(d.ctx) })
	}
}

// end stops the workers.
func (d *Dispatch) end() {
	d.ending.Lock()
	defer d.ending.Unlock()
	d.cancel()
}

// draw returns a random number from zero to one.
func (d *Dispatch) draw() float64 {
	d.drawing.Lock()
	defer d.drawing.Unlock()
	return d.random.Float64()
}

// record sends an event to the time line, if there is one.
func (d *Dispatch) record(event timeline.Event) {
	if d.options.Recorder != nil {
		d.options.Recorder.Record(event)
	}
}

// send delivers a batch to the instance at the address.
func (d *Dispatch) send(ctx context.Context, address, method string, batch any) error {
	packed, err := peer.Pack(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Settings.SendTimeout)
	defer cancel()
	return d.options.Caller.Notify(ctx, address, method, packed)
}

// identity is what this instance presents to peers.
func (d *Dispatch) identity() peer.Identity {
	return peer.Identity{
		Instance:    d.options.Self.ID,
		Incarnation: d.options.Incarnation,
		DataCentre:  d.options.Self.DataCentre,
	}
}
