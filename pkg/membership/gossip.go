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
	// ringSuccessors is how many instances each instance watches for good.
	ringSuccessors = 3
	// downShare is one in how many random exchanges goes to an instance that is
	// down, if there is one, so that the end of a partition is found.
	downShare = 8
	// minExchangePause is the least time between two exchanges, also when there
	// is news.
	minExchangePause = 50 * time.Millisecond
	// jitterShare is the part of an interval by which it varies.
	jitterShare = 0.25
	// helpers is how many peers are asked to probe an instance.
	helpers = 2
)

// exchangeAll exchanges with one peer after the other until ctx ends: in turn
// with a successor on the ring of instances and with a random one.
func (m *Members) exchangeAll(ctx context.Context) {
	for {
		timer := time.NewTimer(m.jittered(m.options.Settings.ExchangeInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-m.wake:
			timer.Stop()
			if !wait.For(ctx, minExchangePause) {
				return
			}
		}
		m.update(func(t *table, now time.Time) bool { return t.expire(now) })
		if row, ok := m.next(); ok {
			m.spawn(func(ctx context.Context) { m.probe(ctx, row) })
		}
	}
}

// next returns the peer to exchange with.
func (m *Members) next() (types.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn++
	if m.turn%2 == 0 {
		return m.table.successor(m.turn / 2 % ringSuccessors)
	}
	if m.random.IntN(downShare) == 0 {
		return m.table.lost(m.random.IntN)
	}
	return m.partners.choose(m.table, time.Now(), m.random.IntN)
}

// probe exchanges with the peer, and claims that it is suspect when it answers
// neither this instance nor those asked to help.
func (m *Members) probe(ctx context.Context, row types.Instance) {
	if !m.begin(row.ID) {
		return
	}
	defer m.end(row.ID)
	if m.exchange(ctx, row) == nil || ctx.Err() != nil {
		return
	}
	if m.askHelpers(ctx, row) || ctx.Err() != nil {
		return
	}
	m.update(func(t *table, now time.Time) bool { return t.doubt(row.ID, now) })
}

// begin admits one probe of an instance at a time.
func (m *Members) begin(id types.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing[id] {
		return false
	}
	m.probing[id] = true
	return true
}

func (m *Members) end(id types.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.probing, id)
}

// exchange tells the peer what is new and takes its answer.
func (m *Members) exchange(ctx context.Context, row types.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Settings.ExchangeTimeout)
	defer cancel()
	question := m.message(nil)
	var answer exchange
	if err := m.options.Caller.Call(ctx, row.PeerAddress, exchangeMethod, question, &answer); err != nil {
		return err
	}
	m.take(answer)
	if len(answer.Wanted) > 0 || m.shouldReconcile(question, answer) {
		m.reconcile(ctx, row, answer.Wanted)
	}
	return nil
}

// message returns what to tell a peer, with the claims that it wanted.
func (m *Members) message(wanted []types.InstanceID) exchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	return exchange{
		Sender:  m.table.own().fact,
		Rumours: append(m.table.rumours(), m.table.facts(wanted)...),
		Digest:  m.table.digest(),
	}
}

// take merges what a peer told.
func (m *Members) take(told exchange) {
	m.update(func(t *table, now time.Time) bool {
		changed := t.merge(told.Sender, now)
		for _, claim := range told.Rumours {
			changed = t.merge(claim, now) || changed
		}
		return changed
	})
}

// shouldReconcile reports whether the views differ although neither side had
// news for the other, and the last comparison is long enough ago.
func (m *Members) shouldReconcile(question, answer exchange) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	differ := m.table.digest() != answer.Digest
	young := now.Sub(m.table.started) < m.options.Settings.JoinPeriod && m.reconciledAt.IsZero()
	quiet := len(question.Rumours) == 0 && len(answer.Rumours) == 0
	due := now.Sub(m.reconciledAt) >= m.options.Settings.ReconcileInterval
	if !differ || !(young || quiet && due) {
		return false
	}
	m.reconciledAt = now
	return true
}

// reconcile compares whole views with the peer and fetches what is newer there.
func (m *Members) reconcile(ctx context.Context, row types.Instance, wanted []types.InstanceID) {
	question := m.message(wanted)
	m.mu.Lock()
	question.Marks = m.table.marks()
	m.mu.Unlock()
	var answer exchange
	if err := m.options.Caller.Call(ctx, row.PeerAddress, exchangeMethod, question, &answer); err != nil {
		return
	}
	m.take(answer)
	if len(answer.Wanted) == 0 {
		return
	}
	_ = m.options.Caller.Call(ctx, row.PeerAddress, exchangeMethod, m.message(answer.Wanted), nil)
}

// handleExchange answers a peer.
func (m *Members) handleExchange(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var question exchange
	if err := json.Unmarshal(params, &question); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed exchange")
	}
	if question.Sender.Row.ID != from.Instance {
		return nil, fault.New(fault.PeerRejected, "the sender claims to be another instance")
	}
	m.take(question)
	return m.answer(question), nil
}

// answer returns the answer to a question, with this instance's claim about the
// sender when it is the newer one, so that the sender can refute it.
func (m *Members) answer(question exchange) exchange {
	answer := m.message(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.table.records[question.Sender.Row.ID]; ok && r.known() && r.supersedes(question.Sender) {
		answer.Rumours = append(answer.Rumours, r.fact)
	}
	if question.Marks != nil {
		newer, wanted := m.table.compare(question.Marks)
		answer.Rumours = append(answer.Rumours, newer...)
		answer.Wanted = wanted
	}
	return answer
}

// askHelpers asks a few peers to probe the instance. It reports whether one of
// them had an answer.
func (m *Members) askHelpers(ctx context.Context, row types.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*m.options.Settings.ExchangeTimeout)
	defer cancel()
	chosen := m.helpersFor(row.ID)
	answers := make(chan bool, len(chosen))
	for _, helper := range chosen {
		m.spawn(func(context.Context) {
			err := m.options.Caller.Call(ctx, helper.PeerAddress, probeMethod, probeQuery{row.PeerAddress}, nil)
			answers <- err == nil
		})
	}
	for range chosen {
		select {
		case <-ctx.Done():
			return false
		case reached := <-answers:
			if reached {
				return true
			}
		}
	}
	return false
}

// helpersFor returns a few live peers at random, without the instance.
func (m *Members) helpersFor(id types.InstanceID) []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []types.Instance
	for _, i := range m.random.Perm(len(m.live)) {
		row := m.live[i]
		if row.ID != id && row.ID != m.table.self && len(chosen) < helpers {
			chosen = append(chosen, row)
		}
	}
	return chosen
}

// handleProbe probes an instance on behalf of a peer.
func (m *Members) handleProbe(ctx context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var query probeQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed probe")
	}
	return nil, m.exchange(ctx, types.Instance{PeerAddress: query.Address})
}

// Leave tells peers at once that this instance is leaving. The rest of the
// fleet hears of it from them.
func (m *Members) Leave(ctx context.Context) {
	m.update(func(t *table, now time.Time) bool {
		t.leave(now)
		return true
	})
	var telling sync.WaitGroup
	for _, row := range m.fanout() {
		telling.Go(func() { _ = m.exchange(ctx, row) })
	}
	telling.Wait()
}

// fanout returns the peers that a leaving instance tells itself.
func (m *Members) fanout() []types.Instance {
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

// jittered returns the interval, varied at random.
func (m *Members) jittered(interval time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(interval) * (1 + jitterShare*(2*m.random.Float64()-1)))
}
