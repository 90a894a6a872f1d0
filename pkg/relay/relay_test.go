package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

func document() *config.Document {
	return &config.Document{
		Classes:   []config.Class{{Name: "live", Deadline: 1000, Floor: config.Floor{Starts: 1, Interval: 1000}}},
		Rules:     []config.Rule{{Name: "all", When: "true", Class: "live", Target: "small"}},
		Targets:   []config.Target{{Name: "small", Kind: config.EngineTarget, Model: "m"}},
		Upstreams: []config.Upstream{{ID: "e1", Target: "small", DataCentre: "lac", URL: "http://127.0.0.1:9", MaxConcurrent: 4}},
	}
}

func TestRelayAppliesPublishedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakes.NewPlatform()
		network := fakes.NewNetwork(1)
		caller, registrar := network.AddNode("i1", peer.Identity{Instance: "i1"})
		store := config.NewStore()
		relay := New(Options{Source: platform.Reader("i1"), Caller: caller, View: fakes.NewView(types.Instance{ID: "i1", DataCentre: "lac", PeerAddress: "i1"}), Store: store, Recorder: &fakes.Recorder{}, Logger: zerolog.Nop()})
		relay.Register(registrar)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go relay.Run(ctx)
		if _, err := platform.Publish(document()); err != nil {
			t.Fatal(err)
		}
		<-relay.Ready()
		if got := store.Current().Revision(); got != 1 {
			t.Errorf("revision %d", got)
		}
		time.Sleep(time.Minute)
		if _, err := platform.Publish(document()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := store.Current().Revision(); got != 2 {
			t.Errorf("revision %d", got)
		}
	})
}
