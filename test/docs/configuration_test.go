// Package docs checks that the documentation covers the code completely.
package docs

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/node"
	"github.com/umbercrank/umbercrank/pkg/rules"
)

// configurationPage is the path of the reference page of all settings and fields.
const configurationPage = "../../docs/CONFIGURATION.md"

// tableRows returns the table rows between the heading and the next one. The key is
// the name in the first cell, the value holds the remaining cells.
func tableRows(t *testing.T, heading string) map[string][]string {
	t.Helper()
	text, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n"+heading+"\n")
	if !found {
		t.Fatalf("the page has no heading %q", heading)
	}
	section, _, _ = strings.Cut(section, "\n#")
	rows := map[string][]string{}
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) > 2 && strings.Contains(cells[1], "`") {
			rows[strings.Trim(cells[1], " `")] = cells[2:]
		}
	}
	return rows
}

// checkRows checks that the tables below the heading have a row for each name and
// no other rows.
func checkRows(t *testing.T, heading string, names []string) {
	t.Helper()
	rows := tableRows(t, heading)
	for _, name := range names {
		if _, ok := rows[name]; !ok {
			t.Errorf("%s: no row for %s", heading, name)
		}
		delete(rows, name)
	}
	for name := range rows {
		t.Errorf("%s: the row for %s has no counterpart in the code", heading, name)
	}
}

// fieldNames returns the JSON names of the fields of a struct type, including those
// of nested structs in dotted form, each with the prefix.
func fieldNames(structType reflect.Type, prefix string) []string {
	var names []string
	for _, field := range reflect.VisibleFields(structType) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		names = append(names, prefix+name)
		if field.Type.Kind() == reflect.Struct {
			names = append(names, fieldNames(field.Type, prefix+name+".")...)
		}
	}
	return names
}

func TestEveryFieldIsDocumented(t *testing.T) {
	sections := map[string]reflect.Type{
		"## The published document": reflect.TypeFor[config.Document](),
		"### Class":                 reflect.TypeFor[config.Class](),
		"### Rule":                  nil,
		"### Target":                reflect.TypeFor[config.Target](),
		"### Upstream":              reflect.TypeFor[config.Upstream](),
		"### Account":               reflect.TypeFor[config.Account](),
	}
	for heading, structType := range sections {
		if structType != nil {
			checkRows(t, heading, fieldNames(structType, ""))
			continue
		}
		attributes := fieldNames(reflect.TypeFor[rules.Attributes](), "")
		checkRows(t, heading, append(fieldNames(reflect.TypeFor[config.Rule](), ""), attributes...))
	}
}

func TestEverySettingIsDocumentedWithDefault(t *testing.T) {
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	new(node.Settings).AddFlags(flags)
	const heading = "## Settings of `umbercrank serve`"
	rows := tableRows(t, heading)
	var names []string
	flags.VisitAll(func(f *pflag.Flag) {
		names = append(names, "--"+f.Name)
		cells := rows["--"+f.Name]
		if len(cells) < 4 {
			return
		}
		documented := strings.Trim(cells[1], " `")
		if !sameDefault(documented, defaultOf(f)) {
			t.Errorf("--%s: the page shows the default %q, the code has %q", f.Name, documented, defaultOf(f))
		}
	})
	checkRows(t, heading, names)
}

// defaultOf returns the default of a flag in the notation of the page.
func defaultOf(f *pflag.Flag) string {
	switch {
	case f.DefValue == "" && strings.Contains(f.Usage, "required"):
		return "required"
	case f.DefValue == "":
		return "none"
	default:
		return f.DefValue
	}
}

// sameDefault reports whether a default on the page equals one in the code.
// Durations are compared by value, so their notation may differ.
func sameDefault(documented, coded string) bool {
	if documented == coded {
		return true
	}
	a, errA := time.ParseDuration(documented)
	b, errB := time.ParseDuration(coded)
	return errA == nil && errB == nil && a == b
}
