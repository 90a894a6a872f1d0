// Package docs checks that pages are complete against the code.
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

// configurationPage is the page of all settings and fields.
const configurationPage = "../../docs/CONFIGURATION.md"

// tableRows returns the first cells of the table rows below the heading, up to
// the next heading.
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

// checkRows demands one row for each name and no others.
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
		t.Errorf("%s: a row for %s, which the code does not have", heading, name)
	}
}

// fieldNames returns the JSON names of the fields of a struct, with those of
// nested structs after a dot.
func fieldNames(kind reflect.Type, prefix string) []string {
	var names []string
	for _, field := range reflect.VisibleFields(kind) {
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

func TestEveryFieldHasARow(t *testing.T) {
	sections := map[string]reflect.Type{
		"## The published document": reflect.TypeFor[config.Document](),
		"### Class":                 reflect.TypeFor[config.Class](),
		"### Rule":                  nil,
		"### Target":                reflect.TypeFor[config.Target](),
		"### Upstream":              reflect.TypeFor[config.Upstream](),
		"### Account":               reflect.TypeFor[config.Account](),
	}
	for heading, kind := range sections {
		if kind != nil {
			checkRows(t, heading, fieldNames(kind, ""))
			continue
		}
		attributes := fieldNames(reflect.TypeFor[rules.Attributes](), "")
		checkRows(t, heading, append(fieldNames(reflect.TypeFor[config.Rule](), ""), attributes...))
	}
}

func TestEverySettingHasARowWithItsDefault(t *testing.T) {
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
		shown := strings.Trim(cells[1], " `")
		if !sameDefault(shown, defaultOf(f)) {
			t.Errorf("--%s: the page shows the default %q, the code has %q", f.Name, shown, defaultOf(f))
		}
	})
	checkRows(t, heading, names)
}

// defaultOf returns a flag's default as the page writes it.
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

// sameDefault compares a default of the page with one of the code. Durations
// may be written in different ways.
func sameDefault(shown, coded string) bool {
	if shown == coded {
		return true
	}
	a, errA := time.ParseDuration(shown)
	b, errB := time.ParseDuration(coded)
	return errA == nil && errB == nil && a == b
}
