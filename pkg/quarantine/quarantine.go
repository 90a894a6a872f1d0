// Package quarantine stops requests that repeatedly crash upstreams. It records
// the fingerprints of requests that were running when an upstream crashed,
// condemns a request after enough crashes, and shares suspected and condemned
// fingerprints with the other instances.
package quarantine

import (
	"context"
	"encoding/json"
	"expvar"
	"iter"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// MethodExchange is the method of the peer notification that carries entries.
const MethodExchange = "quarantine.exchange"

const (
	// fanOut is the number of instances to which each update is sent.
	fanOut = 4
	// exchangeInterval is the time between two periodic exchanges. Each one sends
	// the current entries to one random instance.
	exchangeInterval = 5 * time.Second
	// correctionInterval is the time between two looks for due corrections.
	correctionInterval = 100 * time.Millisecond
	// maxExchanged is the maximum number of entries in one message.
	maxExchanged = 64
	// sendTimeout is the timeout for sending one message.
	sendTimeout = time.Second
	// updateQueueLength is the capacity of the queue of unsent updates.
	updateQueueLength = 64
)

// The parts of prompts that this instance suspects and has convicted.
var (
	suspectedParts = expvar.NewInt("umbercrank_suspected_parts")
	convictedParts = expvar.NewInt("umbercrank_convicted_parts")
)

// Exchange is the body of a MethodExchange notification.
type Exchange struct {
	Entries []Entry `json:"entries"`
}

// Options configures a Quarantine.
type Options struct {
	View membership.View
	// Caller sends notifications to other instances. If nil, entries are not
	// shared.
	Caller   peer.Caller
	Logger   zerolog.Logger
	Settings Settings
}

// Quarantine is a Table that is safe for concurrent use and exchanges its
// entries with other instances.
type Quarantine struct {
	options Options
	started time.Time
	updates chan []Entry

	mu    sync.Mutex
	table *Table
}

// New returns an empty Quarantine. The trial jitter is that of this instance.
func New(options Options) *Quarantine {
	if options.View != nil {
		options.Settings.TrialJitter = TrialJitter(options.View.Self().ID)
		options.Settings.MayTry = func(part Fingerprint) bool {
			return rendezvous.AmongFirst(part.String(), options.View.Self().ID, instanceIDs(options.View.Live()), TrialInstances)
		}
	}
	return &Quarantine{
		options: options,
		started: time.Now(),
		updates: make(chan []Entry, updateQueueLength),
		table:   NewTable(options.Settings),
	}
}

// instanceIDs yields the IDs of the instances.
func instanceIDs(instances []types.Instance) iter.Seq[types.InstanceID] {
	return func(yield func(types.InstanceID) bool) {
		for _, instance := range instances {
			if !yield(instance.ID) {
				return
			}
		}
	}
}

func (q *Quarantine) now() time.Duration { return time.Since(q.started) }

// Empty reports whether the table has no entries, in which case no lookup is
// needed.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len() == 0
}

// Lookup returns the verdict on a request; see Table.Lookup.
func (q *Quarantine) Lookup(fp Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Lookup(q.now(), fp)
}

// RecordCrash counts a crash and sends the updated entry to other instances; see
// Table.RecordCrash.
func (q *Quarantine) RecordCrash(fp Fingerprint, attempt CrashedAttempt) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := q.table.RecordCrash(q.now(), fp, attempt)
	q.enqueueEntry(fp)
	return verdict
}

// enqueueEntry queues the entry of one fingerprint for sending.
func (q *Quarantine) enqueueEntry(fp Fingerprint) {
	if entry, ok := q.table.entry(q.now(), fp); ok {
		q.enqueue([]Entry{entry})
	}
}

// RecordCompletion removes a suspect that ran to completion.
func (q *Quarantine) RecordCompletion(fp Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordCompletion(fp)
}

// PeekPart returns the verdict on a request that is not sent yet; see Table.PeekPart.
func (q *Quarantine) PeekPart(parts []Fingerprint) (PartVerdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.PeekPart(q.now(), parts)
}

// RefusedPart returns the verdict on a request before it is sent; see
// Table.RefusedPart.
func (q *Quarantine) RefusedPart(parts []Fingerprint) (PartVerdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.RefusedPart(q.now(), parts)
}

// RecordPartCrash counts a crash against the parts of an attempt and tells other
// instances; see Table.RecordPartCrash.
func (q *Quarantine) RecordPartCrash(parts []Fingerprint, upstream types.UpstreamID, duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entries := q.table.RecordPartCrash(q.now(), parts, upstream, duration)
	q.logConvictions(entries, "this instance")
	if len(entries) > 0 {
		q.enqueue(entries)
	}
}

// RecordPartsSound records a complete answer that began some time ago and tells other instances of
// the parts that it clears; see Table.RecordPartsSound.
func (q *Quarantine) RecordPartsSound(parts []Fingerprint, age time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	cleared := q.table.RecordPartsSound(now, now-age, parts)
	for _, entry := range cleared {
		q.options.Logger.Info().Hex("part", entry.Fingerprint[:]).Msg("part of prompts cleared by an answer")
	}
	if len(cleared) > 0 {
		q.enqueue(cleared)
	}
}

// logConvictions logs each convicted part among the entries.
func (q *Quarantine) logConvictions(entries []Entry, from string) {
	for _, entry := range entries {
		if entry.Condemned && entry.Fingerprint.IsPart() {
			q.options.Logger.Warn().Hex("part", entry.Fingerprint[:]).Str("from", from).
				Interface("crashes", entry.Crashes).Msg("part of prompts convicted of crashing upstreams")
		}
	}
}

// enqueue queues an update for Run. If the queue is full, the update is dropped
// and the periodic exchange delivers the entries later.
func (q *Quarantine) enqueue(entries []Entry) {
	select {
	case q.updates <- entries:
	default:
	}
}

// Register adds the handler for MethodExchange.
func (q *Quarantine) Register(registrar peer.Registrar) {
	registrar.Handle(MethodExchange, q.receive)
}

// receive merges the entries of another instance and forwards those that changed
// the table.
func (q *Quarantine) receive(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var message Exchange
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed exchange request")
	}
	if len(message.Entries) > maxExchanged {
		return nil, fault.New(fault.BadRequest, "too many entries in the exchange request")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if updates := q.table.Merge(q.now(), message.Entries); len(updates) > 0 {
		q.logConvictions(updates, string(from.Instance))
		q.enqueue(updates)
	}
	return nil, nil
}

// Run sends queued updates and due corrections to fanOut random instances and, every
// exchangeInterval, the current entries to one random instance. It returns when
// ctx is done.
func (q *Quarantine) Run(ctx context.Context) error {
	if q.options.Caller == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	corrections := time.NewTicker(correctionInterval)
	defer corrections.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case entries := <-q.updates:
			q.send(ctx, entries, fanOut)
		case <-corrections.C:
			q.send(ctx, q.dueCorrections(), fanOut)
		case <-ticker.C:
			q.send(ctx, q.exchangeEntries(), 1)
		}
	}
}

// dueCorrections returns the corrections to send and updates the metrics.
func (q *Quarantine) dueCorrections() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	suspected, convicted := q.table.PartCounts()
	suspectedParts.Set(int64(suspected))
	convictedParts.Set(int64(convicted))
	due := q.table.Corrections(q.now())
	return due[:min(len(due), maxExchanged)]
}

// exchangeEntries returns the entries for a periodic exchange, at most
// maxExchanged.
func (q *Quarantine) exchangeEntries() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.List(q.now(), maxExchanged)
}

// send sends the entries to count random instances.
func (q *Quarantine) send(ctx context.Context, entries []Entry, count int) {
	if len(entries) == 0 {
		return
	}
	var group sync.WaitGroup
	for _, to := range q.randomInstances(count) {
		group.Go(func() { q.notify(ctx, to, entries) })
	}
	group.Wait()
}

func (q *Quarantine) notify(ctx context.Context, to types.Instance, entries []Entry) {
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := q.options.Caller.Notify(limited, to.PeerAddress, MethodExchange, Exchange{Entries: entries})
	if err != nil {
		q.options.Logger.Debug().Err(err).Str("instance", string(to.ID)).Msg("failed to send quarantine entries")
	}
}

// randomInstances returns up to count random live instances other than this one.
func (q *Quarantine) randomInstances(count int) []types.Instance {
	self := q.options.View.Self().ID
	var others []types.Instance
	for _, instance := range q.options.View.Live() {
		if instance.ID != self {
			others = append(others, instance)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}
