package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// hexKey returns the key_sha256 value of an API key.
func hexKey(apiKey string) string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

// sampleDocument returns a valid document with the number of accounts.
func sampleDocument(accounts int) *Document {
	high := types.Tier(5)
	document := &Document{
		Classes: []Class{
			{Name: "live", Tier: 4, FirstToken: 320, InterTokenLatency: 73, Deadline: 20_000, Floor: Floor{Starts: 1, Interval: 10_000}},
			{Name: "draft", Tier: 1, Deadline: 60_000, Floor: Floor{Starts: 1, Interval: 30_000}, Preemptible: true},
		},
		Rules: []Rule{
			{Name: "ringing", When: `headers["x-urgency"] == "ringing" && kind == "chat"`, Class: "live", Target: "small", Tier: &high},
			{Name: "chat", When: `kind == "chat" && labels["plan"] != "batch"`, Class: "live", Target: "small"},
			{Name: "rest", When: `kind == "chat"`, Class: "draft", Target: "small"},
			{Name: "queue", When: `service == "queue"`, Class: "live", Target: "queue"},
		},
		Targets: []Target{
			{Name: "small", Kind: EngineTarget, Model: "small-1"},
			{Name: "queue", Kind: ServiceTarget, Service: "queue"},
		},
		Upstreams: []Upstream{
			{ID: "e1", Target: "small", DataCentre: "lac", URL: "http://127.0.0.1:9001", MaxConcurrent: 16, KVTokens: 100_000},
			{ID: "e2", Target: "small", DataCentre: "ariana", URL: "http://127.0.0.1:9002", MaxConcurrent: 16, KVTokens: 100_000},
			{ID: "q1", Target: "queue", DataCentre: "lac", URL: "http://127.0.0.1:9003", MaxConcurrent: 8},
		},
	}
	for i := range accounts {
		document.Accounts = append(document.Accounts, sampleAccount(i))
	}
	return document
}

func sampleAccount(i int) Account {
	return Account{
		ID:        types.AccountID(fmt.Sprintf("account-%05d", i)),
		KeySHA256: []string{hexKey(fmt.Sprintf("key-%d", i))},
		Labels:    map[string]string{"plan": "standard"},
		Limits:    Limits{RequestsPerSecond: 50, Concurrent: 100, Weight: 1},
	}
}

func TestClassify(t *testing.T) {
	snapshot, err := Compile(7, sampleDocument(3))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name       string
		attributes rules.Attributes
		rule       string
		tier       types.Tier
	}{
		{"first match decides", rules.Attributes{Kind: "chat", Headers: map[string]string{"x-urgency": "ringing"}}, "ringing", 5},
		{"absent header", rules.Attributes{Kind: "chat"}, "chat", 4},
		{"label", rules.Attributes{Kind: "chat", Labels: map[string]string{"plan": "batch"}}, "rest", 1},
		{"service", rules.Attributes{Kind: "service", Service: "queue"}, "queue", 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision, err := snapshot.Classify(c.attributes)
			if err != nil {
				t.Fatal(err)
			}
			if decision.Rule != c.rule || decision.Tier != c.tier {
				t.Errorf("rule %q tier %d, want %q tier %d", decision.Rule, decision.Tier, c.rule, c.tier)
			}
		})
	}
	if _, err := snapshot.Classify(rules.Attributes{Kind: "service", Service: "other"}); fault.From(err).Code != fault.NoRuleMatches {
		t.Errorf("no rule: %v", err)
	}
}

func TestSnapshotLookups(t *testing.T) {
	snapshot, err := Compile(7, sampleDocument(300))
	if err != nil {
		t.Fatal(err)
	}
	account, ok := snapshot.AccountByKey("key-123")
	if !ok || account.ID != "account-00123" || account.Labels["plan"] != "standard" {
		t.Errorf("account = %+v %v", account, ok)
	}
	if _, ok := snapshot.AccountByKey("key-none"); ok {
		t.Error("an unknown key has an account")
	}
	pools := snapshot.Pools("small")
	if len(pools) != 2 || pools[0].DataCentre != "ariana" || len(snapshot.PoolUpstreams(pools[0])) != 1 {
		t.Errorf("pools = %v", pools)
	}
	if target, ok := snapshot.TargetForModel("small-1"); !ok || target.Name != "small" {
		t.Errorf("target = %v %v", target, ok)
	}
}

func TestAssembleReversesSplit(t *testing.T) {
	document := sampleDocument(40)
	parts, err := Split(document)
	if err != nil {
		t.Fatal(err)
	}
	joined, err := Assemble(parts)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Split(joined)
	if err != nil {
		t.Fatal(err)
	}
	_, before := Encode(1, parts)
	_, after := Encode(1, again)
	if before.Digest() != after.Digest() {
		t.Error("the parts of the assembled document differ")
	}
}

func TestStoreAppliesOnlyNewerRevisions(t *testing.T) {
	store := NewStore()
	changed := store.Changed()
	for _, step := range []struct {
		revision types.Revision
		accounts int
		applied  bool
	}{{5, 1, true}, {4, 1, false}, {5, 1, false}, {6, 1, true}} {
		snapshot, err := Compile(step.revision, sampleDocument(step.accounts))
		if err != nil {
			t.Fatal(err)
		}
		err = store.Apply(snapshot)
		if (err == nil) != step.applied {
			t.Errorf("revision %d: %v", step.revision, err)
		}
		if err != nil && fault.From(err).Code != fault.StaleRevision {
			t.Errorf("code = %v", err)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("the change was not announced")
	}
}

// TestNewerIsATotalOrder checks that Newer orders manifests of one revision, so
// that all instances choose the same one.
func TestNewerIsATotalOrder(t *testing.T) {
	if Newer(3, "a", 3, "a") || !Newer(3, "b", 3, "a") || Newer(3, "a", 3, "b") || !Newer(4, "a", 3, "b") {
		t.Error("the order is not total")
	}
}
