package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
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
