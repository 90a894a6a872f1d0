// Package entry is the router's face to callers. It identifies the client
// account, classifies the request, asks for leave to start, calls the upstream
// and holds the answer until the caller has it. It alone speaks to upstreams.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
	"github.com/umbercrank/umbercrank/pkg/limits"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options are the collaborators of an Entry.
type Options struct {
	Self        types.Instance
	Incarnation types.Incarnation
	Store       *config.Store
	Granter     dispatch.Granter
	View        membership.View
	Recorder    timeline.Recorder
	Logger      zerolog.Logger
	// Transport carries calls that may be repeated.
	Transport http.RoundTripper
	// OnceTransport carries calls that are not repeatable; it makes a fresh
	// connection for each.
	OnceTransport http.RoundTripper
	// Addresses returns the answer of GET /v1/addresses, encoded as JSON.
	Addresses func() any
	// Caller sends to other instances; nil keeps the quarantine local.
	Caller   peer.Caller
	Settings Settings
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	options  Options
	settings Settings
	handler  http.Handler
	limiter  *limits.Limiter
	budget   *retry.Budget
	registry *registry
	inFlight *inFlightCounter
	// waiters counts the copies that wait for an outcome, also while leaving.
	waiters *inFlightCounter
	keys    *idempotency.Store
	charts  charts
	memory  *semaphore.Weighted

	quarantine *quarantine.Quarantine
	suspects   *suspectRuns
}

// New returns an Entry that serves at once. Failures are of code Internal.
func New(options Options) (*Entry, error) {
	loaded, err := loadCharts()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		charts:   loaded,
		options:  options,
		settings: options.Settings,
		limiter:  limits.New(),
		budget:   retry.NewBudget(options.Settings.Retry),
		registry: newRegistry(options.Settings.FinishedRequests),
		inFlight: newInFlightCounter(),
		waiters:  newInFlightCounter(),
		suspects: newSuspectRuns(),
		memory:   semaphore.NewWeighted(options.Settings.BodyMemoryBytes),
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
		return nil, fault.Wrap(fault.Internal, err, "building the caller API")
	}
	e.handler = app
	return e, nil
}

// Handler returns the HTTP handler of the caller API.
func (e *Entry) Handler() http.Handler { return e.handler }

// Window returns the window of idempotency keys that callers shall use now.
func (e *Entry) Window() idempotency.Window { return e.keys.CurrentWindow() }

// Register adds the handlers for messages from other instances.
func (e *Entry) Register(registrar peer.Registrar) { e.quarantine.Register(registrar) }

// Run carries out the background work until ctx ends.
func (e *Entry) Run(ctx context.Context) error { return e.quarantine.Run(ctx) }

// Drain refuses new requests from now on and waits until all requests in flight
// have ended, or returns a failure when ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	select {
	case <-e.inFlight.close():
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "requests were still in flight")
	}
}

// Settings bounds the work of an Entry.
type Settings struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// BodyMemoryBytes bounds the bodies of all requests held at once.
	BodyMemoryBytes int64
	// BodyTimeout bounds the arrival of a body.
	BodyTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is held whole.
	MaxAnswerBytes int64
	// StreamBufferBytes bounds what is held of a stream for a slow caller.
	StreamBufferBytes int
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// StallTimeout bounds the time between two events of an engine's stream,
	// from its first token on.
	StallTimeout time.Duration
	// MaxRequests bounds the requests held at once.
	MaxRequests int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// FinishedRequests bounds the ended requests that GET /v1/requests/{id}
	// still knows.
	FinishedRequests int
	// DefaultDeadline applies to classes that declare no deadline.
	DefaultDeadline time.Duration
	// BusyRetryAfter tells callers when to come back to an instance that is
	// leaving, full or not ready.
	BusyRetryAfter time.Duration
	// DefaultRetryAfter is told with a refusal for which nothing better is known.
	DefaultRetryAfter time.Duration
	// Retry shapes the retry budget.
	Retry retry.Settings
	// Idempotency bounds what is kept of idempotency keys.
	Idempotency idempotency.Settings
	// Quarantine bounds what is kept of requests that crash upstreams.
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
		StallTimeout:      10 * time.Second,
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
