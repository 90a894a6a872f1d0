// Package relay brings published configurations to an instance: it reads the
// platform, exchanges versions and parts with other instances, and puts valid
// configurations in force. Only newer configurations are taken, whole, so an
// instance never goes back.
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
	// hintQueue bounds the instances that are known to be ahead and wait to be
	// asked. Hints beyond it are dropped; the exchanges make up for them.
	hintQueue = 64
	// followers is the number of hints that are followed at once.
	followers = 2
	// fastAnswer is the time below which a read that brought nothing did not
	// wait as it was asked to.
	fastAnswer = time.Second
)

// Options are what a Relay works with.
type Options struct {
	// Settings are the intervals and bounds; the zero value means the defaults.
	Settings Settings
	Source   configservice.Source
	Caller   peer.Caller
	View     membership.View
	Store    *config.Store
	Recorder timeline.Recorder
	Logger   zerolog.Logger
	// Seed makes the random choices repeatable; zero means any.
	Seed uint64
}

// Relay keeps an instance's configuration up to date. Its methods are safe for
// concurrent use; Run is called once.
type Relay struct {
	options  Options
	settings Settings
	chance   *chance
	ready    chan struct{}
	hints    chan types.Instance
	// applied wakes announceLoop.
	applied chan struct{}
	// taking lets one configuration at a time be fetched and compiled.
	taking chan struct{}
	// inForce is the life cycle of the configuration in force; whoever holds
	// taking may use it.
	inForce  *statechart.Machine
	counters counters
	memory   memory
}

// New returns a Relay that has not started.
func New(options Options) *Relay {
	settings := options.Settings
	if settings == (Settings{}) {
		settings = DefaultSettings()
	}
	return &Relay{
		options:  options,
		settings: settings,
		chance:   newChance(options.Seed),
		ready:    make(chan struct{}),
		hints:    make(chan types.Instance, hintQueue),
		applied:  make(chan struct{}, 1),
		taking:   make(chan struct{}, 1),
	}
}

// Ready is closed when the instance may serve: it has a configuration in force
// and has asked the other listed instances as admit demands.
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

// Run works until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){r.join, r.readLoop, r.auditLoop, r.exchangeLoop, r.announceLoop}
	for range followers {
		loops = append(loops, r.followLoop)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// held returns the version in force and its snapshot, which may be nil.
func (r *Relay) held() (version, *config.Snapshot) {
	current := r.options.Store.Current()
	if current == nil {
		return version{}, nil
	}
	return version{Revision: current.Revision(), Digest: current.Digest()}, current
}

// others returns the live instances apart from this one.
func (r *Relay) others() []types.Instance {
	return without(r.options.View.Live(), r.options.View.Self().ID)
}

// without returns the instances that have another ID.
func without(instances []types.Instance, id types.InstanceID) []types.Instance {
	var result []types.Instance
	for _, instance := range instances {
		if instance.ID != id {
			result = append(result, instance)
		}
	}
	return result
}

// record keeps an event of the time line.
func (r *Relay) record(event timeline.Event) {
	event.Instance = r.options.View.Self().ID
	r.options.Recorder.Record(event)
}
