package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/oklog/ulid/v2"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The headers that the router sets on responses.
const (
	headerRequestID = "X-Request-Id"
	headerClass     = "X-Umbercrank-Class"
	headerTier      = "X-Umbercrank-Tier"
	headerUpstream  = "X-Umbercrank-Upstream"
	headerInstance  = "X-Umbercrank-Instance"
	headerRunState  = "X-Umbercrank-Run-State"
)

// callerWriter gives http.ResponseController access to the net/http writer that the
// iris writer wraps.
type callerWriter struct {
	http.ResponseWriter
	connection http.ResponseWriter
}

// Unwrap returns the net/http writer.
func (w callerWriter) Unwrap() http.ResponseWriter { return w.connection }

// handlerFunc serves one route. A returned error is written as JSON.
type handlerFunc func(w http.ResponseWriter, r *http.Request, params iris.Context) error

func (e *Entry) route(app *iris.Application) {
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutAutoFireStatusCode,
		iris.WithoutPathCorrection,
		iris.WithoutBodyConsumptionOnUnmarshal,
	)
	app.Post("/v1/chat/completions", e.wrap(e.serveChat))
	app.Get("/v1/models", e.wrap(e.serveModels))
	app.Get("/v1/models/{model:path}", e.wrap(e.serveModel))
	app.Get("/v1/addresses", e.wrap(e.serveAddresses))
	app.Get("/v1/requests/{id}", e.wrap(e.serveStatus))
	app.Any("/v1/services/{name}", e.wrap(e.serveService))
	app.Any("/v1/services/{name}/{path:path}", e.wrap(e.serveService))
	app.Any("/{rest:path}", e.wrap(serveNotFound))
}

func (e *Entry) wrap(serve handlerFunc) iris.Handler {
	return func(ctx iris.Context) {
		writer := callerWriter{ResponseWriter: ctx.ResponseWriter(), connection: ctx.ResponseWriter().Naive()}
		writer.Header().Set(headerRequestID, ulid.Make().String())
		writer.Header().Set(headerInstance, string(e.options.Self.ID))
		if err := serve(writer, ctx.Request(), ctx); err != nil {
			e.writeFailure(writer, fault.From(err))
		}
	}
}

func (e *Entry) writeFailure(w http.ResponseWriter, failure *fault.Error) {
	failure = e.withRetryAfter(failure)
	w.Header().Set(headerRunState, string(failure.RunState))
	if failure.Status() >= http.StatusInternalServerError {
		e.options.Logger.Warn().Err(failure).Str("code", string(failure.Code)).Msg("request failed")
	}
	if err := failure.WriteTo(w); err != nil {
		e.options.Logger.Debug().Err(err).Msg("cannot write the error response")
	}
}

// withRetryAfter sets the default Retry-After on failures with status 429 or 503
// that do not have one.
func (e *Entry) withRetryAfter(failure *fault.Error) *fault.Error {
	status := failure.Status()
	busy := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if !busy || failure.RetryAfter > 0 {
		return failure
	}
	return failure.WithRetryAfter(e.settings.DefaultRetryAfter)
}

func serveNotFound(http.ResponseWriter, *http.Request, iris.Context) error {
	return fault.New(fault.NotFound, "no route matches the path and method")
}

func writeJSON(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return fault.Wrap(fault.CallerGone, err, "cannot write the answer to the caller")
	}
	return nil
}

// authenticate returns the account of the request's API key and the configuration
// in which it was found.
func (e *Entry) authenticate(r *http.Request) (config.Account, *config.Snapshot, error) {
	snapshot := e.options.Store.Current()
	if snapshot == nil {
		return config.Account{}, nil, fault.New(fault.NotReady, "this instance has no configuration yet").WithRetryAfter(e.settings.BusyRetryAfter)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return config.Account{}, nil, fault.New(fault.Unauthorized, "the API key is missing; send Authorization: Bearer KEY")
	}
	account, ok := snapshot.AccountByKey(strings.TrimSpace(key))
	if !ok {
		return config.Account{}, nil, fault.New(fault.Unauthorized, "unknown API key")
	}
	return account, snapshot, nil
}

func (e *Entry) serveAddresses(w http.ResponseWriter, _ *http.Request, _ iris.Context) error {
	return writeJSON(w, e.options.Addresses())
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request, params iris.Context) error {
	account, _, err := e.authenticate(r)
	if err != nil {
		return err
	}
	status, err := e.registry.get(account.ID, types.RequestID(params.Params().Get("id")))
	if err != nil {
		return err
	}
	return writeJSON(w, status)
}
