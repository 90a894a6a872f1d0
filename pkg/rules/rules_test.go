package rules

import (
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

func TestCheckRejectsInvalidExpressions(t *testing.T) {
	cases := []struct{ name, when, want string }{
		{"syntax", `kind ==`, "unexpected token EOF"},
		{"no boolean", `model`, "expected bool"},
		{"unknown name", `urgency == "high"`, "unknown name urgency"},
		{"wrong types", `prompt_tokens > "many"`, "invalid operation"},
		{"clock", `now().Hour() > 8`, "unknown name now"},
		{"empty", ``, "unexpected token EOF"},
		{"too large", strings.Repeat("stream&&", 500) + "stream", "exceeds maximum allowed nodes"},
		{"too long", strings.Repeat("(", 1<<20), "has 1048576 bytes"},
		{"deep", strings.Repeat("(", 4096), "unexpected token EOF"},
		{"bad pattern", `path matches "("`, "missing closing )"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Check(c.when)
			if err == nil || !strings.Contains(Reason(err), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
			if fault.From(err).Code != fault.InvalidConfiguration {
				t.Errorf("code %v", fault.From(err).Code)
			}
		})
	}
}

func TestMatchReturnsFirstMatchingRule(t *testing.T) {
	list, err := Compile([]Rule{
		{Name: "fails", When: `int(headers["x-count"]) > 3`},
		{Name: "prefix", When: `path startsWith "/claims" and not repeatable`},
		{Name: "pattern", When: `user matches "^agent-[0-9]+$"`},
		{Name: "set", When: `account in ["a", "b"] && max_tokens < 100`},
		{Name: "rest", When: `true`},
	})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name       string
		attributes Attributes
		want       int
	}{
		{"rule with evaluation error does not match", Attributes{Repeatable: true}, 4},
		{"rule without evaluation error matches", Attributes{Headers: map[string]string{"x-count": "4"}}, 0},
		{"prefix", Attributes{Path: "/claims/1"}, 1},
		{"pattern", Attributes{User: "agent-12", Repeatable: true}, 2},
		{"set", Attributes{Account: "b", Repeatable: true}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := list.Match(c.attributes)
			if !ok || got != c.want {
				t.Errorf("rule %d %v, want %d", got, ok, c.want)
			}
		})
	}
}

func TestExplainReportsRulesBeforeTheMatch(t *testing.T) {
	list, err := Compile([]Rule{
		{Name: "urgent", When: `kind == "chat" && (headers["x-urgency"] == "high" || not stream)`},
		{Name: "fails", When: `int(user) > 3`},
		{Name: "long", When: `prompt_tokens > 100`},
		{Name: "rest", When: `true`},
	})
	if err != nil {
		t.Fatal(err)
	}
	got := list.Explain(Attributes{Kind: "chat", Stream: true, PromptTokens: 150, User: "x"})
	if !got.Matched || len(got.Rules) != 3 {
		t.Fatalf("%+v", got)
	}
	urgent := got.Rules[0]
	if urgent.Matched || len(urgent.Conditions) != 3 {
		t.Fatalf("%+v", urgent)
	}
	if c := urgent.Conditions[1]; c.Value != "false" || c.Operands[0].Value != `""` {
		t.Errorf("%+v", c)
	}
	if got.Rules[1].Matched || got.Rules[1].Failure == "" {
		t.Errorf("%+v", got.Rules[1])
	}
	if c := got.Rules[2].Conditions[0]; !got.Rules[2].Matched || c.Operands[0].Value != "150" {
		t.Errorf("%+v", got.Rules[2])
	}
}

func BenchmarkMatch(b *testing.B) {
	rules := make([]Rule, 20)
	for i := range rules {
		rules[i] = Rule{Name: "r", When: `kind == "chat" && labels["plan"] == "none" && headers["x-task"] == "summary"`}
	}
	rules[19].When = `kind == "chat"`
	list, err := Compile(rules)
	if err != nil {
		b.Fatal(err)
	}
	attributes := Attributes{Kind: "chat", Labels: map[string]string{"plan": "clinic"}, Headers: map[string]string{"x-task": "summary"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := list.Match(attributes); !ok {
			b.Fatal("no match")
		}
	}
}

// FuzzCompile checks that every expression either compiles or is rejected with
// code InvalidConfiguration, and that Match and Explain agree on every
// expression that compiles.
func FuzzCompile(f *testing.F) {
	for _, seed := range []string{
		`kind == "chat"`, `labels["a"] != headers.b`, `len(user) in 1..3`, `path matches "^/a+$"`,
		`any(["a"], # == model)`, `let x = 3; x > max_tokens`, `model ?? "x" == nil`, `1 / 0 > prompt_tokens`,
		`((((`, "\x00", `user[5:1] == ""`, `sum(map(1..9, # * 2)) > 3`, `-9223372036854775808 < 0`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, when string) {
		list, err := Compile([]Rule{{Name: "fuzzed", When: when}})
		if err != nil {
			if fault.From(err).Code != fault.InvalidConfiguration {
				t.Fatalf("code %v", fault.From(err).Code)
			}
			return
		}
		attributes := Attributes{Kind: "chat", Headers: map[string]string{"a": "b"}}
		_, matched := list.Match(attributes)
		if got := list.Explain(attributes); got.Matched != matched {
			t.Errorf("explained %v, matched %v", got.Matched, matched)
		}
	})
}

func BenchmarkCompile(b *testing.B) {
	list := []Rule{{Name: "r", When: `kind == "chat" && labels["plan"] == "none" && headers["x-task"] == "summary"`}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(list); err != nil {
			b.Fatal(err)
		}
	}
}
