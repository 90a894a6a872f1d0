// Package rules compiles and evaluates the when expressions of the ordered rule
// list. An expression is a pure function of a request's attributes: it reads no
// clock and does no I/O, so every instance gets the same result. A compiled List
// is immutable and safe for concurrent use.
package rules

// Attributes are the request attributes available to an expression. The expr
// tags define their names in the rule language.
type Attributes struct {
	// Kind is "chat" for a model request and "service" for a service call.
	Kind string `expr:"kind" json:"kind"`
	// Model is the model name of a chat request.
	Model string `expr:"model" json:"model"`
	// Service is the service name of a service call.
	Service string `expr:"service" json:"service"`
	// Method is the HTTP method in upper case.
	Method string `expr:"method" json:"method"`
	// Path is the path of a service call relative to the service name.
	Path string `expr:"path" json:"path"`
	// Account is the ID of the client account.
	Account string `expr:"account" json:"account"`
	// Labels are the published labels of the client account.
	Labels map[string]string `expr:"labels" json:"labels"`
	// Headers holds the first value of each HTTP header by lower-case name.
	Headers map[string]string `expr:"headers" json:"headers"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `expr:"prompt_tokens" json:"prompt_tokens"`
	// MaxTokens is the maximum length of the answer in tokens; zero means unknown.
	MaxTokens int `expr:"max_tokens" json:"max_tokens"`
	// Stream is true if the caller requested a streaming answer.
	Stream bool `expr:"stream" json:"stream"`
	// Repeatable is false for a call marked as not repeatable.
	Repeatable bool `expr:"repeatable" json:"repeatable"`
	// User is the end user given in the request by the caller.
	User string `expr:"user" json:"user"`
}
