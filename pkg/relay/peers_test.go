package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// patient is the time limit of transfers whose time is not what a test checks.
const patient = time.Minute

// realRelay is a relay behind a real peer server on loopback.
func realRelay(t *testing.T, platform *fakes.Platform, name string) (*Relay, types.Instance) {
	t.Helper()
	options := peer.Options{
		Identity: peer.Identity{Instance: types.InstanceID(name), Incarnation: types.Incarnation(name)},
		Secret:   "a secret of the test",
		Address:  "127.0.0.1:0",
		Logger:   zerolog.Nop(),
		// These connections are real: a starved machine must not end them.
		WriteTimeout: patient,
		DialTimeout:  patient,
	}
	server := peer.NewServer(options)
	if err := server.Listen(); err != nil {
		t.Fatal(err)
	}
	row := types.Instance{ID: types.InstanceID(name), PeerAddress: server.Address()}
	dialer := peer.NewDialer(options)
	settings := DefaultSettings()
	settings.PeerTimeout, settings.PartTimeout = patient, patient
	relay := New(Options{
		Settings: settings,
		Source:   platform.Reader(name),
		Caller:   dialer,
		View:     fakes.NewView(row),
		Store:    config.NewStore(),
		Recorder: &fakes.Log{},
		Logger:   zerolog.Nop(),
	})
	relay.Register(server)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	serve := func() {
		defer close(done)
		_ = server.Serve(ctx)
	}
	t.Cleanup(func() {
		cancel()
		dialer.Close()
		<-done
	})
	go serve()
	return relay, row
}

// TestLargestPartTravelsBetweenInstances moves a part of nearly 1 MB over the
// real connection of instances.
func TestLargestPartTravelsBetweenInstances(t *testing.T) {
	platform := fakes.NewPlatform()
	large := document()
	for i := range 240 {
		rule := large.Rules[0]
		rule.Name = fmt.Sprintf("rule-%d", i)
		rule.When = `path == "` + strings.Repeat("x", 4000) + `"`
		large.Rules = append(large.Rules, rule)
	}
	manifest, err := platform.Publish(large)
	if err != nil {
		t.Fatal(err)
	}
	leader, row := realRelay(t, platform, "i1")
	follower, _ := realRelay(t, platform, "i2")
	platform.Cut("i2")
	leader.readOnce(t.Context(), 0, 0)
	if _, err := follower.exchange(t.Context(), row); err != nil {
		t.Fatal(err)
	}
	held, _ := follower.held()
	if held.Digest != manifest.Digest() {
		t.Errorf("%+v in force", held)
	}
	for _, ref := range manifest.Parts {
		if ref.Name == "rules" && ref.Size < 900_000 {
			t.Errorf("the rules have %d bytes only", ref.Size)
		}
	}
}
