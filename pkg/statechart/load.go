package statechart

import (
	"embed"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/goccy/go-yaml"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// The directory and the ending of the embedded chart files.
const (
	chartDirectory = "charts"
	chartEnding    = ".yaml"
)

//go:embed charts/*.yaml
var files embed.FS

// loaded holds the charts that were parsed and checked, by name.
var loaded sync.Map

// Load returns the embedded chart of the name, parsed and checked. It returns a
// fault of code InvalidChart when there is none or a check fails.
func Load(name string) (*Chart, error) {
	if chart, ok := loaded.Load(name); ok {
		return chart.(*Chart), nil
	}
	text, err := files.ReadFile(path.Join(chartDirectory, name+chartEnding))
	if err != nil {
		return nil, fault.Wrap(fault.InvalidChart, err, "no chart "+name)
	}
	chart, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if chart.Name != name {
		return nil, invalid(chart, "the file of "+name+" has another name")
	}
	loaded.Store(name, chart)
	return chart, nil
}

// Names returns the names of the embedded charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir(chartDirectory)
	if err != nil {
		// The directory is compiled in.
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), chartEnding))
	}
	slices.Sort(names)
	return names
}

// Parse reads and checks one chart in YAML. It returns a fault of code
// InvalidChart when the text is malformed or a check fails.
func Parse(text []byte) (*Chart, error) {
	chart := &Chart{}
	if err := yaml.UnmarshalWithOptions(text, chart, yaml.Strict()); err != nil {
		return nil, fault.Wrap(fault.InvalidChart, err, "cannot read the chart")
	}
	if err := check(chart); err != nil {
		return nil, err
	}
	return chart, nil
}

func invalid(chart *Chart, message string) error {
	return fault.New(fault.InvalidChart, "chart "+chart.Name+": "+message)
}
