package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const second = time.Second

// configured returns a Configure event with the given classes and n engines.
func configured(n, slots int, classes ...config.Class) Event {
	c := &Configure{Revision: 1, Classes: classes}
	for i := range n {
		c.Upstreams = append(c.Upstreams, config.Upstream{
			ID: types.UpstreamID(fmt.Sprintf("u%d", i)), MaxConcurrent: slots,
		})
	}
	return Event{Configure: c}
}

// request returns a repeatable request of the tier with a long deadline.
func request(id string, tier types.Tier) *Request {
	return &Request{
		ID: types.RequestID(id), Entry: "e1", Class: types.ClassName(fmt.Sprintf("c%d", tier)),
		Tier: tier, Account: "a", DeadlineIn: time.Minute, Repeatable: true,
	}
}

func grants(actions []Action) []string {
	var ids []string
	for _, a := range actions {
		if a.Grant != nil {
			ids = append(ids, string(a.Grant.ID))
		}
	}
	return ids
}

func refusals(actions []Action) []string {
	var ids []string
	for _, a := range actions {
		if a.Refuse != nil {
			ids = append(ids, string(a.Refuse.ID))
		}
	}
	return ids
}

func TestHigherTierStartsFirst(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 1))
	p.Handle(0, Event{Enqueue: request("first", 1)})
	p.Handle(0, Event{Enqueue: request("low", 1)})
	p.Handle(0, Event{Enqueue: request("high", 5)})
	got := grants(p.Handle(second, Event{Finish: &Finish{ID: "first", Upstream: "u0", Reason: FinishComplete}}))
	if len(got) != 1 || got[0] != "high" {
		t.Fatalf("granted %v, want high", got)
	}
}

func TestFullQueueShedsLowestTier(t *testing.T) {
	s := DefaultSettings()
	s.QueueLimit = 1
	p := New(s)
	p.Handle(0, configured(1, 1))
	p.Handle(0, Event{Enqueue: request("runs", 5)})
	p.Handle(0, Event{Enqueue: request("low", 1)})
	got := refusals(p.Handle(0, Event{Enqueue: request("high", 5)}))
	if len(got) != 1 || got[0] != "low" {
		t.Fatalf("refused %v, want low", got)
	}
}

func TestLeavingUpstreamReceivesNoGrants(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 4))
	p.Handle(0, Event{Upstream: &Upstream{ID: "u0", Leaving: true}})
	if got := grants(p.Handle(0, Event{Enqueue: request("r", 1)})); len(got) != 0 {
		t.Fatalf("granted %v on a leaving upstream", got)
	}
}

// withVersions returns a Configure event with one engine of one slot for each version.
func withVersions(versions ...types.SoftwareVersion) Event {
	event := configured(len(versions), 1)
	for i, version := range versions {
		event.Configure.Upstreams[i].Version = version
	}
	return event
}

func resumed(id string, version types.SoftwareVersion) *Request {
	r := request(id, 1)
	r.Version = &version
	return r
}

func TestInterruptedStreamContinuesOnlyAtItsVersion(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, withVersions("v1", "v2", "v2"))
	for i, id := range []string{"a", "b"} {
		actions := p.Handle(0, Event{Enqueue: resumed(id, "v2")})
		if len(actions) != 1 || actions[0].Grant == nil || actions[0].Grant.Upstream == "u0" {
			t.Fatalf("stream %d of v2: %+v", i, actions)
		}
	}
	if actions := p.Handle(0, Event{Enqueue: resumed("c", "v2")}); len(grants(actions)) != 0 {
		t.Fatalf("a stream of v2 starts at an engine of v1: %+v", actions)
	}
	if got := grants(p.Handle(0, Event{Enqueue: request("any", 1)})); len(got) != 1 || got[0] != "any" {
		t.Fatalf("granted %v: a stream that waits for its version blocks another request", got)
	}
	if got := grants(p.Handle(second, Event{Finish: &Finish{ID: "a", Upstream: "u1", Reason: FinishComplete}})); len(got) != 1 || got[0] != "c" {
		t.Fatalf("granted %v, want c", got)
	}
}

func TestStreamOfAVersionWithoutEngineIsRefused(t *testing.T) {
	for _, last := range []bool{false, true} {
		p := New(DefaultSettings())
		p.Handle(0, withVersions("v1", "v2"))
		p.Handle(0, Event{Upstream: &Upstream{ID: "u0", Leaving: true}})
		stream := resumed("a", "v1")
		stream.LastPool = last
		actions := p.Handle(0, Event{Enqueue: stream})
		if len(actions) != 1 || actions[0].Refuse == nil || actions[0].Refuse.Code != fault.NoUpstream {
			t.Errorf("last pool %v: %+v", last, actions)
		}
	}
}

func TestPreemptionForStreamTakesOnlyItsVersion(t *testing.T) {
	p := New(DefaultSettings())
	event := withVersions("v1", "v2")
	event.Configure.Classes = []config.Class{{Name: "c0", Preemptible: true}, {Name: "c1", Tier: 1, Preemptible: true}, {Name: "c5", Tier: 5}}
	p.Handle(0, event)
	// The cheaper victim runs at the engine of the other version.
	for tier, version := range []types.SoftwareVersion{"v1", "v2"} {
		low := resumed(fmt.Sprint("low", tier), version)
		low.Tier, low.Class, low.Preemptible = types.Tier(tier), types.ClassName(fmt.Sprint("c", tier)), true
		p.Handle(0, Event{Enqueue: low})
	}
	high := resumed("high", "v2")
	high.Tier, high.Class, high.DeadlineIn = 5, "c5", 100*time.Millisecond
	var preempted []types.RequestID
	for now := time.Duration(0); now < 100*time.Millisecond; now += 5 * time.Millisecond {
		event := Event{}
		if now == 0 {
			event.Enqueue = high
		}
		for _, action := range p.Handle(now, event) {
			if action.Preempt != nil {
				preempted = append(preempted, action.Preempt.ID)
			}
		}
	}
	if len(preempted) != 1 || p.running[preempted[0]].engine.config.Version != "v2" {
		t.Errorf("preempted %v, want the one at the engine of v2", preempted)
	}
}
