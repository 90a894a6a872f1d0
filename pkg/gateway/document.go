package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// removalGrace is how long after a document has removed a route or a key requests that arrived
// before may still be sent to an upstream. A document spares the requests that are on their way
// when it takes effect, but one whose body arrives slowly must not run long after it.
const removalGrace = 3 * time.Second

// Errors of requests whose route or key a document has removed.
var (
	errRouteRemoved = fault.New(fault.NotFound, "the configuration has removed the route of the request")
	errKeyRemoved   = fault.New(fault.Unauthorized, "the configuration has removed the API key")
)

// formerCatalog is a catalog that was in force until a time.
type formerCatalog struct {
	catalog *catalog.Catalog
	until   time.Duration
}

// keepFormer keeps the catalog that is about to be replaced.
func (g *Gateway) keepFormer() {
	now := g.options.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.former = slices.DeleteFunc(g.former, func(f formerCatalog) bool { return now-f.until > removalGrace })
	if current := g.catalog.Load(); current != nil {
		g.former = append(g.former, formerCatalog{current, now})
	}
}

// checkDocument returns an error if no document in force since removalGrace has the route and the
// key of the request. A request that an upstream may have run goes on as it began.
func (q *request) checkDocument() error {
	g := q.gateway
	current := g.Catalog()
	if current == q.catalog || q.progress.runs > 0 {
		return nil
	}
	removed := q.removedFrom(current)
	if removed == nil {
		return nil
	}
	now := g.options.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.former {
		if now-f.until <= removalGrace && q.removedFrom(f.catalog) == nil {
			return nil
		}
	}
	return removed
}

// removedFrom returns an error if a catalog has no route or no key for the request.
func (q *request) removedFrom(c *catalog.Catalog) error {
	path, _, _ := strings.Cut(q.incoming.RequestURI, "?")
	route := c.Match(q.incoming.Host, path)
	if route == nil {
		return errRouteRemoved
	}
	if c.RequireKey && !route.Public {
		if _, ok := c.Account(q.call.Key); !ok {
			return errKeyRemoved
		}
	}
	return nil
}

// isRemoved reports whether the error is that of a request whose route or key was removed.
func isRemoved(err error) bool {
	return errors.Is(err, errRouteRemoved) || errors.Is(err, errKeyRemoved)
}
