package fleet

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/load"
)

// overload is a load profile with far more requests of the lowest tier than one
// engine can serve, and a few requests of the highest tier.
const overload = `
name: overload
rate: 80
accounts: [{id: clinic}]
kinds:
  - {class: draft, tier: 1, weight: 9, headers: {x-task: draft}, chat: {model: demo-model, prompt_tokens: 40}, targets: {deadline_ms: 20000}}
  - {class: live-chat, tier: 5, weight: 1, chat: {model: demo-model, stream: true, prompt_tokens: 40, max_tokens: 40}, targets: {deadline_ms: 20000}}
`

// TestOverloadDoesNotRefuseHighestTier overloads the only engine with preemptible
// drafts of the lowest tier. The chats alone need a small part of the engine's
// capacity, so none of them may be refused.
func TestOverloadDoesNotRefuseHighestTier(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := startInBubble(t, size{instances: 3, engines: 1, services: 0, step: 5 * time.Millisecond})
		profile, err := load.ParseProfile([]byte(overload))
		if err != nil {
			t.Fatal(err)
		}
		report, err := load.Run(t.Context(), load.Options{
			Profile: profile, Addresses: f.instances, Duration: 2 * time.Second, RateFactor: 1, Seed: seed(t), Callers: 6, Dial: f.dial(),
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, class := range report.Classes {
			t.Logf("class %s: %d offered, %v, codes %v", class.Class, class.Offered, class.Results, class.Codes)
			if class.Class == "live-chat" && class.Results[load.Answered] != class.Offered {
				t.Errorf("live-chat: results %v, want all %d answered", class.Results, class.Offered)
			}
		}
		if report.Violations != 0 {
			t.Errorf("violations %q", report.Details)
		}
	})
}
