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

// dispatcherSide holds the dispatchers of the pools that fall to this instance.
// A dispatcher begins with the first stream that an entry opens.
type dispatcherSide struct {
	dispatch *Dispatch

	mu       sync.Mutex
	pools    map[types.PoolID]*poolDispatcher
	draining bool
}

func newDispatcherSide(d *Dispatch) *dispatcherSide {
	return &dispatcherSide{dispatch: d, pools: map[types.PoolID]*poolDispatcher{}}
}

// handleEvents takes an entry's message.
func (ds *dispatcherSide) handleEvents(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var batch eventBatch
	if err := peer.Unpack(params, &batch); err != nil {
		return nil, err
	}
	ds.receive(from, batch)
	return nil, nil
}

// receive applies an entry's message.
func (ds *dispatcherSide) receive(from peer.Identity, batch eventBatch) {
	for {
		p, ok := ds.dispatcher(batch)
		if !ok {
			ds.answerUnknown(from, batch)
			return
		}
		if p.receive(from, batch) {
			return
		}
		ds.forget(p)
	}
}

// forget drops a dispatcher that has ended.
func (ds *dispatcherSide) forget(p *poolDispatcher) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.pools[p.pool] == p {
		delete(ds.pools, p.pool)
	}
}

// dispatcher returns the dispatcher of the batch's pool. The opening of a
// stream starts one.
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

// answerUnknown tells the entry that there is no such stream here.
func (ds *dispatcherSide) answerUnknown(from peer.Identity, batch eventBatch) {
	if batch.Close {
		return
	}
	address, ok := ds.addressOf(from, batch)
	if !ok {
		return
	}
	answer := actionBatch{Pool: batch.Pool, Epoch: batch.Epoch, Unknown: true}
	ds.dispatch.spawn(func(ctx context.Context) { ds.deliver(ctx, from.Instance, address, answer) })
}

// addressOf returns where the sender of a batch takes messages.
func (ds *dispatcherSide) addressOf(from peer.Identity, batch eventBatch) (string, bool) {
	if batch.ReplyTo != "" {
		return batch.ReplyTo, true
	}
	if instance, ok := ds.dispatch.options.View.Instance(from.Incarnation); ok {
		return instance.PeerAddress, true
	}
	return "", false
}

// deliver hands actions to an entry, here or on another instance. A loss is
// noticed by the entry from the sequence numbers.
func (ds *dispatcherSide) deliver(ctx context.Context, to types.InstanceID, address string, batch actionBatch) {
	if to == ds.dispatch.options.Self.ID {
		ds.dispatch.entry.receive(ds.dispatch.identity(), batch)
		return
	}
	if err := ds.dispatch.send(ctx, address, actionsMethod, batch); err != nil {
		ds.dispatch.options.Logger.Debug().Err(err).Str("entry", string(to)).Msg("actions not delivered")
	}
}

// all returns the dispatchers at work.
func (ds *dispatcherSide) all() []*poolDispatcher {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	pools := make([]*poolDispatcher, 0, len(ds.pools))
	for _, p := range ds.pools {
		pools = append(pools, p)
	}
	return pools
}

// configure passes the configuration in force to the dispatchers.
func (ds *dispatcherSide) configure() {
	for _, p := range ds.all() {
		p.configure()
	}
}

// tick drops silent entries and sends heartbeats.
func (ds *dispatcherSide) tick() {
	draining := ds.isDraining()
	for _, p := range ds.all() {
		if draining {
			p.dismiss()
		}
		if ended := p.tick(); ended {
			ds.forget(p)
		}
	}
}

// drain tells all entries to move until none is left.
func (ds *dispatcherSide) drain(ctx context.Context) {
	ds.mu.Lock()
	ds.draining = true
	ds.mu.Unlock()
	ticker := time.NewTicker(ds.dispatch.options.Settings.HeartbeatInterval)
	defer ticker.Stop()
	for {
		left := 0
		for _, p := range ds.all() {
			left += p.dismiss()
		}
		if left == 0 {
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

// isDraining reports whether this instance hands its pools over.
func (ds *dispatcherSide) isDraining() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.draining
}

// handleProbe answers an entry that avoided this instance, once the way back to
// it has been seen to work.
func (ds *dispatcherSide) handleProbe(ctx context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var question probe
	if err := json.Unmarshal(params, &question); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed probe")
	}
	if ds.isDraining() {
		return nil, fault.New(fault.Leaving, "the instance hands its pools over")
	}
	ctx, cancel := context.WithTimeout(ctx, ds.dispatch.options.Settings.SendTimeout/2)
	defer cancel()
	return nil, ds.dispatch.options.Caller.Call(ctx, question.ReplyTo, echoMethod, struct{}{}, nil)
}

// handleEcho is the way back of a probe.
func (ds *dispatcherSide) handleEcho(context.Context, peer.Identity, json.RawMessage) (any, error) {
	return nil, nil
}

// handleSummary answers with the load of a pool that is dispatched here.
func (ds *dispatcherSide) handleSummary(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var query summaryQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed query")
	}
	return ds.summary(query.Pool)
}

// summary returns the load of a pool that is dispatched here.
func (ds *dispatcherSide) summary(id types.PoolID) (Summary, error) {
	ds.mu.Lock()
	p, ok := ds.pools[id]
	ds.mu.Unlock()
	if !ok {
		return Summary{}, fault.New(fault.PeerRejected, "the pool is not dispatched here")
	}
	return p.summary(), nil
}
