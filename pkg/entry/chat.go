package entry

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// chatPath is the path of chat completions on engines.
const chatPath = "/v1/chat/completions"

// serveChat serves a chat completion, buffered or streamed.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, _ iris.Context) error {
	account, snapshot, err := e.authenticate(r)
	if err != nil {
		return e.withKeyRunState(inboundRequest{httpRequest: r}, err)
	}
	in := inboundRequest{httpRequest: r, waited: e.options.Meter.Waited(), account: account, snapshot: snapshot}
	body, memory, err := e.readBody(w, r)
	if err != nil {
		return e.withKeyRunState(in, err)
	}
	defer memory.Release()
	if !memory.Reserve(upstream.ChatMemory(body)) {
		return e.withKeyRunState(in, intake.ErrNoMemory.WithRetryAfter(e.settings.BusyRetryAfter))
	}
	in.body, in.memory = body, memory
	chat, err := parseChat(in)
	if err != nil {
		return e.withKeyRunState(in, err)
	}
	repeatable, err := parseRepeatable(r.Header, true)
	if err != nil {
		return e.withKeyRunState(in, err)
	}
	in.parts = promptParts(chat)
	in.attributes = chatAttributes(chat, account, r, repeatable)
	in.answer = func(w http.ResponseWriter, in inboundRequest, req *request) error {
		return e.answerChat(w, in, req, chat)
	}
	return e.serve(w, in)
}

// parseChat parses the body and checks that a target serves its model.
func parseChat(in inboundRequest) (*upstream.ChatRequest, error) {
	chat, err := upstream.ParseChat(in.body)
	if err != nil {
		return nil, err
	}
	if _, ok := in.snapshot.TargetForModel(chat.Model); !ok {
		return nil, fault.New(fault.UnknownModel, "no target serves the model "+chat.Model)
	}
	return chat, nil
}

func (e *Entry) answerChat(w http.ResponseWriter, in inboundRequest, req *request, chat *upstream.ChatRequest) error {
	if chat.Stream {
		return e.answerStream(w, in, req, chat)
	}
	return e.answerBuffered(w, in, req, &bufferedExchange{
		newCall: func(to config.Upstream) (upstream.Call, error) {
			return chatCall(chat, req, nil, to)
		},
		fromEngine: true,
		memory:     e.newAnswerMemory(),
	})
}

func chatAttributes(chat *upstream.ChatRequest, account config.Account, r *http.Request, repeatable bool) rules.Attributes {
	return rules.Attributes{
		Kind:         kindChat,
		Model:        chat.Model,
		Method:       r.Method,
		Path:         r.URL.Path,
		Account:      string(account.ID),
		Labels:       account.Labels,
		Headers:      ruleHeaders(r.Header),
		PromptTokens: chat.PromptTokens,
		MaxTokens:    chat.MaxTokens,
		Stream:       chat.Stream,
		Repeatable:   repeatable,
		User:         chat.User,
	}
}

// chatCall returns the call for a chat completion. If the caller already has a
// partial answer, the call requests the rest.
func chatCall(chat *upstream.ChatRequest, req *request, partial *upstream.PartialAnswer, to config.Upstream) (upstream.Call, error) {
	body, err := chat.Body(req.decision.Tier, partial)
	if err != nil {
		return upstream.Call{}, err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, string(req.id))
	url := strings.TrimSuffix(to.URL, "/") + chatPath
	return upstream.Call{Method: http.MethodPost, URL: url, Header: header, Body: body}, nil
}
