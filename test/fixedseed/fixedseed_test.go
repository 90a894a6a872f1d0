package fixedseed

import (
	"flag"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	rapidPath = `"pgregory.net/rapid"`
	ownPath   = `"github.com/umbercrank/umbercrank/test/fixedseed"`
	// childVariable makes TestSeedOfProcess print the seed for the test that started it.
	childVariable = "FIXEDSEED_PRINT"
)

// TestAllPropertyTestsHaveFixedSeed guards against a test file that uses rapid without the
// fixed seed, whose result would differ from run to run.
func TestAllPropertyTestsHaveFixedSeed(t *testing.T) {
	uses := 0
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		var imports []string
		for _, spec := range file.Imports {
			imports = append(imports, spec.Path.Value)
		}
		if file.Name.Name == "fixedseed" || !slices.Contains(imports, rapidPath) {
			return nil
		}
		uses++
		if !slices.Contains(imports, ownPath) {
			t.Errorf("%s imports rapid but not %s", path, ownPath)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if uses == 0 {
		t.Error("no test file that uses rapid was found")
	}
}

// TestSeedOfProcess guards against a fixed seed that the command line or the environment
// cannot replace, or that is not set without them.
func TestSeedOfProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		if _, err := os.Stdout.WriteString("seed=" + flag.Lookup(seedFlag).Value.String() + "\n"); err != nil {
			t.Fatal(err)
		}
		return
	}
	for _, c := range []struct {
		name, flag, variable, want string
	}{
		{name: "neither", want: seed},
		{name: "flag", flag: "-rapid.seed=42", want: "42"},
		{name: "flag for a random seed", flag: "-rapid.seed=0", want: "0"},
		{name: "variable", variable: seedVariable + "=43", want: "43"},
		{name: "both", flag: "-rapid.seed=42", variable: seedVariable + "=43", want: "42"},
	} {
		t.Run(c.name, func(t *testing.T) {
			arguments := []string{"-test.run=^TestSeedOfProcess$"}
			if c.flag != "" {
				arguments = append(arguments, c.flag)
			}
			command := exec.CommandContext(t.Context(), os.Args[0], arguments...)
			command.Env = append(environmentWithoutSeed(), childVariable+"=1")
			if c.variable != "" {
				command.Env = append(command.Env, c.variable)
			}
			output, err := command.CombinedOutput()
			if err != nil {
				t.Fatalf("%v: %s", err, output)
			}
			if !slices.Contains(strings.Split(string(output), "\n"), "seed="+c.want) {
				t.Errorf("got %q, want seed %s", output, c.want)
			}
		})
	}
}

// environmentWithoutSeed returns the environment without the variable of rapid's seed.
func environmentWithoutSeed() []string {
	return slices.DeleteFunc(os.Environ(), func(variable string) bool {
		return strings.HasPrefix(variable, seedVariable+"=")
	})
}
