package entry

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// The kinds of requests, as seen by rules.
const (
	kindChat    = "chat"
	kindService = "service"
)

// servicesPrefix is the path prefix of calls to services.
const servicesPrefix = "/v1/services/"

// serveService serves a call to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, params iris.Context) error {
	account, snapshot, err := e.authenticate(r)
	if err != nil {
		return e.withKeyRunState(inboundRequest{httpRequest: r}, err)
	}
	in := inboundRequest{httpRequest: r, waited: e.options.Meter.Waited(), account: account, snapshot: snapshot, answer: e.answerService}
	if err := checkService(snapshot, params.Params().Get("name"), r.URL.Path); err != nil {
		return e.withKeyRunState(in, err)
	}
	body, memory, err := e.readBody(w, r)
	if err != nil {
		return e.withKeyRunState(in, err)
	}
	defer memory.Release()
	repeatable, err := parseRepeatable(r.Header, repeatableMethod(r.Method))
	if err != nil {
		return e.withKeyRunState(in, err)
	}
	in.body, in.memory = body, memory
	in.attributes = serviceAttributes(in, params.Params().Get("name"), repeatable)
	return e.serve(w, in)
}

// checkService returns an error if no target provides the service, or if the path
// has dot segments: the service could resolve it to another path than the one that
// the rules see.
func checkService(snapshot *config.Snapshot, name, path string) error {
	if _, ok := snapshot.TargetForService(name); !ok {
		return fault.New(fault.UnknownService, "no target provides the service "+name)
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return fault.New(fault.BadRequest, "the path has dot segments")
		}
	}
	return nil
}

func serviceAttributes(in inboundRequest, name string, repeatable bool) rules.Attributes {
	return rules.Attributes{
		Kind:       kindService,
		Service:    name,
		Method:     in.httpRequest.Method,
		Path:       servicePath(in.httpRequest.URL.Path),
		Account:    string(in.account.ID),
		Labels:     in.account.Labels,
		Headers:    ruleHeaders(in.httpRequest.Header),
		Repeatable: repeatable,
	}
}

func (e *Entry) answerService(w http.ResponseWriter, in inboundRequest, req *request) error {
	return e.answerBuffered(w, in, req, &bufferedExchange{
		newCall: func(to config.Upstream) (upstream.Call, error) {
			return serviceCall(in.httpRequest, req.id, in.body, to), nil
		},
		memory: e.newAnswerMemory(),
	})
}

// repeatableMethod reports whether calls with the method are repeatable by default.
func repeatableMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// servicePath returns the part of the path after the service name.
func servicePath(path string) string {
	_, below, _ := strings.Cut(strings.TrimPrefix(path, servicesPrefix), "/")
	return "/" + below
}

func serviceCall(r *http.Request, id types.RequestID, body []byte, to config.Upstream) upstream.Call {
	url := strings.TrimSuffix(to.URL, "/") + servicePath(r.URL.EscapedPath())
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	header := make(http.Header, len(r.Header))
	copyEndToEndHeaders(header, r.Header)
	header.Del("Authorization")
	header.Set(headerRequestID, string(id))
	return upstream.Call{Method: r.Method, URL: url, Header: header, Body: body}
}
