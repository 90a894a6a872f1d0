package dispatch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

const testEntry types.Incarnation = "entry"

func enqueueOf(id types.RequestID) pool.Event {
	return pool.Event{Enqueue: &pool.Request{ID: id, Entry: testEntry}}
}

func registerOf(id types.RequestID, upstream types.UpstreamID) pool.Event {
	return pool.Event{Register: &pool.Running{Request: pool.Request{ID: id, Entry: testEntry}, Upstream: upstream}}
}

func finishOf(id types.RequestID, upstream types.UpstreamID) pool.Event {
	return pool.Event{Finish: &pool.Finish{ID: id, Upstream: upstream, Reason: pool.FinishCrashed}}
}

// formatEvents returns a short text form of the events.
func formatEvents(events []pool.Event) string {
	text := ""
	for _, e := range events {
		switch {
		case e.Enqueue != nil:
			text += " enqueue:" + string(e.Enqueue.ID)
		case e.Register != nil:
			text += " register:" + string(e.Register.Request.ID)
		case e.Progress != nil:
			text += " progress:" + string(e.Progress.ID)
		case e.Finish != nil:
			text += fmt.Sprintf(" finish:%s:%s", e.Finish.ID, e.Finish.Reason)
		case e.Cancel != nil:
			text += " cancel:" + string(e.Cancel.ID)
		}
	}
	return text
}

func TestReconcileEvents(t *testing.T) {
	cases := []struct {
		name         string
		tracked      []pool.Event
		initialState []pool.Event
		want         string
	}{
		{"nothing tracked", nil, []pool.Event{registerOf("a", "u"), enqueueOf("b")}, " register:a enqueue:b"},
		{"waiting on both sides", []pool.Event{enqueueOf("a")}, []pool.Event{enqueueOf("a")}, ""},
		{"running on both sides", []pool.Event{registerOf("a", "u")}, []pool.Event{registerOf("a", "u")}, " progress:a"},
		{"lost grant", []pool.Event{registerOf("a", "u")}, []pool.Event{enqueueOf("a")}, " finish:a:expired enqueue:a"},
		{"granted by another dispatcher", []pool.Event{enqueueOf("a")}, []pool.Event{registerOf("a", "u")}, " cancel:a register:a"},
		{"running on another upstream", []pool.Event{registerOf("a", "u")}, []pool.Event{registerOf("a", "v")}, " finish:a:cancelled register:a"},
		{"lost cancel", []pool.Event{enqueueOf("a")}, nil, " cancel:a"},
		{"lost finish", []pool.Event{registerOf("a", "u")}, nil, " finish:a:cancelled"},
		{"resent finish", []pool.Event{registerOf("a", "u")}, []pool.Event{finishOf("a", "u")}, " finish:a:crashed"},
		{"finish already applied", nil, []pool.Event{finishOf("a", "u")}, ""},
		{"finished and enqueued again", []pool.Event{registerOf("a", "u")},
			[]pool.Event{finishOf("a", "u"), enqueueOf("a")}, " finish:a:crashed enqueue:a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newRequestTable()
			for _, event := range c.tracked {
				table.recordEvent(testEntry, event)
			}
			if got := formatEvents(table.reconcile(testEntry, c.initialState)); got != c.want {
				t.Fatalf("events%s, want%s", got, c.want)
			}
		})
	}
}

func TestEventsFromOtherEntryIgnored(t *testing.T) {
	table := newRequestTable()
	table.recordEvent(testEntry, registerOf("a", "u"))
	table.recordEvent(testEntry, enqueueOf("b"))
	if table.recordEvent("other", finishOf("a", "u")) || table.recordEvent("other", pool.Event{Cancel: &pool.Cancel{ID: "b"}}) {
		t.Fatal("another entry ended a request")
	}
	if table.running != 1 || table.waiting != 1 {
		t.Fatalf("%d running and %d waiting requests, want 1 and 1", table.running, table.waiting)
	}
}

// TestReconcileMatchesInitialState generates random tracked requests and a
// random initial state. After reconcile, the tracked requests of the entry must
// equal the initial state.
func TestReconcileMatchesInitialState(t *testing.T) {
	draw := func(t *rapid.T, label string) map[types.RequestID]types.UpstreamID {
		return rapid.MapOf(
			rapid.SampledFrom([]types.RequestID{"a", "b", "c", "d"}),
			rapid.SampledFrom([]types.UpstreamID{"", "u", "v"}),
		).Draw(t, label)
	}
	rapid.Check(t, func(t *rapid.T) {
		table := newRequestTable()
		for id, upstream := range draw(t, "held") {
			table.set(id, testEntry, upstream)
		}
		table.set("other", "other entry", "u")
		want := draw(t, "opening")
		var initialState []pool.Event
		for id, upstream := range want {
			if upstream == "" {
				initialState = append(initialState, enqueueOf(id))
			} else {
				initialState = append(initialState, registerOf(id, upstream))
			}
		}
		table.reconcile(testEntry, initialState)
		if len(table.byID) != len(want)+1 || table.waiting+table.running != len(want)+1 {
			t.Fatalf("%d tracked requests, want %d", len(table.byID), len(want)+1)
		}
		for id, upstream := range want {
			if tracked, ok := table.byID[id]; !ok || tracked.upstream != upstream {
				t.Fatalf("%s is tracked as %+v, want upstream %q", id, tracked, upstream)
			}
		}
	})
}
