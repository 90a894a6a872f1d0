// Package relay distributes published configurations to the instances. At each
// instance it reads the configuration service, exchanges versions and parts with
// other instances, and puts valid configurations in force. A configuration is
// applied as a whole and only if it is newer than the one in force, so an
// instance never returns to an older revision.
package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// hintQueueSize is the capacity of the queue of instances that are known to
	// have a newer configuration. Hints beyond it are dropped; the periodic
	// exchanges compensate for them.
	hintQueueSize = 64
	// hintWorkers is the number of hints that are processed at once.
	hintWorkers = 2
	// quickReadThreshold is the duration below which a long poll without a new
	// manifest counts as failed, so the next read is delayed.
	quickReadThreshold = time.Second
)

// Options configures a Relay.
type Options struct {
	// Settings are the intervals and limits; the zero value means DefaultSettings.
	Settings Settings
	Source   configservice.Source
	Caller   peer.Caller
	View     membership.View
	Store    *config.Store
	Recorder timeline.Recorder
	Logger   zerolog.Logger
	// Seed seeds the random choices; zero means a random seed.
	Seed uint64
}

// Relay keeps the configuration of an instance up to date. Its methods are safe
// for concurrent use; Run must be called only once.
type Relay struct {
	options  Options
	settings Settings
	random   *randomSource
	ready    chan struct{}
	hints    chan types.Instance
	// announcements wakes announceLoop.
	announcements chan struct{}
	// applying is a semaphore: one configuration at a time is fetched and compiled.
	applying chan struct{}
	// lifecycle is the state machine of the configuration in force. It is guarded
	// by applying.
	lifecycle *statechart.Machine
	counters  counters
	history   history
}

// New returns a Relay that has not started.
func New(options Options) *Relay {
	settings := options.Settings
	if settings == (Settings{}) {
		settings = DefaultSettings()
	}
	return &Relay{
		options:       options,
		settings:      settings,
		random:        newRandomSource(options.Seed),
		ready:         make(chan struct{}),
		hints:         make(chan types.Instance, hintQueueSize),
		announcements: make(chan struct{}, 1),
		applying:      make(chan struct{}, 1),
	}
}

// Ready returns a channel that is closed when the instance is admitted: it has a
// configuration in force and has queried the other listed instances as required
// by admit.
func (r *Relay) Ready() <-chan struct{} { return r.ready }

// serving reports whether the instance has been admitted.
func (r *Relay) serving() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

// Run runs the relay until ctx is done.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){r.join, r.readLoop, r.auditLoop, r.exchangeLoop, r.announceLoop}
	for range hintWorkers {
		loops = append(loops, r.hintLoop)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// inForce returns the version in force and its snapshot, which is nil if no
// configuration is in force.
func (r *Relay) inForce() (version, *config.Snapshot) {
	current := r.options.Store.Current()
	if current == nil {
		return version{}, nil
	}
	return version{Revision: current.Revision(), Digest: current.Digest()}, current
}

// others returns the live instances except this one.
func (r *Relay) others() []types.Instance {
	return without(r.options.View.Live(), r.options.View.Self().ID)
}

// without returns the instances except the one with the ID.
func without(instances []types.Instance, id types.InstanceID) []types.Instance {
	var result []types.Instance
	for _, instance := range instances {
		if instance.ID != id {
			result = append(result, instance)
		}
	}
	return result
}

// record adds an event of this instance to the time line.
func (r *Relay) record(event timeline.Event) {
	event.Instance = r.options.View.Self().ID
	r.options.Recorder.Record(event)
}
