package edge

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/gateway"
)

const (
	// acceptShare is the fraction of the grace period in which a stopping instance still
	// accepts requests from callers that have not refreshed their list of addresses.
	acceptShare = 3.0 / 8
	// endShare is the fraction of the grace period after which the instance stops even
	// if requests are still running.
	endShare = 15.0 / 16
	// drainPollInterval is the time between two checks of the running requests.
	drainPollInterval = 20 * time.Millisecond
)

// drain stops the instance gracefully: it removes the instance from the directory
// and notifies its peers, still accepts requests for acceptShare of the grace
// period, and then waits for the running ones, also those of peers, and for those that are
// being received, at most until endShare.
func (e *Edge) drain(callers *gateway.Listener) {
	e.stopping.Store(true)
	e.mesh.ReportChange()
	e.logger.Info().Int64("active", e.gateway.Active()).Dur("grace_ms", e.settings.GracePeriod).Msg("stopping")
	started := e.now()
	accept := time.Duration(acceptShare * float64(e.settings.GracePeriod))
	end := time.Duration(endShare * float64(e.settings.GracePeriod))
	for e.now()-started < accept {
		time.Sleep(drainPollInterval)
	}
	e.gateway.Stop()
	for (e.gateway.Active() > 0 || e.gateway.Carried() > 0 || callers.Busy() > 0) && e.now()-started < end {
		time.Sleep(drainPollInterval)
	}
	e.logger.Info().Int64("active", e.gateway.Active()).Msg("stopped serving")
}
