package causal

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// loopback delivers messages to the registered handlers as JSON, like a
// connection.
type loopback struct{ handlers map[string]peer.Handler }

func (l loopback) Handle(method string, handler peer.Handler) { l.handlers[method] = handler }

func (l loopback) Call(ctx context.Context, _, method string, params, result any) error {
	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := l.handlers[method](ctx, peer.Identity{}, sent)
	if err != nil {
		return err
	}
	received, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(received, result)
}

func (l loopback) Notify(ctx context.Context, address, method string, params any) error {
	var ignored json.RawMessage
	return l.Call(ctx, address, method, params, &ignored)
}

// newRing returns a ring with a fixed wall clock.
func newRing(name string, at time.Time) *timeline.Ring {
	return timeline.NewRing(types.InstanceID(name), 16, func() time.Time { return at })
}

func TestStampsKeepCausalOrderUnderClockSkew(t *testing.T) {
	base := time.Unix(1000, 0)
	ahead, behind := newRing("ahead", base.Add(3*time.Second)), newRing("behind", base)
	l := loopback{handlers: map[string]peer.Handler{}}
	NewRegistrar(l, behind).Handle("echo", func(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
		behind.Record(timeline.Event{Kind: timeline.RequestGranted})
		return params, nil
	})
	caller := NewCaller(l, ahead)
	ahead.Record(timeline.Event{Kind: timeline.RequestEnqueued})
	var got string
	if err := caller.Call(t.Context(), "", "echo", "body", &got); err != nil || got != "body" {
		t.Fatalf("response %q, error %v", got, err)
	}
	ahead.Record(timeline.Event{Kind: timeline.AttemptStarted})
	if err := caller.Notify(t.Context(), "", "echo", "body"); err != nil {
		t.Fatal(err)
	}
	merged := timeline.Merge(behind.Events(timeline.Stamp{}), ahead.Events(timeline.Stamp{}))
	want := []timeline.Kind{timeline.RequestEnqueued, timeline.RequestGranted, timeline.AttemptStarted, timeline.RequestGranted}
	for i, event := range merged {
		if event.Kind != want[i] {
			t.Errorf("event %d is %s of %s, want %s", i, event.Kind, event.Instance, want[i])
		}
	}
}

func TestHandlerErrorsAndUnstampedMessages(t *testing.T) {
	ring := newRing("one", time.Unix(1000, 0))
	l := loopback{handlers: map[string]peer.Handler{}}
	NewRegistrar(l, ring).Handle("fail", func(context.Context, peer.Identity, json.RawMessage) (any, error) {
		return nil, fault.New(fault.NotReady, "not yet")
	})
	if err := NewCaller(l, ring).Call(t.Context(), "", "fail", nil, nil); !errors.Is(err, fault.New(fault.NotReady, "")) {
		t.Errorf("error of the handler: %v", err)
	}
	if err := l.Notify(t.Context(), "", "fail", "no envelope"); !errors.Is(err, fault.New(fault.BadRequest, "")) {
		t.Errorf("unstamped message: %v", err)
	}
}
