package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// MethodExchange is the peer notification that carries entries.
const MethodExchange = "quarantine.exchange"

const (
	// fanOut is the number of instances that each news is sent to.
	fanOut = 4
	// exchangeInterval is the time between two exchanges of all entries with
	// one other instance.
	exchangeInterval = 5 * time.Second
	// maxExchanged bounds the entries of one message.
	maxExchanged = 64
	// sendTimeout bounds the sending of one message.
	sendTimeout = time.Second
	// queuedNews bounds the messages that wait to be sent.
	queuedNews = 64
)

// Exchange is the message between instances.
type Exchange struct {
	Entries []Entry `json:"entries"`
}

// Options are the collaborators of a Quarantine.
type Options struct {
	View membership.View
	// Caller sends to other instances; nil keeps all knowledge local.
	Caller   peer.Caller
	Logger   zerolog.Logger
	Settings Settings
}

// Quarantine shares a Table between goroutines and instances. It is safe for
// concurrent use.
type Quarantine struct {
	options Options
	started time.Time
	news    chan []Entry

	mu    sync.Mutex
	table *Table
}

// New returns an empty Quarantine.
func New(options Options) *Quarantine {
	return &Quarantine{
		options: options,
		started: time.Now(),
		news:    make(chan []Entry, queuedNews),
		table:   NewTable(options.Settings),
	}
}

func (q *Quarantine) now() time.Duration { return time.Since(q.started) }

// Empty reports whether nothing is suspected, so that no request needs to be
// looked up.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len() == 0
}

// Lookup returns what is known of the request.
func (q *Quarantine) Lookup(fp Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Lookup(q.now(), fp)
}

// RecordCrash counts a crash; see Table.RecordCrash. The new state spreads to the other
// instances.
func (q *Quarantine) RecordCrash(fp Fingerprint, attempt CrashedAttempt) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := q.table.RecordCrash(q.now(), fp, attempt)
	q.publishEntry(fp)
	return verdict
}

// publishEntry queues the state of one fingerprint.
func (q *Quarantine) publishEntry(fp Fingerprint) {
	if entry, ok := q.table.entry(q.now(), fp); ok {
		q.publish([]Entry{entry})
	}
}

// RecordCompletion clears a suspect that ran to its end.
func (q *Quarantine) RecordCompletion(fp Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordCompletion(fp)
}

// publish queues news for Run. When the queue is full the periodic exchange
// carries them.
func (q *Quarantine) publish(entries []Entry) {
	select {
	case q.news <- entries:
	default:
	}
}

// Register adds the handler of the exchange.
func (q *Quarantine) Register(registrar peer.Registrar) {
	registrar.Handle(MethodExchange, q.receive)
}

// receive merges what another instance knows, and passes on what was news.
func (q *Quarantine) receive(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var message Exchange
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the exchange is malformed")
	}
	if len(message.Entries) > maxExchanged {
		return nil, fault.New(fault.BadRequest, "the exchange has too many entries")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if news := q.table.Merge(q.now(), message.Entries); len(news) > 0 {
		q.publish(news)
	}
	return nil, nil
}

// Run spreads news and exchanges all entries with a random instance now and
// then, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	if q.options.Caller == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case entries := <-q.news:
			q.send(ctx, entries, fanOut)
		case <-ticker.C:
			q.send(ctx, q.all(), 1)
		}
	}
}

func (q *Quarantine) all() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.List(q.now(), maxExchanged)
}

// send notifies count random instances.
func (q *Quarantine) send(ctx context.Context, entries []Entry, count int) {
	if len(entries) == 0 {
		return
	}
	var group sync.WaitGroup
	for _, to := range q.others(count) {
		group.Go(func() { q.notify(ctx, to, entries) })
	}
	group.Wait()
}

func (q *Quarantine) notify(ctx context.Context, to types.Instance, entries []Entry) {
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := q.options.Caller.Notify(limited, to.PeerAddress, MethodExchange, Exchange{Entries: entries})
	if err != nil {
		q.options.Logger.Debug().Err(err).Str("instance", string(to.ID)).Msg("quarantine not sent")
	}
}

// others returns count random instances but this one.
func (q *Quarantine) others(count int) []types.Instance {
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
