package catalog

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// newPrioritized returns a catalog with the given routes' priorities and accounts'
// priorities; an account without one is nil.
func newPrioritized(routes []int, accounts []*int) (*Catalog, []Account) {
	contents := Contents{Keys: make(map[string]Account)}
	for _, priority := range routes {
		contents.Routes = append(contents.Routes, Route{Host: "h", Priority: priority})
	}
	var list []Account
	for i, priority := range accounts {
		account := Account{ID: types.AccountID(rune('a' + i)), Priority: priority}
		contents.Keys[string(account.ID)] = account
		list = append(list, account)
	}
	return New(contents), list
}

// TestRouteOrdersAccountsOfSamePriority checks that an account's priority precedes the
// route's, and does not replace it: engines would otherwise preempt urgent requests for
// less urgent ones of the same account.
func TestRouteOrdersAccountsOfSamePriority(t *testing.T) {
	first, second := 0, 1
	c, accounts := newPrioritized([]int{0, 1, 2}, []*int{&first, &second, &second})
	urgent, patient := &Route{Priority: 0}, &Route{Priority: 2}
	if a, b := c.Priority(urgent, accounts[1]), c.Priority(patient, accounts[2]); a >= b {
		t.Errorf("of accounts with the same priority, the urgent route has %d and the patient one %d", a, b)
	}
	if a, b := c.Priority(patient, accounts[0]), c.Priority(urgent, accounts[1]); a >= b {
		t.Errorf("the first account has %d and the second %d", a, b)
	}
	if got := c.Priority(urgent, accounts[0]); got != 0 {
		t.Errorf("the most urgent request has %d, want 0", got)
	}
	if got := c.Priority(patient, accounts[2]); got > 9 {
		t.Errorf("the least urgent request has %d, more than engines distinguish", got)
	}
}

// TestPriorityOrder checks every pair of requests against the definition.
func TestPriorityOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 4).Draw(t, "routes")
		accounts := rapid.SliceOfN(rapid.Ptr(rapid.IntRange(0, 3), true), 1, 4).Draw(t, "accounts")
		c, list := newPrioritized(routes, accounts)
		type request struct{ account, route, rank int }
		var requests []request
		for i := range routes {
			for _, account := range list {
				r := request{account: routes[i], route: routes[i], rank: c.Priority(&Route{Priority: routes[i]}, account)}
				if account.Priority != nil {
					r.account = *account.Priority
				}
				requests = append(requests, r)
			}
		}
		for _, a := range requests {
			for _, b := range requests {
				before := a.account < b.account || a.account == b.account && a.route < b.route
				if before != (a.rank < b.rank) {
					t.Fatalf("%+v and %+v are in the wrong order", a, b)
				}
			}
		}
	})
}
