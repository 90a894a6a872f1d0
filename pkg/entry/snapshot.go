package entry

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Attributes is what a rule may test of a request.
type Attributes struct {
	Kind         string
	Model        string
	Service      string
	Method       string
	Path         string
	Account      string
	Labels       map[string]string
	Headers      map[string]string
	PromptTokens int
	MaxTokens    int
	Stream       bool
	Repeatable   bool
	User         string
}

// Decision is the outcome of the rules for one request.
type Decision struct {
	Rule   string
	Class  config.Class
	Tier   types.Tier
	Target config.Target
}

// Snapshot is what the entry reads of one published configuration.
type Snapshot interface {
	AccountByKey(apiKey string) (config.Account, bool)
	Models() []string
	TargetForModel(model string) (config.Target, bool)
	TargetForService(name string) (config.Target, bool)
	Classify(attributes Attributes) (Decision, error)
}

// Store holds the configuration in force.
type Store interface {
	// Current returns nil until the first configuration is in force.
	Current() Snapshot
}
