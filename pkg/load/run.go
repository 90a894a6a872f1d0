package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Limits of a load.
const (
	// MaxDuration bounds a load.
	MaxDuration = time.Hour
	// maxInFlight bounds the requests without an answer; a request that would
	// exceed it is not sent and counts as broken.
	maxInFlight = 8192
	// connectionsPerAddress bounds the idle connections that are kept.
	connectionsPerAddress = 256
	dialTimeout           = 2 * time.Second
)

// Options describe one load.
type Options struct {
	Profile *Profile
	// Addresses are instances to ask for addresses, as host:port.
	Addresses []string
	// Engines are base URLs of stand-in engines whose work is compared.
	Engines []string
	// Services are base URLs of stand-in services whose executions are checked.
	Services []string
	Duration time.Duration
	// Factor multiplies the rate of the profile.
	Factor float64
	Seed   uint64
	// Callers is the number of client processes that are imitated; each keeps
	// addresses of its own.
	Callers int
}

// Validate checks the options. Failures have the code InvalidSetting.
func (o Options) Validate() error {
	switch {
	case len(o.Addresses) == 0:
		return fault.New(fault.InvalidSetting, "at least one address is required")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fault.New(fault.InvalidSetting, "the duration must be above zero and at most "+MaxDuration.String())
	case o.Factor <= 0:
		return fault.New(fault.InvalidSetting, "the rate factor must be above zero")
	case o.Callers <= 0:
		return fault.New(fault.InvalidSetting, "the number of callers must be above zero")
	}
	return nil
}

// runner carries out one load.
type runner struct {
	options Options
	client  *http.Client
	callers []*caller
	ledger  *ledger
	tally   *tally
	places  chan struct{}
	group   sync.WaitGroup
}

// Run sends the requests of the profile at their times, whatever the answers
// take, waits for the last answers, and returns the report. It returns a fault
// of code InvalidSetting for bad options, and PeerUnavailable when no instance
// answers at the start. When ctx ends it stops early.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := newRunner(options)
	defer r.client.CloseIdleConnections()
	if _, err := r.callers[0].book.pick(ctx); err != nil {
		return nil, err
	}
	meter := startWorkMeter(ctx, r.client, options.Engines)
	elapsed := r.drive(ctx)
	r.group.Wait()
	report := r.tally.report(elapsed)
	report.Profile = options.Profile.Name
	report.Seed = options.Seed
	report.Factor = options.Factor
	report.compareWork(meter.stop(ctx))
	r.audit(ctx, report)
	return report, nil
}

func newRunner(options Options) *runner {
	dialer := &net.Dialer{Timeout: dialTimeout}
	r := &runner{
		options: options,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: connectionsPerAddress,
		}},
		ledger: newLedger(),
		tally:  newTally(),
		places: make(chan struct{}, maxInFlight),
	}
	for i := range options.Callers {
		book := newAddressBook(r.client, options.Addresses, options.Seed+uint64(i))
		r.callers = append(r.callers, &caller{client: r.client, book: book, ledger: r.ledger})
	}
	return r
}

// drive starts the requests at their times and returns how long that took.
func (r *runner) drive(ctx context.Context) time.Duration {
	plan := newArrivals(r.options.Profile, r.options.Factor, r.options.Seed)
	started := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		a := plan.next()
		if a.at >= r.options.Duration {
			a.at = r.options.Duration
		}
		timer.Reset(time.Until(started.Add(a.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return time.Since(started)
		}
		if a.at == r.options.Duration {
			return time.Since(started)
		}
		r.start(ctx, a)
	}
}

// start sends one request without waiting for its answer.
func (r *runner) start(ctx context.Context, a arrival) {
	select {
	case r.places <- struct{}{}:
	default:
		r.tally.add(&outcome{kind: a.kind, account: a.account.ID, result: Broken})
		return
	}
	r.group.Go(func() {
		defer func() { <-r.places }()
		r.tally.add(r.callers[a.number%len(r.callers)].send(ctx, a))
	})
}

// audit adds the broken promises that the services' counts show.
func (r *runner) audit(ctx context.Context, report *Report) {
	if len(r.options.Services) == 0 {
		report.Unchecked = "no services were named"
		return
	}
	counts, err := executions(ctx, r.client, r.options.Services)
	if err != nil {
		report.Unchecked = err.Error()
		return
	}
	breaches := r.ledger.audit(counts)
	report.Violations += len(breaches)
	report.Details = append(report.Details, breaches[:min(len(breaches), maxDetails)]...)
}
