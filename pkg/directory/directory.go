// Package directory tells callers which addresses to use. There is no balancer
// before the instances: a caller asks any of them, keeps the answer for its
// lifetime, and connects to the addresses in the given order.
package directory

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Windows gives the current key window of an instance. A request that is not
// repeatable names the window in its idempotency key.
type Windows interface {
	// Window returns the window that new keys should name.
	Window() string
}

// Answer is the JSON body of GET /v1/addresses.
type Answer struct {
	// LifetimeSeconds is how long the caller may keep the answer.
	LifetimeSeconds int `json:"lifetime_seconds"`
	// Incarnation and Window are those of the instance that answers.
	Incarnation types.Incarnation `json:"incarnation"`
	Window      string            `json:"window,omitempty"`
	// Addresses are in the order in which the caller should try them.
	Addresses []Address `json:"addresses"`
}

// Address is one instance that takes callers.
type Address struct {
	Instance   types.InstanceID `json:"instance"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"data_centre"`
	// Incarnation and Window are the parts of an idempotency key for this
	// instance; they are empty while they are not known here.
	Incarnation types.Incarnation `json:"incarnation,omitempty"`
	Window      string            `json:"window,omitempty"`
}

// Defaults of the Settings.
const (
	// DefaultLifetime is how long callers may keep an answer.
	DefaultLifetime = 10 * time.Second
	// DefaultMaxAddresses bounds the addresses of one answer.
	DefaultMaxAddresses = 8
)

// Settings bound the answers. Zero values mean the defaults.
type Settings struct {
	Lifetime     time.Duration
	MaxAddresses int
}

// Options configure a Directory.
type Options struct {
	View        membership.View
	Self        types.Instance
	Incarnation types.Incarnation
	Windows     Windows
	Settings    Settings
}

// Directory answers callers. It is safe for concurrent use.
type Directory struct{ options Options }

// New returns a Directory over the view.
func New(o Options) *Directory {
	if o.Settings.Lifetime == 0 {
		o.Settings.Lifetime = DefaultLifetime
	}
	if o.Settings.MaxAddresses == 0 {
		o.Settings.MaxAddresses = DefaultMaxAddresses
	}
	return &Directory{options: o}
}

// Answer returns the addresses for a caller that gave no hint.
func (d *Directory) Answer() Answer { return d.AnswerFor("") }

// AnswerFor returns the addresses for the caller that the hint names, such as
// its API key or network address. Callers of different hints get different
// orders, so that they do not all choose one instance.
func (d *Directory) AnswerFor(hint string) Answer {
	live := d.options.View.Live()
	answer := Answer{
		LifetimeSeconds: int(d.options.Settings.Lifetime / time.Second),
		Incarnation:     d.options.Incarnation,
		Window:          d.window(),
		Addresses:       []Address{},
	}
	near, far := split(live, d.options.Self.DataCentre)
	ordered := append(rendezvous.Order(hint, near), rendezvous.Order(hint, far)...)
	for _, instance := range ordered[:min(len(ordered), d.options.Settings.MaxAddresses)] {
		answer.Addresses = append(answer.Addresses, d.address(instance))
	}
	return answer
}

func (d *Directory) window() string {
	if d.options.Windows == nil {
		return ""
	}
	return d.options.Windows.Window()
}

// split parts the instances of the data centre from the others.
func split(instances []types.Instance, centre types.DataCentre) (near, far []types.Instance) {
	for _, instance := range instances {
		if instance.DataCentre == centre {
			near = append(near, instance)
		} else {
			far = append(far, instance)
		}
	}
	return near, far
}

func (d *Directory) address(instance types.Instance) Address {
	a := Address{Instance: instance.ID, Address: instance.CallerAddress, DataCentre: instance.DataCentre}
	if instance.ID == d.options.Self.ID {
		a.Incarnation, a.Window = d.options.Incarnation, d.window()
		return a
	}
	if incarnation, ok := d.options.View.Incarnation(instance.ID); ok {
		a.Incarnation = incarnation
	}
	return a
}
