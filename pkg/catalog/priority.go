package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// urgency orders requests. The account's priority takes precedence; requests of
// accounts with the same priority are ordered by the route's.
type urgency struct {
	account, route int
}

func urgencyOf(route *Route, account Account) urgency {
	u := urgency{account: route.Priority, route: route.Priority}
	if account.Priority != nil {
		u.account = *account.Priority
	}
	return u
}

// rankUrgencies numbers all urgencies that requests can have, from the most urgent
// one at zero. Consecutive numbers fit the few levels that engines distinguish.
func rankUrgencies(contents Contents) map[urgency]int {
	// There are far fewer priorities than accounts and routes.
	accounts, routes := make(map[int]bool), make(map[int]bool)
	for _, account := range contents.Keys {
		if account.Priority != nil {
			accounts[*account.Priority] = true
		}
	}
	for i := range contents.Routes {
		routes[contents.Routes[i].Priority] = true
	}
	ranks := make(map[urgency]int)
	for route := range routes {
		ranks[urgency{account: route, route: route}] = 0
		for account := range accounts {
			ranks[urgency{account: account, route: route}] = 0
		}
	}
	ordered := slices.SortedFunc(maps.Keys(ranks), func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
	})
	for rank, u := range ordered {
		ranks[u] = rank
	}
	return ranks
}

// Priority returns the priority of a request of the account on the route; zero is the
// most urgent.
func (c *Catalog) Priority(route *Route, account Account) int {
	return c.priorities[urgencyOf(route, account)]
}
