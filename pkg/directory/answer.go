package directory

import "github.com/umbercrank/umbercrank/pkg/types"

// Answer is the JSON body of GET /v1/addresses.
type Answer struct {
	// LifetimeSeconds is the time for which the caller may cache the answer.
	LifetimeSeconds int `json:"lifetime_seconds"`
	// Incarnation and Window are the prefix of the caller's idempotency keys. They
	// are those of the first address, or those of the responding instance if the
	// window of the first address is unknown.
	Incarnation types.Incarnation `json:"incarnation"`
	Window      string            `json:"window,omitempty"`
	// Addresses are in the order in which the caller tries them.
	Addresses []Address `json:"addresses"`
}

// Address is the address of one instance that serves callers.
type Address struct {
	Instance   types.InstanceID `json:"instance"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"data_centre"`
	// Incarnation and Window are the prefix of idempotency keys for this instance.
	// They are empty if they are unknown.
	Incarnation types.Incarnation `json:"incarnation,omitempty"`
	Window      string            `json:"window,omitempty"`
}
