package ctl

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/config"
)

const exampleDocument = "../../examples/rappel-sahel.json"

// runCtl runs one command line and returns its exit status and outputs.
func runCtl(t *testing.T, arguments ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, failures bytes.Buffer
	status = Main(t.Context(), arguments, &out, &failures)
	return status, out.String(), failures.String()
}

// writeTemp writes a temporary file and returns its path.
func writeTemp(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// changedExample writes a copy of the example document with old replaced by new
// and returns its path.
func changedExample(t *testing.T, old, new string) string {
	t.Helper()
	text, err := os.ReadFile(exampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("the example has no %q", old)
	}
	return writeTemp(t, "changed.json", strings.Replace(string(text), old, new, 1))
}

func TestCheckAcceptsExamples(t *testing.T) {
	status, stdout, _ := runCtl(t, "check", exampleDocument, "../../examples/kavtaradze.json")
	if status != ExitOK || strings.Count(stdout, ": ok: ") != 2 || strings.Contains(stdout, "warning") {
		t.Errorf("status %d, %s", status, stdout)
	}
}

func TestCheckReportsLineAndField(t *testing.T) {
	file := changedExample(t, `"class": "backlog-card"`, `"class": "backlog"`)
	status, stdout, stderr := runCtl(t, "check", file)
	want := file + `:15: rule backlog: field class: no class is named "backlog"` + "\n"
	if status != ExitFailed || stdout != want || !strings.Contains(stderr, "1 of 1 documents refused") {
		t.Errorf("status %d, stdout %q, stderr %q", status, stdout, stderr)
	}
}

func TestCheckWarnsAboutHighFloors(t *testing.T) {
	file := changedExample(t, `"deadline_ms": 120000, "floor": {"starts": 1, "interval_ms": 60000}`, `"deadline_ms": 120000, "floor": {"starts": 30, "interval_ms": 1000}`)
	status, stdout, _ := runCtl(t, "check", file)
	if status != ExitOK || !strings.Contains(stdout, ":18: warning: target summaries: the floors") {
		t.Errorf("status %d, %s", status, stdout)
	}
}

func TestCheckWritesPartsThatCompile(t *testing.T) {
	directory := t.TempDir()
	if status, _, stderr := runCtl(t, "check", "--parts", directory, exampleDocument); status != ExitOK {
		t.Fatalf("status %d, %s", status, stderr)
	}
	parts := map[string][]byte{}
	err := fs.WalkDir(os.DirFS(directory), ".", func(name string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			parts[name], err = os.ReadFile(filepath.Join(directory, name))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	encoded, _ := config.Encode(1, parts)
	snapshot, err := config.CompileParts(1, encoded, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := snapshot.AccountByKey("demo-key-essai"); !ok || len(snapshot.Rules()) != 6 {
		t.Errorf("%d rules", len(snapshot.Rules()))
	}
}

func TestCheckMissingFileReturnsExitUsage(t *testing.T) {
	if status, _, _ := runCtl(t, "check", "none.json"); status != ExitUsage {
		t.Errorf("status %d", status)
	}
}

func TestExplain(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		status    int
		want      []string
	}{
		{"labels of the account", []string{"--account", "clinique-marsa", "--header", "X-Task=summary"}, ExitOK, []string{
			"rule 3 agent-is-ringing: does not match",
			`headers["x-callback-state"] == "ringing" is false (headers["x-callback-state"] is "")`,
			"rule 4 clinic-summaries: matches",
			"class ringing-summary, tier 4, target summaries",
		}},
		{"json", []string{"--request", `{"kind":"service","service":"queue","repeatable":false}`}, ExitOK, []string{
			"rule 1 claims: matches", "class callback-claim, tier 5, target callback-queue",
		}},
		{"repeatable by default", []string{"--request", `{"kind":"service","service":"queue"}`}, ExitOK, []string{"rule 2 queue: matches"}},
		{"no rule", []string{"--kind", "service", "--service", "other"}, ExitFailed, []string{"rule 6 backlog: does not match"}},
		{"unknown attribute", []string{"--request", `{"urgency":1}`}, ExitUsage, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, stdout, stderr := runCtl(t, append([]string{"explain", exampleDocument}, c.arguments...)...)
			if status != c.status {
				t.Errorf("status %d, %s", status, stderr)
			}
			for _, want := range c.want {
				if !strings.Contains(stdout, want) {
					t.Errorf("%q is not in\n%s", want, stdout)
				}
			}
		})
	}
}

func TestDiff(t *testing.T) {
	file := changedExample(t, `"target": "summaries", "tier": 4`, `"target": "summaries", "tier": 3`)
	samples := writeTemp(t, "samples.yaml", `
- name: clinic summary
  kind: chat
  account: clinique-marsa
  headers: {X-Task: summary}
- kind: chat
- {name: claim, kind: service, service: queue, repeatable: false}
`)
	status, stdout, stderr := runCtl(t, "diff", exampleDocument, file, "--requests", samples)
	if want := "clinic summary: tier 4 -> 3\n1 of 3 requests change\n"; status != ExitOK || stdout != want {
		t.Errorf("status %d, stdout %q, stderr %q", status, stdout, stderr)
	}
}

// TestCheckRefusesInvalidDocuments compares the output of check for each document
// in testdata/bad with the .want file of the same name.
func TestCheckRefusesInvalidDocuments(t *testing.T) {
	wants, err := filepath.Glob("testdata/bad/*.want")
	if err != nil || len(wants) == 0 {
		t.Fatalf("%d documents, %v", len(wants), err)
	}
	for _, want := range wants {
		name := strings.TrimSuffix(want, ".want")
		t.Run(filepath.Base(name), func(t *testing.T) {
			documents, err := filepath.Glob(name + ".[jy]*")
			if err != nil || len(documents) != 1 {
				t.Fatalf("%v, %v", documents, err)
			}
			text, err := os.ReadFile(want)
			if err != nil {
				t.Fatal(err)
			}
			status, stdout, _ := runCtl(t, "check", documents[0])
			if status != ExitFailed || stdout != string(text) {
				t.Errorf("status %d, got\n%s want\n%s", status, stdout, text)
			}
		})
	}
}
