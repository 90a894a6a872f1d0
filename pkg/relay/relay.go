// Package relay brings published configurations to an instance: it reads the
// platform, exchanges revisions and parts with other instances, and puts valid
// configurations in force.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/platform"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// Options are what a Relay works with.
type Options struct {
	Settings Settings
	Source   platform.Source
	Caller   peer.Caller
	View     membership.View
	Store    *config.Store
	Recorder timeline.Recorder
	Logger   zerolog.Logger
}

// Settings are the relay's intervals and bounds.
type Settings struct {
	// LongPoll is how long one read of the service waits for a change.
	LongPoll time.Duration
	// RetryDelay is the pause after a read that failed.
	RetryDelay time.Duration
}

// DefaultSettings returns the settings of a production instance.
func DefaultSettings() Settings {
	return Settings{LongPoll: 25 * time.Second, RetryDelay: time.Second}
}

// Relay keeps an instance's configuration up to date. Its methods are safe for
// concurrent use; Run is called once.
type Relay struct {
	options Options
	ready   chan struct{}
	once    sync.Once
}

// New returns a Relay that has not started.
func New(options Options) *Relay {
	if options.Settings == (Settings{}) {
		options.Settings = DefaultSettings()
	}
	return &Relay{options: options, ready: make(chan struct{})}
}

// Register takes the relay's peer methods into service.
func (r *Relay) Register(peer.Registrar) {}

// Ready is closed when the instance may serve.
func (r *Relay) Ready() <-chan struct{} { return r.ready }

// Run works until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.poll(ctx); err != nil {
			r.options.Logger.Warn().Err(err).Msg("configuration not read")
			pause(ctx, r.options.Settings.RetryDelay)
		}
	}
	return nil
}

// poll waits for one manifest and applies it.
func (r *Relay) poll(ctx context.Context) error {
	current := r.options.Store.Current()
	held := platform.Manifest{}
	if current != nil {
		held = current.Manifest()
	}
	manifest, err := r.options.Source.WaitManifest(ctx, held.Revision, r.options.Settings.LongPoll)
	if err != nil {
		return err
	}
	if manifest.Revision <= held.Revision {
		return nil
	}
	return r.take(ctx, manifest, current)
}

// take fetches the parts of a manifest and puts it in force.
func (r *Relay) take(ctx context.Context, manifest platform.Manifest, current *config.Snapshot) error {
	parts := make([]config.Encoded, 0, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		part, err := r.fetch(ctx, ref, current)
		if err != nil {
			return err
		}
		parts = append(parts, config.Encoded{Name: ref.Name, Digest: ref.Digest, Bytes: part})
	}
	snapshot, err := config.CompileParts(manifest.Revision, parts, current)
	if err != nil {
		r.record(timeline.Event{Kind: timeline.ConfigRejected, Revision: manifest.Revision, Code: string(fault.From(err).Code), Detail: err.Error()})
		return err
	}
	if err := r.options.Store.Apply(snapshot); err != nil {
		return err
	}
	r.record(timeline.Event{Kind: timeline.ConfigApplied, Revision: manifest.Revision})
	r.once.Do(func() { close(r.ready) })
	return nil
}

// fetch returns a part from the configuration in force or from the service.
func (r *Relay) fetch(ctx context.Context, ref platform.PartRef, current *config.Snapshot) ([]byte, error) {
	if current != nil {
		if part, ok := current.Part(ref); ok {
			return part, nil
		}
	}
	return r.options.Source.Part(ctx, ref)
}

// record keeps an event of the time line.
func (r *Relay) record(event timeline.Event) {
	event.Instance = r.options.View.Self().ID
	r.options.Recorder.Record(event)
}

// pause waits for the duration or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
