// Package types defines the identifiers and small value types that all packages
// of the router share. It has no dependencies.
package types

import (
	"strconv"
	"strings"
	"time"
)

// InstanceID identifies an instance in the published instance list. A replacement
// of an instance may reuse the ID, but has a different Incarnation.
type InstanceID string

// Incarnation identifies one run of an instance process. It is a ULID generated
// at start, so it changes with every restart.
type Incarnation string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// UpstreamID identifies an upstream: a model engine or a plain service.
type UpstreamID string

// SoftwareVersion is the version of the software that an upstream runs. Versions are
// compared only for equality; the empty version is unknown.
type SoftwareVersion string

// AccountID identifies a client account.
type AccountID string

// ClassName is the name of a class of requests.
type ClassName string

// TargetName is the name of a target, a set of interchangeable upstreams.
type TargetName string

// RequestID identifies a caller's request across all instances.
type RequestID string

// attemptSeparator separates a request ID from the number of an attempt.
const attemptSeparator = "/"

// Attempt returns the ID of an attempt that waits and runs beside an earlier one of the
// same request.
func (id RequestID) Attempt(number int) RequestID {
	return id + attemptSeparator + RequestID(strconv.Itoa(number))
}

// Request returns the ID of the request to which the attempt belongs. The ID of a request
// is returned unchanged.
func (id RequestID) Request() RequestID {
	request, _, _ := strings.Cut(string(id), attemptSeparator)
	return RequestID(request)
}

// Tier is the priority of a request. A larger number is a higher tier.
type Tier int

// PoolID identifies a pool: the upstreams of a target in one data centre.
type PoolID struct {
	Target     TargetName `json:"target"`
	DataCentre DataCentre `json:"data_centre"`
}

// String returns the form "target@data-centre".
func (p PoolID) String() string {
	return string(p.Target) + "@" + string(p.DataCentre)
}

// RunState is what is known about the execution of a request on an upstream.
type RunState string

const (
	// NotRun means that no byte of the request can have reached an upstream.
	NotRun RunState = "not_run"
	// MayHaveRun means that the request may have reached an upstream and that its
	// effect is unknown.
	MayHaveRun RunState = "may_have_run"
	// Ran means that an upstream has executed the request.
	Ran RunState = "ran"
)

// InstanceState is the published lifecycle state of an instance.
type InstanceState string

const (
	// InstanceLive marks an instance that serves callers.
	InstanceLive InstanceState = "live"
	// InstanceLeaving marks an instance that is shutting down gracefully.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the published instance list.
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

// maxAge is the largest age that an instance can report. No instance runs for longer, and a larger
// number of milliseconds may exceed the range of time.Duration.
const maxAge = 365 * 24 * time.Hour

// PossibleAge reports whether an instance can have reported the age. A negative one would put an
// observation into the future, so that it never expires.
func PossibleAge(milliseconds int64) bool {
	return milliseconds >= 0 && milliseconds <= maxAge.Milliseconds()
}
