package entry

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// The kinds of requests that rules tell apart.
const (
	kindChat    = "chat"
	kindService = "service"
)

// serveService passes a call to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, params iris.Context) error {
	account, snapshot, err := e.authenticate(r)
	if err != nil {
		return err
	}
	name := params.Params().Get("name")
	if _, ok := snapshot.TargetForService(name); !ok {
		return fault.New(fault.UnknownService, "no target is the service "+name)
	}
	body, release, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	defer release()
	repeat, err := repeatable(r.Header, repeatableMethod(r.Method))
	if err != nil {
		return err
	}
	return e.serve(w, inbound{
		http: r, account: account, snapshot: snapshot, body: body, answer: e.answerService,
		attributes: rules.Attributes{
			Kind: kindService, Service: name, Method: r.Method, Path: servicePath(r, name), Account: string(account.ID),
			Labels: account.Labels, Headers: ruleHeaders(r.Header), Repeatable: repeat,
		},
	})
}

func (e *Entry) answerService(w http.ResponseWriter, in inbound, held *request) error {
	return e.answerWhole(w, in, held, &wholeExchange{
		prepare: func(to config.Upstream) (upstream.Call, error) {
			return serviceCall(in.http, in.attributes.Service, in.body, to), nil
		},
		limit: e.settings.MaxAnswerBytes,
	})
}

// repeatableMethod says whether a call of the method may be repeated unless its
// caller says otherwise.
func repeatableMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// servicePath returns the escaped path below the service's name.
func servicePath(r *http.Request, name string) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if rest == "" {
		return "/"
	}
	return rest
}

func serviceCall(r *http.Request, name string, body []byte, to config.Upstream) upstream.Call {
	url := strings.TrimSuffix(to.URL, "/") + servicePath(r, name)
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	header := make(http.Header, len(r.Header))
	copyHeader(header, r.Header)
	header.Del("Authorization")
	return upstream.Call{Method: r.Method, URL: url, Header: header, Body: body}
}

// answerWhole runs the exchange and writes its answer.
func (e *Entry) answerWhole(w http.ResponseWriter, in inbound, held *request, x *wholeExchange) error {
	failure := e.run(in.http.Context(), held, x)
	held.describe(w.Header())
	e.conclude(held, failure)
	if failure != nil {
		return failure
	}
	return x.answer.writeTo(w)
}

// conclude records the end of the request.
func (e *Entry) conclude(held *request, failure *fault.Error) {
	e.fire(held.life, lastEvent(failure))
	if failure == nil {
		e.options.Recorder.Record(held.event(timeline.RequestAnswered))
		e.registry.end(held.status(nil))
		return
	}
	event := held.event(timeline.RequestFailed)
	event.Code = string(failure.Code)
	event.RunState = failure.RunState
	event.Detail = failure.Message
	e.options.Recorder.Record(event)
	e.registry.end(held.status(failure))
}
