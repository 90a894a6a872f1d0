// Package directory provides callers with the instance addresses to use. There is no
// load balancer in front of the instances: a caller queries any of them, caches
// the answer for its lifetime, and tries the addresses in the given order.
package directory

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// Windows provides the current idempotency-key window of an instance. The key of
// a request that is not repeatable contains the window.
type Windows interface {
	// Window returns the window for new keys.
	Window() string
}

// Options configures a Directory.
type Options struct {
	View        membership.View
	Self        types.Instance
	Incarnation types.Incarnation
	Windows     Windows
	// Load returns the number of requests in flight at this instance. If nil, the
	// load is unknown.
	Load func() int
	// Caller fetches the windows and loads of peers. If nil, answers contain only
	// this instance's own window.
	Caller   peer.Caller
	Settings Settings
}

// Directory answers the address queries of callers. It is safe for concurrent
// use.
type Directory struct {
	options Options
	// unhinted counts the queries of callers without a hint.
	unhinted atomic.Uint64

	mu       sync.Mutex
	statuses map[types.InstanceID]cachedStatus
}

// New returns a Directory of the instances in the view.
func New(o Options) *Directory {
	o.Settings = o.Settings.withDefaults()
	return &Directory{options: o, statuses: map[types.InstanceID]cachedStatus{}}
}

// Answer returns the addresses for a caller without a hint. Each call uses a new
// hint, which spreads these callers over the instances.
func (d *Directory) Answer() Answer {
	return d.AnswerFor(strconv.FormatUint(d.unhinted.Add(1), 10))
}

// AnswerFor returns the addresses for a caller that is identified by the hint,
// such as its API key or network address. Different hints spread callers over the
// instances. The order for one hint changes only with the view and the loads.
func (d *Directory) AnswerFor(hint string) Answer {
	answer := Answer{
		LifetimeSeconds: int(d.options.Settings.Lifetime / time.Second),
		Incarnation:     d.options.Incarnation,
		Window:          d.ownWindow(),
		Addresses:       []Address{},
	}
	for _, instance := range d.selectInstances(hint) {
		answer.Addresses = append(answer.Addresses, d.addressOf(instance))
	}
	if len(answer.Addresses) > 0 && answer.Addresses[0].Window != "" {
		answer.Incarnation = answer.Addresses[0].Incarnation
		answer.Window = answer.Addresses[0].Window
	}
	return answer
}

// selectInstances returns the instances for the hint, in order.
func (d *Directory) selectInstances(hint string) []types.Instance {
	live := d.options.View.Live()
	if len(live) < minAddresses {
		live = withListed(live, d.options.View)
	}
	ordered := order(hint, live, d.options.Self, d.loads())
	return ordered[:min(len(ordered), d.options.Settings.MaxAddresses)]
}

// minAddresses is the number of live instances below which an answer includes
// listed instances.
const minAddresses = 2

// lister is implemented by a View that also has the published list.
type lister interface {
	Listed() []types.Instance
}

// withListed adds the listed instances that are not live. An instance that has
// lost its peers may itself be partitioned from them while callers can still
// reach them.
func withListed(live []types.Instance, view membership.View) []types.Instance {
	listed, ok := view.(lister)
	if !ok {
		return live
	}
	known := map[types.InstanceID]bool{}
	for _, instance := range live {
		known[instance.ID] = true
	}
	for _, instance := range listed.Listed() {
		if !known[instance.ID] {
			live = append(live, instance)
		}
	}
	return live
}

func (d *Directory) ownWindow() string {
	if d.options.Windows == nil {
		return ""
	}
	return d.options.Windows.Window()
}

// addressOf returns the address of the instance. It includes the window of another
// instance only if the window belongs to that instance's current incarnation.
func (d *Directory) addressOf(instance types.Instance) Address {
	a := Address{Instance: instance.ID, Address: instance.CallerAddress, DataCentre: instance.DataCentre}
	if instance.ID == d.options.Self.ID {
		a.Incarnation, a.Window = d.options.Incarnation, d.ownWindow()
		return a
	}
	incarnation, known := d.options.View.Incarnation(instance.ID)
	if !known {
		return a
	}
	a.Incarnation = incarnation
	if s, ok := d.validStatus(instance.ID); ok && s.Incarnation == incarnation {
		a.Window = s.Window
	}
	return a
}

// Run refreshes the windows and loads of the nearest instances until ctx is done.
// It always returns nil.
func (d *Directory) Run(ctx context.Context) error {
	if d.options.Caller == nil {
		return nil
	}
	ticker := time.NewTicker(d.options.Settings.RefreshInterval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-d.options.View.Changed():
			// Refresh early so that the window of a new instance is known soon.
			if !wait.For(ctx, minRefreshInterval) {
				return nil
			}
		case <-ticker.C:
		}
	}
}
