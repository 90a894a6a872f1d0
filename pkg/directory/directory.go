// Package directory tells callers which addresses to use. There is no balancer
// before the instances: a caller asks any of them, keeps the answer for its
// lifetime, and connects to the addresses in the given order.
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

// Windows gives the current key window of an instance. A request that is not
// repeatable names the window in its idempotency key.
type Windows interface {
	// Window returns the window that new keys should name.
	Window() string
}

// Options configure a Directory.
type Options struct {
	View        membership.View
	Self        types.Instance
	Incarnation types.Incarnation
	Windows     Windows
	// Load returns the requests that this instance holds. Nil means unknown.
	Load func() int
	// Caller asks peers for their windows and loads. Nil means that answers hold
	// no windows but this instance's own.
	Caller   peer.Caller
	Settings Settings
}

// Directory answers callers. It is safe for concurrent use.
type Directory struct {
	options Options
	// asked counts the answers to callers without a hint.
	asked atomic.Uint64

	mu       sync.Mutex
	statuses map[types.InstanceID]reading
}

// New returns a Directory over the view.
func New(o Options) *Directory {
	o.Settings = o.Settings.withDefaults()
	return &Directory{options: o, statuses: map[types.InstanceID]reading{}}
}

// Answer returns the addresses for a caller that gave no hint. Answers take
// turns, so that such callers spread over the instances.
func (d *Directory) Answer() Answer {
	return d.AnswerFor(strconv.FormatUint(d.asked.Add(1), 10))
}

// AnswerFor returns the addresses for the caller that the hint names, such as
// its API key or network address. Callers of different hints get different
// orders, and a caller of the same hint gets the same while the view lasts.
func (d *Directory) AnswerFor(hint string) Answer {
	answer := Answer{
		LifetimeSeconds: int(d.options.Settings.Lifetime / time.Second),
		Incarnation:     d.options.Incarnation,
		Window:          d.ownWindow(),
		Addresses:       []Address{},
	}
	for _, instance := range d.choose(hint) {
		answer.Addresses = append(answer.Addresses, d.address(instance))
	}
	if len(answer.Addresses) > 0 && answer.Addresses[0].Window != "" {
		answer.Incarnation = answer.Addresses[0].Incarnation
		answer.Window = answer.Addresses[0].Window
	}
	return answer
}

// choose returns the instances for the hint, in order.
func (d *Directory) choose(hint string) []types.Instance {
	live := d.options.View.Live()
	if len(live) < minAddresses {
		live = withListed(live, d.options.View)
	}
	ordered := order(hint, live, d.options.Self, d.loads())
	return ordered[:min(len(ordered), d.options.Settings.MaxAddresses)]
}

// minAddresses is the fewest addresses that an answer should have.
const minAddresses = 2

// lister is a View that also knows the published list.
type lister interface {
	Listed() []types.Instance
}

// withListed adds the listed instances. An instance that has lost its peers may
// be the one that is cut off, while callers reach the others.
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

// address describes one instance. The window of another instance is given only
// with the incarnation that it belongs to.
func (d *Directory) address(instance types.Instance) Address {
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
	if s, ok := d.fresh(instance.ID); ok && s.Incarnation == incarnation {
		a.Window = s.Window
	}
	return a
}

// Run keeps the windows and loads of the near instances fresh until ctx ends.
// It returns nil.
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
			// A new instance should not wait for its first window.
			if !wait.For(ctx, minRefreshPause) {
				return nil
			}
		case <-ticker.C:
		}
	}
}
