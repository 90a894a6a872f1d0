package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Limits of a load run.
const (
	// MaxDuration is the maximum duration of a load run.
	MaxDuration = time.Hour
	// maxInFlight limits the requests in flight. A request beyond the limit is not
	// sent and counts as broken.
	maxInFlight = 8192
	// maxIdleConnsPerAddress limits the idle connections to each address.
	maxIdleConnsPerAddress = 256
	dialTimeout            = 2 * time.Second
)

// Options configures a load run.
type Options struct {
	Profile *Profile
	// Addresses are the host:port addresses of instances that return the addresses
	// to use.
	Addresses []string
	// Engines are the base URLs of the stand-in engines whose generated tokens are
	// counted.
	Engines []string
	// Services are the base URLs of the stand-in services whose executions are
	// checked.
	Services []string
	Duration time.Duration
	// RateFactor multiplies the rate of the profile.
	RateFactor float64
	Seed       uint64
	// Callers is the number of simulated client processes. Each keeps its own list
	// of addresses.
	Callers int
	// Dial connects to instances, engines and services. If it is nil, they are dialed over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Validate checks the options. Errors have the code InvalidSetting.
func (o Options) Validate() error {
	switch {
	case len(o.Addresses) == 0:
		return fault.New(fault.InvalidSetting, "at least one address is required")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fault.New(fault.InvalidSetting, "the duration must be above zero and at most "+MaxDuration.String())
	case o.RateFactor <= 0:
		return fault.New(fault.InvalidSetting, "the rate factor must be above zero")
	case o.Callers <= 0:
		return fault.New(fault.InvalidSetting, "the number of callers must be above zero")
	}
	return nil
}

// runner executes one load run.
type runner struct {
	options  Options
	client   *http.Client
	callers  []*caller
	ledger   *keyLedger
	tally    *tally
	inFlight chan struct{}
	group    sync.WaitGroup
}

// Run sends the requests of the profile at their scheduled times, independently of
// the time to answer, waits for outstanding answers, and returns the report. If
// ctx is done, it stops early. Errors have the code InvalidSetting if the
// options are invalid, and PeerUnavailable if no instance returns its addresses at
// the start.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := newRunner(options)
	defer r.client.CloseIdleConnections()
	if _, err := r.callers[0].addresses.pick(ctx); err != nil {
		return nil, err
	}
	meter := startTokenMeter(ctx, r.client, options.Engines)
	elapsed := r.drive(ctx)
	r.group.Wait()
	report := r.tally.report(elapsed)
	report.Profile = options.Profile.Name
	report.Seed = options.Seed
	report.RateFactor = options.RateFactor
	report.setGeneratedTokens(meter.stop(ctx))
	r.audit(ctx, report)
	return report, nil
}

func newRunner(options Options) *runner {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	r := &runner{
		options: options,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleConnsPerAddress,
		}},
		ledger:   newKeyLedger(),
		tally:    newTally(),
		inFlight: make(chan struct{}, maxInFlight),
	}
	for i := range options.Callers {
		book := newAddressBook(r.client, options.Addresses, options.Seed+uint64(i))
		r.callers = append(r.callers, &caller{client: r.client, addresses: book, ledger: r.ledger})
	}
	return r
}

// drive starts the requests at their scheduled times and returns the elapsed time.
func (r *runner) drive(ctx context.Context) time.Duration {
	requests := newArrivalProcess(r.options.Profile, r.options.RateFactor, r.options.Seed)
	started := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		a := requests.next()
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
	case r.inFlight <- struct{}{}:
	default:
		r.tally.add(&outcome{kind: a.kind, account: a.account.ID, result: Broken})
		return
	}
	r.group.Go(func() {
		defer func() { <-r.inFlight }()
		r.tally.add(r.callers[a.number%len(r.callers)].send(ctx, a))
	})
}

// audit compares the executions of the services with the reported run states and
// adds the violations to the report.
func (r *runner) audit(ctx context.Context, report *Report) {
	if len(r.options.Services) == 0 {
		report.Unchecked = "no service URLs were given"
		return
	}
	counts, err := fetchExecutions(ctx, r.client, r.options.Services)
	if err != nil {
		report.Unchecked = err.Error()
		return
	}
	violations := r.ledger.audit(counts)
	report.Violations += len(violations)
	report.Details = append(report.Details, violations[:min(len(violations), maxDetails)]...)
}
