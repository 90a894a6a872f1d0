package directory

import "github.com/umbercrank/umbercrank/pkg/types"

// Answer is the JSON body of GET /v1/addresses.
type Answer struct {
	// LifetimeSeconds is how long the caller may keep the answer.
	LifetimeSeconds int `json:"lifetime_seconds"`
	// Incarnation and Window begin the idempotency keys of the caller. They are
	// those of the first address, or of the instance that answers while the
	// first one's are not known.
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
