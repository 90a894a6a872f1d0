package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

func TestListIsFollowedAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		published := fakes.NewPlatform()
		self := types.Instance{ID: "a", DataCentre: "lac", State: types.InstanceLive}
		other := types.Instance{ID: "b", DataCentre: "lac", State: types.InstanceLive}
		published.SetInstances([]types.Instance{self, other})
		m := New(Options{Self: self, Incarnation: "a-1", Source: published.Reader("a")})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = m.Run(ctx) }()
		defer func() { cancel(); <-done }()

		synctest.Wait()
		if n := len(m.Live()); n != 2 {
			t.Fatalf("%d instances live, want 2", n)
		}
		published.Cut("a")
		time.Sleep(time.Minute)
		if n := len(m.Live()); n != 2 {
			t.Fatalf("%d instances live without the list, want 2", n)
		}
	})
}
