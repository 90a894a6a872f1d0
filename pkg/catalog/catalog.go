// Package catalog holds the routes, services and client accounts in force, as an
// immutable value. Routes are ordered rules: those of a host are tried from the
// longest prefix to the shortest, and the first match decides.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Kind says what may be repeated, and how the answer comes.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each attempt of the caller.
	Once Kind = "once"
	// Stream requests run at most once and are answered by a series of events.
	Stream Kind = "stream"
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Target types.TargetName
	Weight int
}

// Route is one rule: requests of Host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time in which an answer, or a stream's first event, is
	// worth its full value.
	Objective time.Duration
	// PauseObjective is the longest pause between the events of a stream that
	// is in time.
	PauseObjective time.Duration
	// Priority is the rank; zero is the most urgent.
	Priority int
	// Attempts is the largest number of upstreams that run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target picks a service by weight; point is uniform in [0, 1).
func (r *Route) Target(point float64) types.TargetName {
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	rest := int(point * float64(total))
	for _, share := range r.Shares {
		if rest < max(share.Weight, 0) {
			return share.Target
		}
		rest -= max(share.Weight, 0)
	}
	return r.Shares[len(r.Shares)-1].Target
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch.
	Slots int
	// Memory is the number of tokens that an engine keeps.
	Memory int
	// Stride is the number of tokens in one event of a stream.
	Stride int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name types.TargetName
	// Engine is nil for plain services.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	ID types.AccountID
	// Priority takes the place of a route's, if it is set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is everything that a published document says. It is immutable.
type Catalog struct {
	// Version is the operator's own name of the document.
	Version  string
	Revision types.Revision
	Limits   Limits
	// Keyed says that requests must carry a key of an account.
	Keyed    bool
	hosts    map[string][]*Route
	services map[types.TargetName]Service
	keys     map[string]Account
}

// Contents are what New builds a Catalog from.
type Contents struct {
	Version  string
	Revision types.Revision
	Limits   Limits
	Routes   []Route
	Services []Service
	Keyed    bool
	// Keys maps each key to its account.
	Keys map[string]Account
}

// New indexes the contents.
func New(contents Contents) *Catalog {
	c := &Catalog{
		Version:  contents.Version,
		Revision: contents.Revision,
		Limits:   contents.Limits,
		Keyed:    contents.Keyed,
		hosts:    make(map[string][]*Route),
		services: make(map[types.TargetName]Service, len(contents.Services)),
		keys:     contents.Keys,
	}
	for _, service := range contents.Services {
		c.services[service.Name] = service
	}
	for i := range contents.Routes {
		route := &contents.Routes[i]
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the first route of the host whose prefix begins the path, or
// nil. A port in the host does not count.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Account returns the account that holds the key.
func (c *Catalog) Account(key string) (Account, bool) {
	account, ok := c.keys[key]
	return account, ok
}

// Service returns the named service.
func (c *Catalog) Service(name types.TargetName) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}
