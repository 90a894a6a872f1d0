package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// problemsOf parses and validates a text and returns the problems in the form that
// the check command prints.
func problemsOf(t *testing.T, text string) []string {
	t.Helper()
	document, err := Parse([]byte(text))
	if err == nil {
		err = Validate(document)
	}
	if code := fault.From(err).Code; err != nil && code != fault.InvalidConfiguration {
		t.Fatalf("code %s", code)
	}
	var lines []string
	for _, problem := range Problems(err) {
		lines = append(lines, fmt.Sprintf("%d: %s", problem.Line, problem))
	}
	return lines
}

func TestParseErrorsNameLineItemAndField(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty", "", "1: the document is empty"},
		{"list", "[1, 2]", "1: "},
		{"broken", "{\"classes\": [\n{\"name\": 1]", "2: "},
		{"two documents", "{\"classes\": []}\n{}", "2: there is text after the document"},
		{"unknown section", `{"clases": []}`, `1: field clases: unknown field "clases"`},
		{"unknown field", "{\"classes\": [\n{\"name\": \"x\",\n\"teir\": 1}]}", `3: class x: field teir: unknown field "teir"`},
		{"field in other case", "{\"classes\": [\n{\"Name\": \"x\"}]}", `2: class #1: field Name: unknown field "Name"`},
		{"repeated key", "{\"classes\": [\n{\"name\": \"x\",\n\"name\": \"y\"}]}", `3: class x: field name: the key "name" is repeated`},
		{"repeated section", "{\"rules\": [],\n\"rules\": []}", `2: field rules: the key "rules" is repeated`},
		{"wrong type", "{\"classes\": [{\"name\": \"x\"},\n{\"name\": \"y\", \"tier\": \"high\"}]}", "2: class y: field tier: a value of type string does not fit here"},
		{"wrong type in an account", "{\"accounts\": [{\"id\": \"a\"},\n{\"id\": \"b\",\n\"key_sha256\": [3]}]}", "3: account b: field key_sha256: a value of type number does not fit here"},
		{"unknown nested field", "{\"classes\": [\n{\"name\": \"x\", \"floor\": {\"start\": 1}}]}", `2: class x: field floor: unknown field "start"`},
		{"yaml unknown field", "classes:\n  - name: x\n    teir: 1\n", `3: class x: field teir: unknown field "teir"`},
		{"yaml wrong type", "classes:\n  - name: x\n    tier: [1]\n", "3: class x: field tier: a value of type array does not fit here"},
		{"yaml repeated key", "classes:\n  - name: x\n    tier: 1\n    tier: 2\n", `4: class x: field tier: mapping key "tier" already defined`},
		{"yaml broken", "classes:\n  - name: \"x\n", "2: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := problemsOf(t, c.text)
			if len(got) == 0 || !strings.HasPrefix(got[0], c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestValidationErrorsNameItemAndField(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Document)
		want   string
	}{
		{"no rules", func(d *Document) { d.Rules = nil }, "rules: at least one is required"},
		{"class name", func(d *Document) { d.Classes[1].Name = "live" }, "class live: field name: is in use"},
		{"class tier", func(d *Document) { d.Classes[0].Tier = 16 }, "class live: field tier: is 16, allowed are 0 to 15"},
		{"class deadline", func(d *Document) { d.Classes[0].Deadline = 0 }, "class live: field deadline_ms"},
		{"first token late", func(d *Document) { d.Classes[0].FirstToken = 20_001 }, "class live: field first_token_ms"},
		{"floor missing", func(d *Document) { d.Classes[0].Floor = Floor{} }, "class live: field floor.starts"},
		{"floor without interval", func(d *Document) { d.Classes[0].Floor.Interval = 0 }, "class live: field floor.interval_ms"},
		{"rule name", func(d *Document) { d.Rules[1].Name = "ringing" }, "rule ringing: field name: is in use"},
		{"rule without a name", func(d *Document) { d.Rules[1].Name = "" }, "rule #2: field name: is required"},
		{"rule syntax", func(d *Document) { d.Rules[2].When = "kind ==" }, "rule rest: field when: unexpected token"},
		{"rule unknown name", func(d *Document) { d.Rules[2].When = "urgency > 1" }, "rule rest: field when: unknown name urgency"},
		{"rule no boolean", func(d *Document) { d.Rules[2].When = "model" }, "rule rest: field when: expected bool"},
		{"rule empty", func(d *Document) { d.Rules[2].When = "" }, "rule rest: field when"},
		{"rule clock", func(d *Document) { d.Rules[2].When = "now().Hour() > 8" }, "rule rest: field when: unknown name now"},
		{"rule class", func(d *Document) { d.Rules[2].Class = "gone" }, `rule rest: field class: no class is named "gone"`},
		{"rule target", func(d *Document) { d.Rules[2].Target = "gone" }, `rule rest: field target: no target is named "gone"`},
		{"rule tier", func(d *Document) { *d.Rules[0].Tier = -1 }, "rule ringing: field tier: is -1"},
		{"target kind", func(d *Document) { d.Targets[0].Kind = "gpu" }, `target small: field kind: is "gpu"`},
		{"target model", func(d *Document) { d.Targets[0].Model = "" }, "target small: field model: is required"},
		{"target both", func(d *Document) { d.Targets[1].Model = "m" }, "target queue: field model: is not allowed"},
		{"target name", func(d *Document) { d.Targets[1].Name = "small" }, "target small: field name: is in use"},
		{"upstream id", func(d *Document) { d.Upstreams[1].ID = "e1" }, "upstream e1: field id: is in use"},
		{"upstream target", func(d *Document) { d.Upstreams[1].Target = "gone" }, "upstream e2: field target"},
		{"upstream place", func(d *Document) { d.Upstreams[1].DataCentre = "" }, "upstream e2: field data_centre"},
		{"upstream scheme", func(d *Document) { d.Upstreams[1].URL = "ftp://x" }, "upstream e2: field url"},
		{"upstream port out of range", func(d *Document) { d.Upstreams[1].URL = "http://x:99999" }, "upstream e2: field url"},
		{"upstream port zero", func(d *Document) { d.Upstreams[1].URL = "http://x:0" }, "upstream e2: field url"},
		{"upstream without a host", func(d *Document) { d.Upstreams[1].URL = "http://:80" }, "upstream e2: field url"},
		{"upstream query", func(d *Document) { d.Upstreams[1].URL = "http://x/?a=1" }, "upstream e2: field url"},
		{"upstream slots", func(d *Document) { d.Upstreams[1].MaxConcurrent = 0 }, "upstream e2: field max_concurrent: is 0"},
		{"service with cache", func(d *Document) { d.Upstreams[2].KVTokens = 1 }, "upstream q1: field kv_tokens: is for engines"},
		{"account id", func(d *Document) { d.Accounts[1].ID = "account-00000" }, "account account-00000: field id: is in use"},
		{"account key", func(d *Document) { d.Accounts[1].KeySHA256[0] = "ab" }, "account account-00001: field key_sha256: a value is not"},
		{"account key twice", func(d *Document) { d.Accounts[1].KeySHA256 = d.Accounts[0].KeySHA256 }, "account account-00001: field key_sha256: a value is in use"},
		{"account rate", func(d *Document) { d.Accounts[1].Limits.RequestsPerSecond = -1 }, "account account-00001: field limits.requests_per_second"},
		{"name too long", func(d *Document) { d.Rules[2].Name = strings.Repeat("x", 129) }, "rule " + strings.Repeat("x", 129) + ": field name: has 129 bytes"},
		{"floors above the pool", func(d *Document) { d.Classes[0].Floor = Floor{Starts: 16, Interval: 10_000} }, "target small: the floors of its classes start 17 requests at once, its smallest pool has 16 places"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document := sampleDocument(3)
			c.change(document)
			text, err := json.MarshalIndent(document, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			got := problemsOf(t, string(text))
			found := slices.ContainsFunc(got, func(problem string) bool {
				line, message, _ := strings.Cut(problem, ": ")
				return line != "0" && strings.HasPrefix(message, c.want)
			})
			if !found {
				t.Errorf("got %q, want %q", got, c.want)
			}
			checkPartsRejected(t, document, c.want)
		})
	}
}

// checkPartsRejected checks that the parts of the document, which instances read,
// are rejected too, with and without a previous configuration.
func checkPartsRejected(t *testing.T, document *Document, want string) {
	t.Helper()
	parts, err := Split(document)
	if err != nil {
		t.Fatal(err)
	}
	before, err := Compile(1, sampleDocument(3))
	if err != nil {
		t.Fatal(err)
	}
	encoded, _ := Encode(2, parts)
	for _, previous := range []*Snapshot{nil, before} {
		if _, err := CompileParts(2, encoded, previous); fault.From(err).Code != fault.InvalidConfiguration {
			t.Errorf("%s: the parts are accepted (previous %v)", want, previous != nil)
		}
	}
}

func TestCompilePartsRejectsInvalidParts(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"yaml", "classes: []", "invalid character 'c'"},
		{"empty", "", "the document ends early"},
		{"deep", `{"accounts": ` + strings.Repeat("[", MaxPartBytes/2), "nested too deeply"},
		{"deep object", strings.Repeat(`{"labels":`, 1000), `unknown field "labels"`},
		{"broken", `{"rules": [{]}`, "invalid character"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := CompileParts(1, []EncodedPart{{Name: "p", Bytes: []byte(c.text)}}, nil)
			problems := Problems(err)
			if len(problems) != 1 || problems[0].Part != "p" || !strings.Contains(problems[0].Message, c.want) {
				t.Errorf("%+v", problems)
			}
		})
	}
}

func TestOversizedPartIsRejected(t *testing.T) {
	large := EncodedPart{Name: "rules", Bytes: bytes.Repeat([]byte(" "), MaxPartBytes+1)}
	if _, err := CompileParts(1, []EncodedPart{large}, nil); fault.From(err).Code != fault.InvalidConfiguration {
		t.Errorf("%v", err)
	}
	document := sampleDocument(0)
	document.Rules[0].When = `path != "` + strings.Repeat("x", MaxPartBytes) + `"`
	if _, err := Compile(1, document); fault.From(err).Code != fault.InvalidConfiguration {
		t.Errorf("%v", err)
	}
}

func TestCheckManifest(t *testing.T) {
	large := func(count, size int) configservice.Manifest {
		manifest := configservice.Manifest{Revision: 1}
		for i := range count {
			manifest.Parts = append(manifest.Parts, configservice.PartRef{Name: fmt.Sprint(i), Size: size})
		}
		return manifest
	}
	cases := []struct {
		name     string
		manifest configservice.Manifest
		valid    bool
	}{
		{"largest parts", large(24, MaxPartBytes), true},
		{"most parts", large(4096, 1), true},
		{"too large a part", large(1, MaxPartBytes+1), false},
		{"too many parts", large(4097, 1), false},
		{"too much in all", large(25, MaxPartBytes), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := CheckManifest(c.manifest); (err == nil) != c.valid {
				t.Errorf("%v", err)
			}
		})
	}
}
