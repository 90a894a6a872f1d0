package load

import "github.com/umbercrank/umbercrank/pkg/types"

// addressAnswer is what a caller reads of GET /v1/addresses.
type addressAnswer struct {
	LifetimeSeconds int               `json:"lifetime_seconds"`
	Incarnation     types.Incarnation `json:"incarnation"`
	Window          string            `json:"window"`
	Addresses       []address         `json:"addresses"`
}

// address is one instance that takes callers.
type address struct {
	Instance    types.InstanceID  `json:"instance"`
	Address     string            `json:"address"`
	DataCentre  types.DataCentre  `json:"data_centre"`
	Incarnation types.Incarnation `json:"incarnation"`
	Window      string            `json:"window"`
}
