// Package types holds the identifiers and small values that every part of the
// router shares. It has no behaviour beyond validation and no dependencies.
package types

// InstanceID names one entry instance, as published in the instance list. A
// replacement of an instance may reuse the ID; its Incarnation differs.
type InstanceID string

// Incarnation names one life of an instance process. It is a ULID chosen at
// start, so two lives of the same instance never share it.
type Incarnation string

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// UpstreamID names one upstream: a model engine or a plain service worker.
type UpstreamID string

// AccountID names a client account.
type AccountID string

// ClassName names a class of requests.
type ClassName string

// TargetName names a set of interchangeable upstreams.
type TargetName string

// RequestID names one request of a caller within the whole system.
type RequestID string

// Tier orders requests by urgency. A larger number is a higher tier.
type Tier int

// Revision orders published configurations. A larger revision is newer; zero
// means that nothing has been published.
type Revision uint64

// PoolID names one dispatching scope: the upstreams of a target in one data
// centre.
type PoolID struct {
	Target     TargetName `json:"target"`
	DataCentre DataCentre `json:"data_centre"`
}

// String returns the form "target@data-centre".
func (p PoolID) String() string {
	return string(p.Target) + "@" + string(p.DataCentre)
}

// RunState says what is known about the execution of a request on an upstream.
type RunState string

const (
	// NotRun means that no byte of the request can have reached an upstream.
	NotRun RunState = "not_run"
	// MayHaveRun means that the request may have reached an upstream and its
	// effect is unknown.
	MayHaveRun RunState = "may_have_run"
	// Ran means that an upstream is known to have executed the request.
	Ran RunState = "ran"
)

// InstanceState is the published life-cycle state of an instance.
type InstanceState string

const (
	// InstanceLive marks an instance that serves callers.
	InstanceLive InstanceState = "live"
	// InstanceLeaving marks an instance that is shutting down gracefully.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the published instance list.
type Instance struct {
	ID         InstanceID `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Region     Region     `json:"region,omitempty"`
	// CallerAddress is the host:port at which callers connect.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the host:port at which other instances connect.
	PeerAddress string        `json:"peer_address"`
	State       InstanceState `json:"state"`
}
