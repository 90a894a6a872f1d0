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

// Directory and file extension of the embedded chart files.
const (
	chartDirectory = "charts"
	chartExtension = ".yaml"
)

//go:embed charts/*.yaml
var files embed.FS

// loaded caches the parsed and validated charts by name.
var loaded sync.Map

// Load returns the embedded chart with the given name. It returns an error with
// code InvalidChart if there is no such chart or the chart is invalid.
func Load(name string) (*Chart, error) {
	if chart, ok := loaded.Load(name); ok {
		return chart.(*Chart), nil
	}
	text, err := files.ReadFile(path.Join(chartDirectory, name+chartExtension))
	if err != nil {
		return nil, fault.Wrap(fault.InvalidChart, err, "unknown chart "+name)
	}
	chart, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if chart.Name != name {
		return nil, invalid(chart, "file name "+name+" does not match the chart name")
	}
	loaded.Store(name, chart)
	return chart, nil
}

// MustLoad returns the embedded chart with the given name. It panics if there is no such
// chart or it is invalid, which the tests of this package rule out.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Names returns the names of the embedded charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir(chartDirectory)
	if err != nil {
		// The directory is embedded and always readable.
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), chartExtension))
	}
	slices.Sort(names)
	return names
}

// Parse parses and validates a chart in YAML. It returns an error with code
// InvalidChart if the text is malformed or the chart is invalid.
func Parse(text []byte) (*Chart, error) {
	chart := &Chart{}
	if err := yaml.UnmarshalWithOptions(text, chart, yaml.Strict()); err != nil {
		return nil, fault.Wrap(fault.InvalidChart, err, "cannot parse the chart")
	}
	if err := check(chart); err != nil {
		return nil, err
	}
	return chart, nil
}

// invalid returns an InvalidChart error for the chart.
func invalid(chart *Chart, message string) error {
	return fault.New(fault.InvalidChart, "chart "+chart.Name+": "+message)
}
