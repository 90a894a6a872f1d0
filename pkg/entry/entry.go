// Package entry serves the caller API. It authenticates the client account,
// classifies the request, acquires a grant from the dispatcher, calls the upstream
// and sends the answer to the caller. Requests that need a grant reach upstreams only
// through this package; package gateway forwards requests without a dispatcher.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/limits"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options configures an Entry.
type Options struct {
	Self        types.Instance
	Incarnation types.Incarnation
	Store       *config.Store
	Granter     dispatch.Granter
	View        membership.View
	Recorder    timeline.Recorder
	Logger      zerolog.Logger
	// Transport is used for repeatable calls.
	Transport http.RoundTripper
	// OnceTransport is used for calls that are not repeatable. It opens a new
	// connection for each call.
	OnceTransport http.RoundTripper
	// Probe returns why no instance can connect to an upstream that broke off an answer,
	// or nil if one can. If it is not set, crashes are not counted against parts of prompts.
	Probe func(ctx context.Context, address string) error
	// Addresses returns the value that GET /v1/addresses sends as JSON.
	Addresses func() any
	// Caller sends messages to other instances. If nil, the quarantine is not
	// shared.
	Caller peer.Caller
	// Clock is the clock of the retry budget. If it is nil, it is clock.Process.
	Clock clock.Clock
	// Meter measures how late this instance is. It may be nil.
	Meter *overload.Meter
	// Overload decides which requests this instance accepts while it is late. It may be nil.
	Overload *overload.Limiter
	// FirstStart reports whether the fleet starts for the first time, so that nothing of the
	// retry budget has been used.
	FirstStart bool
	// Intake bounds what callers and answers may cost. If it is nil, Settings.BodyMemoryBytes does.
	Intake   *intake.Pool
	Settings Settings
}

// Entry serves requests of callers. It is safe for concurrent use.
type Entry struct {
	options  Options
	settings Settings
	handler  http.Handler
	limiter  *limits.Limiter
	budget   *retry.Budget
	share    *retryShare
	registry *registry
	inFlight *inFlightCounter
	// waiters counts the duplicates that wait for the outcome of an execution. It
	// stays open while the instance is leaving.
	waiters *inFlightCounter
	// ending is done once End is called.
	ending context.Context
	end    context.CancelFunc
	keys   *idempotency.Store
	charts charts
	memory *intake.Pool

	quarantine *quarantine.Quarantine
	suspects   *suspectRuns
}

// New returns an Entry that is ready to serve. If the caller API cannot be built, the
// error has the code Internal.
func New(options Options) (*Entry, error) {
	loaded, err := loadCharts()
	if err != nil {
		return nil, err
	}
	if options.Clock == nil {
		options.Clock = clock.Process()
	}
	if options.Intake == nil {
		options.Intake = intake.NewPool(intake.Limits{Memory: options.Settings.BodyMemoryBytes})
	}
	ending, end := context.WithCancel(context.Background())
	e := &Entry{
		ending:   ending,
		end:      end,
		charts:   loaded,
		options:  options,
		settings: options.Settings,
		limiter:  limits.New(),
		budget:   retry.NewBudget(options.Settings.Retry, options.Clock),
		share:    newRetryShare(options),
		registry: newRegistry(options.Settings.FinishedRequests),
		inFlight: newInFlightCounter(),
		waiters:  newInFlightCounter(),
		suspects: newSuspectRuns(),
		memory:   options.Intake,
		keys:     idempotency.NewStore(options.Incarnation, options.Settings.Idempotency),
	}
	e.quarantine = quarantine.New(quarantine.Options{
		View:     options.View,
		Caller:   options.Caller,
		Logger:   options.Logger,
		Settings: options.Settings.Quarantine,
	})
	app := iris.New()
	e.route(app)
	if err := app.Build(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot build the caller API")
	}
	e.handler = app
	return e, nil
}

// Handler returns the HTTP handler of the caller API.
func (e *Entry) Handler() http.Handler { return e.handler }

// Window returns the current window of idempotency keys.
func (e *Entry) Window() idempotency.Window { return e.keys.CurrentWindow() }

// Register adds the handlers for messages from other instances.
func (e *Entry) Register(registrar peer.Registrar) { e.quarantine.Register(registrar) }

// Run does the background work of the quarantine until ctx is done.
func (e *Entry) Run(ctx context.Context) error { return e.quarantine.Run(ctx) }

// Drain refuses new requests and waits until all requests in flight have ended. It
// returns an error with the code DeadlineExceeded if ctx is done first.
func (e *Entry) Drain(ctx context.Context) error {
	select {
	case <-e.inFlight.close():
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "requests were still in flight")
	}
}

// End ends the requests in flight with a response that says whether they may have run.
func (e *Entry) End() { e.end() }

// Settings configures the limits and timeouts of an Entry.
type Settings struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyMemoryBytes is the maximum total size of the bodies in memory without Options.Intake.
	BodyMemoryBytes int64
	// BodyTimeout is the timeout for reading a body.
	BodyTimeout time.Duration
	// MaxAnswerBytes is the maximum size of a buffered answer.
	MaxAnswerBytes int64
	// StreamBufferBytes is the size of the buffer of a stream for a slow caller.
	StreamBufferBytes int
	// WriteTimeout is the timeout for each write to a caller.
	WriteTimeout time.Duration
	// StreamIdleTimeout is the maximum time between two events of an engine's stream
	// after its first token.
	StreamIdleTimeout time.Duration
	// MaxRequests is the maximum number of requests in flight.
	MaxRequests int
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// FinishedRequests is the number of ended requests whose status is kept for
	// GET /v1/requests/{id}.
	FinishedRequests int
	// DefaultDeadline applies to classes without a deadline. It is also the
	// timeout for forwarding a request to the executor of its idempotency key.
	DefaultDeadline time.Duration
	// BusyRetryAfter is the Retry-After of an instance that is leaving, full or not
	// ready.
	BusyRetryAfter time.Duration
	// DefaultRetryAfter is the Retry-After of refusals that do not set their own.
	DefaultRetryAfter time.Duration
	// Retry configures the retry budget.
	Retry retry.Settings
	// Idempotency configures the store of idempotency keys.
	Idempotency idempotency.Settings
	// Quarantine configures the quarantine of requests that crash upstreams.
	Quarantine quarantine.Settings
}

// DefaultSettings returns the settings for a small instance.
func DefaultSettings() Settings {
	return Settings{
		MaxBodyBytes:      4 << 20,
		BodyMemoryBytes:   64 << 20,
		BodyTimeout:       10 * time.Second,
		MaxAnswerBytes:    8 << 20,
		StreamBufferBytes: 256 << 10,
		WriteTimeout:      10 * time.Second,
		StreamIdleTimeout: 10 * time.Second,
		MaxRequests:       4096,
		MaxAttempts:       6,
		FinishedRequests:  4096,
		DefaultDeadline:   2 * time.Minute,
		BusyRetryAfter:    100 * time.Millisecond,
		DefaultRetryAfter: time.Second,
		Retry:             retry.DefaultSettings(),
		Idempotency:       idempotency.DefaultSettings(),
		Quarantine:        quarantine.DefaultSettings(),
	}
}
