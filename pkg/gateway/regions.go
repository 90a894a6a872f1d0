package gateway

import (
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// restrictRegions sets the data centres in which the request may run, if its route or its account
// allows certain regions only. On a public route, too, a known key names an account.
func (q *request) restrictRegions() {
	lists := [][]types.Region{q.route.AllowedRegions}
	if account, ok := q.catalog.Account(q.call.Key); ok {
		lists = append(lists, account.AllowedRegions)
	}
	lists = slices.DeleteFunc(lists, func(list []types.Region) bool { return len(list) == 0 })
	if len(lists) == 0 {
		return
	}
	q.dataCentres = make(map[types.DataCentre]bool)
	for dataCentre, region := range q.gateway.options.Regions {
		if !slices.ContainsFunc(lists, func(list []types.Region) bool { return !slices.Contains(list, region) }) {
			q.dataCentres[dataCentre] = true
		}
	}
}

// mayRunIn reports whether the request may run in a data centre.
func (q *request) mayRunIn(dataCentre types.DataCentre) bool {
	return q.dataCentres == nil || q.dataCentres[dataCentre]
}

// allowedDataCentres returns the data centres in which a restricted request may run, in
// alphabetical order.
func (q *request) allowedDataCentres() []string {
	var names []string
	for dataCentre := range q.dataCentres {
		names = append(names, string(dataCentre))
	}
	slices.Sort(names)
	return names
}

// unavailable says why no upstream may run the request.
func (q *request) unavailable() string {
	if q.dataCentres != nil {
		return "no upstream in the allowed regions is available"
	}
	return "no upstream is available"
}
