// Package catalog holds the routes, services and client accounts of the active
// configuration as an immutable value. The routes of a host are tried from the
// longest path prefix to the shortest, and the first match applies.
package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Kind is the kind of a route. It defines whether requests may be repeated and
// whether the response is streamed.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream requests run at most once and are answered by a stream of events.
	Stream Kind = "stream"
)

// WeightedTarget is a service that gets a share of a route's requests in
// proportion to its weight.
type WeightedTarget struct {
	Target types.TargetName
	Weight int
}

// Route applies to the requests of Host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the complete response.
	Timeout time.Duration
	// Objective is the latency objective for a response or for the first event of a
	// stream. A later one is worth less to the caller.
	Objective time.Duration
	// InterEventObjective is the longest time between two events at which a stream
	// is in time.
	InterEventObjective time.Duration
	// Priority is the priority of the requests; zero is the most urgent.
	Priority int
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable is true if another upstream may continue an interrupted stream.
	Resumable bool
	Targets   []WeightedTarget
	// AllowedRegions are the regions in which requests may run. None means all.
	AllowedRegions []types.Region
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Allows reports whether the route leads to the service.
func (r *Route) Allows(name types.TargetName) bool {
	return slices.ContainsFunc(r.Targets, func(target WeightedTarget) bool { return target.Target == name && target.Weight > 0 })
}

// AllowedTargets returns the services that the route leads to, without duplicates.
func (r *Route) AllowedTargets() []types.TargetName {
	var allowed []types.TargetName
	for _, target := range r.Targets {
		if target.Weight > 0 && !slices.Contains(allowed, target.Target) {
			allowed = append(allowed, target.Target)
		}
	}
	slices.Sort(allowed)
	return allowed
}

// PickTarget selects a service by weight; point is uniform in [0, 1). It returns
// "" if no service has a positive weight.
func (r *Route) PickTarget(point float64) types.TargetName {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	rest := int(point * float64(total))
	for _, target := range r.Targets {
		if rest < max(target.Weight, 0) {
			return target.Target
		}
		rest -= max(target.Weight, 0)
	}
	return r.Targets[len(r.Targets)-1].Target
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch size.
	Slots int
	// KVTokens is the capacity of the key-value cache in tokens.
	KVTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name types.TargetName
	// Engine is nil for plain services.
	Engine *Engine
	// StrictestInterEvent is the shortest InterEventObjective of the routes to the
	// service, or zero if none has one.
	StrictestInterEvent time.Duration
	// ColdRequestsPerSecond is the number of requests per second that a cold upstream
	// tolerates from all instances together. Zero means that there is no such limit.
	ColdRequestsPerSecond float64
}

// Account is a client account.
type Account struct {
	ID types.AccountID
	// Priority takes precedence over the priority of the route if it is set.
	Priority *int
	// AllowedRegions are the regions in which requests may run. None means all.
	AllowedRegions []types.Region
}

// Limits bounds the size of a request, the time to receive its header and the time
// that a connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is the content of a published document. It is immutable.
type Catalog struct {
	// Version is the version that the operator gave the document.
	Version  string
	Revision types.Revision
	Limits   Limits
	// RequireKey is true if requests must carry the key of an account.
	RequireKey bool
	hosts      map[string][]*Route
	services   map[types.TargetName]Service
	keys       map[string]Account
	priorities map[urgency]int
}

// Contents holds the values from which New builds a Catalog.
type Contents struct {
	Version    string
	Revision   types.Revision
	Limits     Limits
	Routes     []Route
	Services   []Service
	RequireKey bool
	// Keys maps each key to its account.
	Keys map[string]Account
}

// New returns a Catalog with the contents, indexed by host, service and key.
func New(contents Contents) *Catalog {
	c := &Catalog{
		Version:    contents.Version,
		Revision:   contents.Revision,
		Limits:     contents.Limits,
		RequireKey: contents.RequireKey,
		hosts:      make(map[string][]*Route),
		services:   make(map[types.TargetName]Service, len(contents.Services)),
		keys:       contents.Keys,
		priorities: rankUrgencies(contents),
	}
	for _, service := range contents.Services {
		c.services[service.Name] = service
	}
	for i := range contents.Routes {
		route := &contents.Routes[i]
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
		c.addObjective(route)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// HasEarlierVersion reports whether both versions are numbers and that of c is the smaller one.
func (c *Catalog) HasEarlierVersion(other *Catalog) bool {
	version, err := strconv.ParseUint(c.Version, 10, 64)
	if err != nil {
		return false
	}
	than, err := strconv.ParseUint(other.Version, 10, 64)
	return err == nil && version < than
}

// addObjective lowers StrictestInterEvent of the services of a route.
func (c *Catalog) addObjective(route *Route) {
	for _, target := range route.Targets {
		service, ok := c.services[target.Target]
		if !ok || route.InterEventObjective <= 0 {
			continue
		}
		if service.StrictestInterEvent == 0 || route.InterEventObjective < service.StrictestInterEvent {
			service.StrictestInterEvent = route.InterEventObjective
			c.services[target.Target] = service
		}
	}
}

// StreamRoutes returns the routes for streams, ordered by host and prefix.
func (c *Catalog) StreamRoutes() []*Route {
	var streams []*Route
	for _, routes := range c.hosts {
		for _, route := range routes {
			if route.Kind == Stream {
				streams = append(streams, route)
			}
		}
	}
	slices.SortFunc(streams, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(strings.ToLower(a.Host), strings.ToLower(b.Host)), cmp.Compare(a.Prefix, b.Prefix))
	})
	return streams
}

// Match returns the route of the host with the longest prefix of the path, or nil
// if none matches. A port in the host is ignored.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Account returns the account of the key.
func (c *Catalog) Account(key string) (Account, bool) {
	account, ok := c.keys[key]
	return account, ok
}

// Service returns the named service.
func (c *Catalog) Service(name types.TargetName) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}
