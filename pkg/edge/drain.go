package edge

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/gateway"
)

const (
	// acceptShare is the fraction of the grace period in which a stopping instance still
	// accepts requests from callers that have not refreshed their list of addresses.
	acceptShare = 3.0 / 8
	// maxAcceptTime bounds that time, counted from when the signal to stop was sent. Callers refresh
	// their list earlier.
	maxAcceptTime = 3 * time.Second
	// maxSignalDelay is how late an instance may notice the signal.
	maxSignalDelay = 500 * time.Millisecond
	// endShare is the fraction of the grace period after which the instance ends requests that
	// are still running, and answerTime how long their callers' responses may take.
	endShare   = 15.0 / 16
	answerTime = 100 * time.Millisecond
	// drainPollInterval is the time between two checks of the running requests.
	drainPollInterval = 20 * time.Millisecond
)

// drain stops the instance gracefully: it removes the instance from the directory
// and notifies its peers, still accepts requests for acceptShare of the grace
// period or maxAcceptTime, and then waits for the running ones, also those of peers, and for
// those that are being received, at most until endShare. Then it ends them.
func (e *Edge) drain(callers *gateway.Listener) {
	e.stopping.Store(true)
	e.mesh.ReportChange()
	e.logger.Info().Int64("active", e.gateway.Active()).Dur("grace_ms", e.settings.GracePeriod).Msg("stopping")
	started := e.now()
	accept := min(time.Duration(acceptShare*float64(e.settings.GracePeriod)), maxAcceptTime-maxSignalDelay)
	end := time.Duration(endShare * float64(e.settings.GracePeriod))
	e.gateway.EndAt(started + end)
	for e.now()-started < accept {
		time.Sleep(drainPollInterval)
	}
	e.gateway.Stop()
	e.logger.Info().Int64("active", e.gateway.Active()).Dur("after_ms", e.now()-started).Msg("accepts no more requests")
	for (e.gateway.Active() > 0 || e.gateway.Carried() > 0 || callers.Busy() > 0) && e.now()-started < end {
		time.Sleep(drainPollInterval)
	}
	e.logger.Info().Int64("active", e.gateway.Active()).Msg("stopped serving")
	e.gateway.End()
	for e.gateway.Active() > 0 && e.now()-started < end+answerTime {
		time.Sleep(drainPollInterval)
	}
}
