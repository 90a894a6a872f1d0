package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	// ringSuccessors is the number of successors on the ring that each instance
	// probes regularly.
	ringSuccessors = 3
	// downExchangeRatio is n where one in n random exchanges goes to an instance
	// that is down, to detect the end of a partition. If no instance is down, that
	// exchange is skipped.
	downExchangeRatio = 8
	// minExchangeInterval is the minimum interval between two exchanges, even when the
	// view has changed.
	minExchangeInterval = 50 * time.Millisecond
	// jitterFraction is the fraction by which intervals vary.
	jitterFraction = 0.25
	// maxIndirectProbers is the maximum number of peers that are requested to probe
	// an instance.
	maxIndirectProbers = 2
)

// runExchanges starts exchanges with peers until ctx is done. Exchanges with a
// successor on the ring alternate with exchanges with a random peer.
func (m *Members) runExchanges(ctx context.Context) {
	for {
		timer := time.NewTimer(m.jittered(m.options.Settings.ExchangeInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-m.wake:
			timer.Stop()
			if !wait.For(ctx, minExchangeInterval) {
				return
			}
		}
		m.update(func(t *table, now time.Time) bool { return t.expire(now) })
		if instance, ok := m.nextPeer(); ok {
			m.spawn(func(ctx context.Context) { m.probe(ctx, instance) })
		}
	}
}

// nextPeer returns the peer for the next exchange.
func (m *Members) nextPeer() (types.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.round++
	if m.round%2 == 0 {
		return m.table.successor(m.round / 2 % ringSuccessors)
	}
	if m.random.IntN(downExchangeRatio) == 0 {
		return m.table.randomDown(m.random.IntN)
	}
	return m.partners.choose(m.table, time.Now(), m.random.IntN)
}

// probe exchanges with the peer. It marks the peer as suspect if neither this
// instance nor the indirect probers can reach it.
func (m *Members) probe(ctx context.Context, instance types.Instance) {
	if !m.beginProbe(instance.ID) {
		return
	}
	defer m.endProbe(instance.ID)
	if m.exchange(ctx, instance) == nil || ctx.Err() != nil {
		return
	}
	if m.probeIndirectly(ctx, instance) || ctx.Err() != nil {
		return
	}
	m.update(func(t *table, now time.Time) bool { return t.markSuspect(instance.ID, now) })
}

// beginProbe reports whether a probe of the instance may start. Only one runs
// at a time.
func (m *Members) beginProbe(id types.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing[id] {
		return false
	}
	m.probing[id] = true
	return true
}

func (m *Members) endProbe(id types.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.probing, id)
}

// exchange sends recent updates to the peer and merges its response.
func (m *Members) exchange(ctx context.Context, instance types.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Settings.ExchangeTimeout)
	defer cancel()
	request := m.newMessage(nil)
	var response exchangeMessage
	if err := m.options.Caller.Call(ctx, instance.PeerAddress, exchangeMethod, request, &response); err != nil {
		return err
	}
	m.mergeMessage(response)
	if len(response.Wanted) > 0 || m.shouldReconcile(request, response) {
		m.reconcile(ctx, instance, response.Wanted)
	}
	return nil
}

// newMessage returns a message with recent updates and the states of the wanted
// instances.
func (m *Members) newMessage(wanted []types.InstanceID) exchangeMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return exchangeMessage{
		Sender:  m.table.own().memberState,
		Updates: append(m.table.nextUpdates(), m.table.states(wanted)...),
		Digest:  m.table.digest(),
	}
}

// mergeMessage merges the states in a message from a peer.
func (m *Members) mergeMessage(message exchangeMessage) {
	m.update(func(t *table, now time.Time) bool {
		changed := t.merge(message.Sender, now)
		for _, state := range message.Updates {
			changed = t.merge(state, now) || changed
		}
		return changed
	})
}

// shouldReconcile reports whether to compare whole views with the peer. The
// digests must differ. In addition, either this instance is joining and has not
// compared views yet, or neither side sent updates and ReconcileInterval has
// passed since the last comparison.
func (m *Members) shouldReconcile(request, response exchangeMessage) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	differ := m.table.digest() != response.Digest
	joining := now.Sub(m.table.started) < m.options.Settings.JoinPeriod && m.reconciledAt.IsZero()
	noUpdates := len(request.Updates) == 0 && len(response.Updates) == 0
	due := now.Sub(m.reconciledAt) >= m.options.Settings.ReconcileInterval
	if !differ || !(joining || noUpdates && due) {
		return false
	}
	m.reconciledAt = now
	return true
}

// reconcile compares whole views with the peer, fetches the states that are
// newer there, and sends those that the peer wants.
func (m *Members) reconcile(ctx context.Context, instance types.Instance, wanted []types.InstanceID) {
	request := m.newMessage(wanted)
	m.mu.Lock()
	request.Versions = m.table.versions()
	m.mu.Unlock()
	var response exchangeMessage
	if err := m.options.Caller.Call(ctx, instance.PeerAddress, exchangeMethod, request, &response); err != nil {
		return
	}
	m.mergeMessage(response)
	if len(response.Wanted) == 0 {
		return
	}
	_ = m.options.Caller.Call(ctx, instance.PeerAddress, exchangeMethod, m.newMessage(response.Wanted), nil)
}

// handleExchange handles an exchange that a peer began.
func (m *Members) handleExchange(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var request exchangeMessage
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed exchange request")
	}
	if request.Sender.Instance.ID != from.Instance {
		return nil, fault.New(fault.PeerRejected, "exchange sender does not match the peer's identity")
	}
	m.mergeMessage(request)
	return m.respond(request), nil
}

// respond returns the response to a request. If this instance has a state of the
// sender that supersedes the sender's own, the response includes it so that the
// sender can refute it.
func (m *Members) respond(request exchangeMessage) exchangeMessage {
	response := m.newMessage(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.table.records[request.Sender.Instance.ID]; ok && r.hasState() && r.supersedes(request.Sender) {
		response.Updates = append(response.Updates, r.memberState)
	}
	if request.Versions != nil {
		newer, wanted := m.table.compare(request.Versions)
		response.Updates = append(response.Updates, newer...)
		response.Wanted = wanted
	}
	return response
}

// probeIndirectly requests a few peers to probe the instance. It reports whether one
// of them reached it.
func (m *Members) probeIndirectly(ctx context.Context, instance types.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*m.options.Settings.ExchangeTimeout)
	defer cancel()
	probers := m.indirectProbers(instance.ID)
	results := make(chan bool, len(probers))
	for _, prober := range probers {
		m.spawn(func(context.Context) {
			err := m.options.Caller.Call(ctx, prober.PeerAddress, probeMethod, probeRequest{instance.PeerAddress}, nil)
			results <- err == nil
		})
	}
	for range probers {
		select {
		case <-ctx.Done():
			return false
		case reached := <-results:
			if reached {
				return true
			}
		}
	}
	return false
}

// indirectProbers returns a few random live peers other than the instance.
func (m *Members) indirectProbers(id types.InstanceID) []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []types.Instance
	for _, i := range m.random.Perm(len(m.live)) {
		instance := m.live[i]
		if instance.ID != id && instance.ID != m.table.self && len(chosen) < maxIndirectProbers {
			chosen = append(chosen, instance)
		}
	}
	return chosen
}

// handleProbe probes an instance for a peer.
func (m *Members) handleProbe(ctx context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request probeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed probe request")
	}
	return nil, m.exchange(ctx, types.Instance{PeerAddress: request.Address})
}

// Leave marks this instance as leaving and informs LeaveFanout peers
// immediately. The other instances learn it from them through gossip.
func (m *Members) Leave(ctx context.Context) {
	m.update(func(t *table, now time.Time) bool {
		t.leave(now)
		return true
	})
	var wg sync.WaitGroup
	for _, instance := range m.leaveTargets() {
		wg.Go(func() { _ = m.exchange(ctx, instance) })
	}
	wg.Wait()
}

// leaveTargets returns the random live peers that a leaving instance informs
// directly.
func (m *Members) leaveTargets() []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []types.Instance
	for _, i := range m.random.Perm(len(m.live)) {
		if m.live[i].ID != m.table.self && len(chosen) < m.options.Settings.LeaveFanout {
			chosen = append(chosen, m.live[i])
		}
	}
	return chosen
}

// jittered returns the interval with random jitter.
func (m *Members) jittered(interval time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(interval) * (1 + jitterFraction*(2*m.random.Float64()-1)))
}
