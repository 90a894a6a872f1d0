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

// generousTimeout is the timeout of transfers in tests that do not check timing.
const generousTimeout = time.Minute

// newLoopbackRelay returns a relay behind a real peer server on loopback.
func newLoopbackRelay(t *testing.T, platform *fakes.Platform, name string) (*Relay, types.Instance) {
	t.Helper()
	options := peer.Options{
		Identity: peer.Identity{Instance: types.InstanceID(name), Incarnation: types.Incarnation(name)},
		Secret:   "a secret of the test",
		Address:  "127.0.0.1:0",
		Logger:   zerolog.Nop(),
		// These connections are real: they must not time out on an overloaded host.
		WriteTimeout: generousTimeout,
		DialTimeout:  generousTimeout,
	}
	server := peer.NewServer(options)
	if err := server.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	instance := types.Instance{ID: types.InstanceID(name), PeerAddress: server.Address()}
	dialer := peer.NewDialer(options)
	settings := DefaultSettings()
	settings.PeerTimeout, settings.PartTimeout = generousTimeout, generousTimeout
	relay := New(Options{
		Settings: settings,
		Source:   platform.Reader(name),
		Caller:   dialer,
		View:     fakes.NewView(instance),
		Store:    config.NewStore(),
		Recorder: &fakes.Recorder{},
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
	return relay, instance
}

// TestLargestPartTransfer transfers a part of nearly 1 MB over a real connection
// between two instances.
func TestLargestPartTransfer(t *testing.T) {
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
	leader, instance := newLoopbackRelay(t, platform, "i1")
	follower, _ := newLoopbackRelay(t, platform, "i2")
	platform.Disconnect("i2")
	leader.readManifest(t.Context(), 0, 0)
	if _, err := follower.exchange(t.Context(), instance); err != nil {
		t.Fatal(err)
	}
	current, _ := follower.inForce()
	if current.Digest != manifest.Digest() {
		t.Errorf("%+v in force", current)
	}
	for _, ref := range manifest.Parts {
		if ref.Name == "rules" && ref.Size < 900_000 {
			t.Errorf("the rules have %d bytes only", ref.Size)
		}
	}
}
