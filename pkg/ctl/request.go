package ctl

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// sampleRequest is a request to be classified by explain or diff.
type sampleRequest struct {
	// Name identifies the sample in the output of diff.
	Name string `json:"name"`
	rules.Attributes
}

// parseSample parses one request. Requests are repeatable by default.
func parseSample(text []byte) (sampleRequest, error) {
	sample := sampleRequest{Attributes: rules.Attributes{Repeatable: true}}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&sample); err != nil {
		return sample, fault.Wrap(fault.InvalidSetting, err, "invalid request")
	}
	sample.Headers = lowerKeys(sample.Headers)
	return sample, nil
}

// readSamples reads a JSON or YAML list of requests from a file.
func readSamples(file string) ([]sampleRequest, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	asJSON, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read "+file)
	}
	var list []json.RawMessage
	if err := json.Unmarshal(asJSON, &list); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, file+" is not a list of requests")
	}
	samples := make([]sampleRequest, 0, len(list))
	for _, item := range list {
		sample, err := parseSample(item)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample)
	}
	return samples, nil
}

// withLabels adds the labels of the account in the document, unless the request
// already has labels.
func withLabels(attributes rules.Attributes, document *config.Document) rules.Attributes {
	if attributes.Labels != nil {
		return attributes
	}
	for _, account := range document.Accounts {
		if account.ID == types.AccountID(attributes.Account) {
			attributes.Labels = account.Labels
		}
	}
	return attributes
}

// lowerKeys returns the headers with lower-case names.
func lowerKeys(headers map[string]string) map[string]string {
	if headers == nil {
		return nil
	}
	lower := make(map[string]string, len(headers))
	for name, value := range headers {
		lower[strings.ToLower(name)] = value
	}
	return lower
}

// requestFlags are the flags that describe one request.
type requestFlags struct {
	json          string
	attributes    rules.Attributes
	notRepeatable bool
}

// bind defines the flags on the command.
func (r *requestFlags) bind(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&r.json, "request", "", "the complete request as a JSON object; the other flags are then ignored")
	flags.StringVar(&r.attributes.Kind, "kind", "chat", "chat or service")
	flags.StringVar(&r.attributes.Model, "model", "", "model of a chat request")
	flags.StringVar(&r.attributes.Service, "service", "", "name of a service")
	flags.StringVar(&r.attributes.Method, "method", "POST", "HTTP method")
	flags.StringVar(&r.attributes.Path, "path", "", "path after the name of the service")
	flags.StringVar(&r.attributes.Account, "account", "", "client account; its labels are those of FILE unless --label is given")
	flags.StringToStringVar(&r.attributes.Labels, "label", nil, "label of the account as name=value; may be repeated")
	flags.StringToStringVar(&r.attributes.Headers, "header", nil, "HTTP header as name=value; may be repeated")
	flags.IntVar(&r.attributes.PromptTokens, "prompt-tokens", 0, "length of the prompt in tokens")
	flags.IntVar(&r.attributes.MaxTokens, "max-tokens", 0, "maximum length of the answer in tokens; 0 means unknown")
	flags.BoolVar(&r.attributes.Stream, "stream", false, "the caller requests a streamed answer")
	flags.BoolVar(&r.notRepeatable, "not-repeatable", false, "the request must not be repeated")
	flags.StringVar(&r.attributes.User, "user", "", "end user named in the request")
}

// request returns the request that the flags describe.
func (r *requestFlags) request() (rules.Attributes, error) {
	if r.json != "" {
		sample, err := parseSample([]byte(r.json))
		return sample.Attributes, err
	}
	attributes := r.attributes
	if len(attributes.Labels) == 0 {
		attributes.Labels = nil
	}
	attributes.Headers = lowerKeys(attributes.Headers)
	attributes.Repeatable = !r.notRepeatable
	return attributes, nil
}
