package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// dispatcherSide holds the dispatchers of the pools assigned to this instance.
// A dispatcher starts when the first entry opens a stream to it.
type dispatcherSide struct {
	dispatch *Dispatch

	mu       sync.Mutex
	pools    map[types.PoolID]*poolDispatcher
	draining bool
}

func newDispatcherSide(d *Dispatch) *dispatcherSide {
	return &dispatcherSide{dispatch: d, pools: map[types.PoolID]*poolDispatcher{}}
}

// handleEvents handles a batch of events from an entry.
func (ds *dispatcherSide) handleEvents(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var batch eventBatch
	if err := peer.Unpack(params, &batch); err != nil {
		return nil, err
	}
	ds.receive(from, batch)
	return nil, nil
}

// receive applies a batch of events from an entry.
func (ds *dispatcherSide) receive(from peer.Identity, batch eventBatch) {
	for {
		p, ok := ds.dispatcher(batch)
		if !ok {
			ds.replyUnknown(from, batch)
			return
		}
		if p.receive(from, batch) {
			return
		}
		ds.removeDispatcher(p)
	}
}

// removeDispatcher removes a dispatcher that has ended.
func (ds *dispatcherSide) removeDispatcher(p *poolDispatcher) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.pools[p.pool] == p {
		delete(ds.pools, p.pool)
	}
}

// dispatcher returns the dispatcher of the batch's pool. A batch that opens a
// stream starts the dispatcher if there is none.
func (ds *dispatcherSide) dispatcher(batch eventBatch) (*poolDispatcher, bool) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	p, ok := ds.pools[batch.Pool]
	if !ok && batch.Reset {
		p = newPoolDispatcher(ds.dispatch, batch.Pool)
		ds.pools[batch.Pool] = p
		ds.dispatch.spawn(p.run)
		ok = true
	}
	return p, ok
}

// replyUnknown informs the entry that its stream does not exist here.
func (ds *dispatcherSide) replyUnknown(from peer.Identity, batch eventBatch) {
	if batch.Close {
		return
	}
	address, ok := ds.addressOf(from, batch)
	if !ok {
		return
	}
	reply := actionBatch{Pool: batch.Pool, Epoch: batch.Epoch, Unknown: true}
	ds.dispatch.spawn(func(ctx context.Context) { ds.deliver(ctx, from.Instance, address, reply) })
}

// addressOf returns the peer address of the sender of a batch.
func (ds *dispatcherSide) addressOf(from peer.Identity, batch eventBatch) (string, bool) {
	if batch.ReplyTo != "" {
		return batch.ReplyTo, true
	}
	if instance, ok := ds.dispatch.options.View.Instance(from.Incarnation); ok {
		return instance.PeerAddress, true
	}
	return "", false
}

// deliver sends actions to an entry on this or another instance. Send errors
// are only logged, because the entry detects lost batches by their sequence
// numbers.
func (ds *dispatcherSide) deliver(ctx context.Context, to types.InstanceID, address string, batch actionBatch) {
	if to == ds.dispatch.options.Self.ID {
		ds.dispatch.entry.receive(ds.dispatch.identity(), batch)
		return
	}
	if err := ds.dispatch.send(ctx, address, actionsMethod, batch); err != nil {
		ds.dispatch.options.Logger.Debug().Err(err).Str("entry", string(to)).Msg("actions not delivered")
	}
}

// all returns the running dispatchers.
func (ds *dispatcherSide) all() []*poolDispatcher {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	pools := make([]*poolDispatcher, 0, len(ds.pools))
	for _, p := range ds.pools {
		pools = append(pools, p)
	}
	return pools
}

// configure applies the current configuration to the dispatchers.
func (ds *dispatcherSide) configure() {
	for _, p := range ds.all() {
		p.configure()
	}
}

// tick drops the entries that timed out and triggers heartbeats. While
// draining, it also redirects the entries.
func (ds *dispatcherSide) tick() {
	draining := ds.isDraining()
	for _, p := range ds.all() {
		if draining {
			p.redirectEntries()
		}
		if ended := p.tick(); ended {
			ds.removeDispatcher(p)
		}
	}
}

// drain redirects all entries to other instances and waits until none is left.
func (ds *dispatcherSide) drain(ctx context.Context) {
	ds.mu.Lock()
	ds.draining = true
	ds.mu.Unlock()
	ticker := time.NewTicker(ds.dispatch.options.Settings.HeartbeatInterval)
	defer ticker.Stop()
	for {
		remaining := 0
		for _, p := range ds.all() {
			remaining += p.redirectEntries()
		}
		if remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ds.dispatch.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isDraining reports whether this instance is handing its pools over.
func (ds *dispatcherSide) isDraining() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.draining
}

// handleProbe answers the probe of an entry that excluded this instance. It
// succeeds only if this instance can reach the entry too.
func (ds *dispatcherSide) handleProbe(ctx context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request probeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed probe request")
	}
	if ds.isDraining() {
		return nil, fault.New(fault.Leaving, "the instance is handing its pools over")
	}
	ctx, cancel := context.WithTimeout(ctx, ds.dispatch.options.Settings.SendTimeout/2)
	defer cancel()
	return nil, ds.dispatch.options.Caller.Call(ctx, request.ReplyTo, echoMethod, struct{}{}, nil)
}

// handleEcho answers the call that handleProbe makes to the probing instance.
func (ds *dispatcherSide) handleEcho(context.Context, peer.Identity, json.RawMessage) (any, error) {
	return nil, nil
}

// handleSummary answers with the load summary of a pool dispatched here.
func (ds *dispatcherSide) handleSummary(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var query summaryQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed summary request")
	}
	return ds.summary(query.Pool)
}

// summary returns the load summary of a pool dispatched here.
func (ds *dispatcherSide) summary(id types.PoolID) (Summary, error) {
	ds.mu.Lock()
	p, ok := ds.pools[id]
	ds.mu.Unlock()
	if !ok {
		return Summary{}, fault.New(fault.PeerRejected, "this instance does not dispatch the pool")
	}
	return p.summary(), nil
}
