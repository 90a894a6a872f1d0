package edge

import "github.com/umbercrank/umbercrank/pkg/types"

// callerAddresses returns the caller addresses of the serving instances in a region, or of all if
// the region is empty or none serves there.
func (e *Edge) callerAddresses(region types.Region) []string {
	if region == "" {
		return e.mesh.CallerAddresses()
	}
	dataCentres := make(map[types.DataCentre]bool)
	for dataCentre, in := range e.settings.Regions {
		dataCentres[dataCentre] = in == region
	}
	if addresses := e.mesh.CallerAddressesIn(dataCentres); len(addresses) > 0 {
		return addresses
	}
	return e.mesh.CallerAddresses()
}
