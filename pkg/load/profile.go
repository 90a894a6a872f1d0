// Package load generates seeded open-loop traffic for the router. It compares
// every answer with the expected answer of the stand-ins, and measures attainment
// and latency by class, goodput, and wasted work.
package load

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Location of the built-in profiles in the embedded file system.
const (
	profileDir = "profiles"
	profileExt = ".yaml"
)

//go:embed profiles/*.yaml
var profiles embed.FS

// Profile describes the traffic of one site.
type Profile struct {
	Name string `yaml:"name" json:"name"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst raises the rate periodically.
	Burst    Burst     `yaml:"burst" json:"burst"`
	Accounts []Account `yaml:"accounts" json:"accounts"`
	Kinds    []Kind    `yaml:"kinds" json:"kinds"`
}

// Burst multiplies the rate by Factor for Length at the end of every interval of
// Every.
type Burst struct {
	Every  config.Milliseconds `yaml:"every_ms" json:"every_ms"`
	Length config.Milliseconds `yaml:"length_ms" json:"length_ms"`
	Factor float64             `yaml:"factor" json:"factor"`
}

// Account is a client account that sends requests.
type Account struct {
	ID types.AccountID `yaml:"id" json:"id"`
	// Key is the API key.
	Key string `yaml:"key" json:"-"`
	// Weight is the account's relative share of the requests; zero means 1.
	Weight float64 `yaml:"weight" json:"weight"`
}

// Kind is one kind of request. Exactly one of Chat and Service is set.
type Kind struct {
	// Class is the class that the rules are expected to assign to the requests.
	Class types.ClassName `yaml:"class" json:"class"`
	// Tier is the sort key of the classes in the report, highest first.
	Tier types.Tier `yaml:"tier" json:"tier"`
	// Weight is the kind's relative share of the requests.
	Weight float64 `yaml:"weight" json:"weight"`
	// Accounts are the accounts that send the requests; empty means all.
	Accounts []types.AccountID `yaml:"accounts" json:"accounts,omitempty"`
	Headers  map[string]string `yaml:"headers" json:"headers,omitempty"`
	Chat     *Chat             `yaml:"chat" json:"chat,omitempty"`
	Service  *Service          `yaml:"service" json:"service,omitempty"`
	Targets  Targets           `yaml:"targets" json:"targets"`
}

// Chat describes a chat completion.
type Chat struct {
	Model  string `yaml:"model" json:"model"`
	Stream bool   `yaml:"stream" json:"stream"`
	// System is the system message of all requests; empty means none.
	System string `yaml:"system" json:"system,omitempty"`
	// PromptTokens is the median length of the user message, in tokens.
	PromptTokens int `yaml:"prompt_tokens" json:"prompt_tokens"`
	// MaxTokens limits the answer; zero leaves the limit to the engine.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens,omitempty"`
}

// Service describes a call of a plain service.
type Service struct {
	Name   string `yaml:"name" json:"name"`
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
	// Repeatable means that the call may be executed more than once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
}

// Targets are the latency targets of an answer. Zero means no target; Deadline is
// required.
type Targets struct {
	FirstToken        config.Milliseconds `yaml:"first_token_ms" json:"first_token_ms,omitempty"`
	InterTokenLatency config.Milliseconds `yaml:"between_tokens_ms" json:"between_tokens_ms,omitempty"`
	Deadline          config.Milliseconds `yaml:"deadline_ms" json:"deadline_ms"`
}

// BuiltInProfiles returns the names of the built-in profiles.
func BuiltInProfiles() []string {
	entries, err := profiles.ReadDir(profileDir)
	if err != nil {
		// Not reached: the directory is embedded in the binary.
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), profileExt))
	}
	return names
}

// LoadProfile returns the built-in profile with this name, or else reads the YAML
// or JSON file with this name. Errors have the code InvalidSetting.
func LoadProfile(name string) (*Profile, error) {
	if slices.Contains(BuiltInProfiles(), name) {
		text, err := profiles.ReadFile(path.Join(profileDir, name+profileExt))
		if err != nil {
			return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read profile "+name)
		}
		return ParseProfile(text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		message := fmt.Sprintf("no profile %q; the built-in profiles are %s", name, strings.Join(BuiltInProfiles(), ", "))
		return nil, fault.Wrap(fault.InvalidSetting, err, message)
	}
	return ParseProfile(text)
}

// ParseProfile parses and validates a profile in YAML or JSON. Errors have the
// code InvalidSetting.
func ParseProfile(text []byte) (*Profile, error) {
	profile := &Profile{}
	if err := yaml.UnmarshalWithOptions(text, profile, yaml.Strict()); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot parse the profile")
	}
	if problem := profile.check(); problem != "" {
		return nil, fault.New(fault.InvalidSetting, "profile "+profile.Name+": "+problem)
	}
	return profile, nil
}

// check returns a description of the first problem found, or an empty string.
func (p *Profile) check() string {
	if p.Rate <= 0 {
		return "rate must be above zero"
	}
	if p.Burst.Factor < 0 || p.Burst.Length > p.Burst.Every {
		return "burst length must not exceed its interval, and its factor must not be negative"
	}
	if len(p.Accounts) == 0 || len(p.Kinds) == 0 {
		return "accounts and kinds must not be empty"
	}
	for _, kind := range p.Kinds {
		if problem := p.checkKind(kind); problem != "" {
			return fmt.Sprintf("kind %q: %s", kind.Class, problem)
		}
	}
	return ""
}

func (p *Profile) checkKind(kind Kind) string {
	if kind.Class == "" || kind.Weight <= 0 {
		return "class and a weight above zero are required"
	}
	if (kind.Chat == nil) == (kind.Service == nil) {
		return "exactly one of chat and service is required"
	}
	if kind.Targets.Deadline <= 0 {
		return "targets.deadline_ms must be above zero"
	}
	for _, id := range kind.Accounts {
		if !slices.ContainsFunc(p.Accounts, func(a Account) bool { return a.ID == id }) {
			return fmt.Sprintf("unknown account %q", id)
		}
	}
	return ""
}
