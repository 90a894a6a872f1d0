// Package load drives seeded, open-loop traffic at the router as its callers
// would, checks every answer against the text that the stand-ins must give, and
// measures attainment, goodput and wasted work by class.
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

// The place of the built-in profiles.
const (
	profileDirectory = "profiles"
	profileEnding    = ".yaml"
)

//go:embed profiles/*.yaml
var profiles embed.FS

// Profile describes the traffic of one site.
type Profile struct {
	Name string `yaml:"name" json:"name"`
	// Rate is the mean number of requests a second outside bursts.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst raises the rate from time to time.
	Burst    Burst     `yaml:"burst" json:"burst"`
	Accounts []Account `yaml:"accounts" json:"accounts"`
	Kinds    []Kind    `yaml:"kinds" json:"kinds"`
}

// Burst multiplies the rate by Factor during Length at the end of each Every.
type Burst struct {
	Every  config.Milliseconds `yaml:"every_ms" json:"every_ms"`
	Length config.Milliseconds `yaml:"length_ms" json:"length_ms"`
	Factor float64             `yaml:"factor" json:"factor"`
}

// Account is one client account that sends requests.
type Account struct {
	ID types.AccountID `yaml:"id" json:"id"`
	// Key is the API key.
	Key string `yaml:"key" json:"-"`
	// Weight is the account's share of the requests; zero means one.
	Weight float64 `yaml:"weight" json:"weight"`
}

// Kind is one kind of request. Exactly one of Chat and Service is set.
type Kind struct {
	// Class is the class that the rules give to the requests.
	Class types.ClassName `yaml:"class" json:"class"`
	// Tier orders the classes in the report.
	Tier types.Tier `yaml:"tier" json:"tier"`
	// Weight is the share of the requests.
	Weight float64 `yaml:"weight" json:"weight"`
	// Accounts restricts who sends the requests; empty means every account.
	Accounts []types.AccountID `yaml:"accounts" json:"accounts,omitempty"`
	Headers  map[string]string `yaml:"headers" json:"headers,omitempty"`
	Chat     *Chat             `yaml:"chat" json:"chat,omitempty"`
	Service  *Service          `yaml:"service" json:"service,omitempty"`
	Targets  Targets           `yaml:"targets" json:"targets"`
}

// Chat is a chat completion.
type Chat struct {
	Model  string `yaml:"model" json:"model"`
	Stream bool   `yaml:"stream" json:"stream"`
	// System is the shared first message; empty means none.
	System string `yaml:"system" json:"system,omitempty"`
	// PromptTokens is the median length of the prompt.
	PromptTokens int `yaml:"prompt_tokens" json:"prompt_tokens"`
	// MaxTokens bounds the answer; zero leaves it to the engine.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens,omitempty"`
}

// Service is a call of a plain service.
type Service struct {
	Name   string `yaml:"name" json:"name"`
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
	// Repeatable says that the call may run more than once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
}

// Targets are the latencies that an answer must keep; zero means none.
type Targets struct {
	FirstToken    config.Milliseconds `yaml:"first_token_ms" json:"first_token_ms,omitempty"`
	BetweenTokens config.Milliseconds `yaml:"between_tokens_ms" json:"between_tokens_ms,omitempty"`
	Deadline      config.Milliseconds `yaml:"deadline_ms" json:"deadline_ms"`
}

// BuiltIn returns the names of the built-in profiles.
func BuiltIn() []string {
	entries, err := profiles.ReadDir(profileDirectory)
	if err != nil {
		// The directory is compiled in.
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), profileEnding))
	}
	return names
}

// LoadProfile returns the built-in profile of the name, or reads the file of
// that name, in YAML or JSON. Failures have the code InvalidSetting.
func LoadProfile(name string) (*Profile, error) {
	if slices.Contains(BuiltIn(), name) {
		text, err := profiles.ReadFile(path.Join(profileDirectory, name+profileEnding))
		if err != nil {
			return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read profile "+name)
		}
		return ParseProfile(text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		message := fmt.Sprintf("no profile %q; built in are %s", name, strings.Join(BuiltIn(), ", "))
		return nil, fault.Wrap(fault.InvalidSetting, err, message)
	}
	return ParseProfile(text)
}

// ParseProfile reads and checks a profile in YAML or JSON.
func ParseProfile(text []byte) (*Profile, error) {
	profile := &Profile{}
	if err := yaml.UnmarshalWithOptions(text, profile, yaml.Strict()); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read the profile")
	}
	if problem := profile.check(); problem != "" {
		return nil, fault.New(fault.InvalidSetting, "profile "+profile.Name+": "+problem)
	}
	return profile, nil
}

// check returns what is wrong with the profile, or an empty text.
func (p *Profile) check() string {
	if p.Rate <= 0 {
		return "rate must be above zero"
	}
	if p.Burst.Factor < 0 || p.Burst.Length > p.Burst.Every {
		return "burst must be shorter than its interval and have a factor above zero"
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
